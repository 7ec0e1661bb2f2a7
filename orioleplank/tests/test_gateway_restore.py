"""The store comes back from an older copy, on virtual time."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from unittest import mock

import testtools

from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.group import LEASE_DURATION_S
from orioleplank.decision.instances import InstanceEntry, InstanceState, Route
from orioleplank.decision.session import Write
from orioleplank.gateway import EventType
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.tests._audited_run import AuditedRun
from orioleplank.tests._gateway_cluster import QUOTES, ROUTES, GatewayCluster, GatewayNode
from orioleplank.tests._gateway_helpers import keep_writing, start_cluster
from orioleplank.tests._simulated_instances import SERVICE

# Time within which the platform requires a new configuration to be in force.
CONFIGURATION_DEADLINE_S = 3.0
# Interval of the checks of leases.
LEASE_CHECK_INTERVAL_S = 0.01


def _fail_over(cluster: GatewayCluster, seconds: float = 3.0) -> None:
    """Crash the primary, wait for its successor, and start the crashed one as a replica."""
    old_primary = cluster.group.primary()
    cluster.crash_instance(old_primary.name)
    cluster.run_for(seconds)
    cluster.restart_instance(old_primary.name)


class RestoreTestCase(testtools.TestCase):
    """Helpers of the tests of this module."""

    def run_checking_leases(self, cluster: GatewayCluster, seconds: float) -> None:
        """Run; at no time may two proxies rely on different primaries."""
        end = cluster.simulator.now + seconds
        while cluster.simulator.now < end:
            cluster.run_for(LEASE_CHECK_INTERVAL_S)
            primaries = cluster.valid_primaries()
            self.assertLessEqual(
                len(set(primaries.values())), 1, f"at {cluster.simulator.now}: {primaries}"
            )

    def assert_served(self, cluster: GatewayCluster) -> None:
        """Assert that every running proxy writes and reads at once."""
        for node in cluster.proxies:
            if node.alive and not node.paused:
                caller = cluster.open_session(node, QUOTES)
                reply = cluster.send_and_wait(caller, Write("served yes"))
                self.assertIsNone(reply.failure, f"{node.name}: {reply.failure}")


class TestFailoverAfterRestore(RestoreTestCase):
    def test_primary_whose_promotion_was_lost_is_replaced(self) -> None:
        cluster = start_cluster()
        _fail_over(cluster)
        cluster.run_for(1.0)
        cluster.restore_store(5.0)
        cluster.run_for(2.5)
        cluster.crash_instance(cluster.group.primary().name)
        self.run_checking_leases(cluster, 6.0)
        self.assertEqual([2, 3], cluster.promoted_terms())
        self.assert_served(cluster)

    def test_primary_is_replaced_after_each_of_several_restores(self) -> None:
        cluster = start_cluster()
        for _ in range(3):
            _fail_over(cluster)
            cluster.restore_store(3.5)
            self.run_checking_leases(cluster, 3.0)
            _fail_over(cluster, 6.0)
        self.assert_served(cluster)

    def test_fencing_tokens_never_decrease_and_are_not_shared_by_proxies(self) -> None:
        for seed in range(4):
            cluster = start_cluster(seed)
            _fail_over(cluster)
            cluster.restore_store(5.0)
            cluster.run_for(2.0)
            _fail_over(cluster, 6.0)
            tokens = [token for _, token, _ in cluster.group.promotion_orders]
            self.assertEqual(sorted(tokens), tokens)
            holders: dict[int, str] = {}
            for holder, token, _ in cluster.group.promotion_orders:
                self.assertEqual(holder, holders.setdefault(token, holder))

    def test_primary_without_faults_keeps_serving_while_the_store_is_restored(self) -> None:
        cluster = start_cluster()
        callers = [cluster.open_session(proxy, QUOTES) for proxy in cluster.proxies]
        for caller in callers:
            keep_writing(cluster, caller)
        cluster.run_for(8.0)
        cluster.restore_store(4.0, 2.0)
        self.run_checking_leases(cluster, 2.0 + 2 * LEASE_DURATION_S)
        self.assertEqual([], cluster.promoted_terms())
        refused = [reply for caller in callers for reply in caller.replies if reply.failure]
        self.assertEqual([], refused)


class TestLeasesAfterRestore(RestoreTestCase):
    def test_record_of_the_copy_grants_no_lease_on_a_replaced_primary(self) -> None:
        for started_after_s in (0.0, 0.05, 0.3, 1.0):
            with self.subTest(started_after_s=started_after_s):
                cluster = start_cluster()
                _fail_over(cluster)
                cluster.kill_proxy(cluster.proxies[2])
                cluster.restore_store(4.0, 0.5)
                cluster.run_for(0.5 + started_after_s)
                cluster.start_proxy(cluster.proxies[2])
                self.run_checking_leases(cluster, 6.0)
                self.assert_served(cluster)
                self.assertEqual([2], cluster.promoted_terms())

    def test_lease_of_a_silent_proxy_whose_registration_was_lost_is_waited_for(self) -> None:
        cluster = start_cluster(proxies=4)
        cluster.kill_proxy(cluster.proxies[3])
        cluster.run_for(8.0)
        cluster.start_proxy(cluster.proxies[3])
        cluster.run_for(1.5)
        silent = cluster.proxies[3]
        cluster.simulator.pause(silent.name, 60.0)
        lease_end = silent.gateway.cluster_state.leases.leases_start_at + LEASE_DURATION_S
        cluster.restore_store(3.0, 0.2)
        cluster.run_for(1.0)
        cluster.crash_instance("db-a")
        cluster.run_for(14.0)
        self.assertEqual([2], cluster.promoted_terms())
        self.assertGreater(cluster.group.term_started_at[2], lease_end)

    def test_fleet_that_starts_on_a_copy_keeps_the_primary_that_leads(self) -> None:
        cluster = start_cluster()
        _fail_over(cluster)
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
        for node in cluster.proxies:
            cluster.kill_proxy(node)
        cluster.restore_store(5.0, 0.5)
        cluster.run_for(1.0)
        for node in cluster.proxies:
            cluster.start_proxy(node)
        self.run_checking_leases(cluster, 14.0)
        self.assertEqual([2], cluster.promoted_terms())
        self.assert_served(cluster)

    def test_report_of_a_primary_that_may_stay_is_awaited(self) -> None:
        collect_reports = InstanceProber.collect_reports

        async def leave_out_unawaited(
            prober: InstanceProber, entries: Iterable[InstanceEntry], unawaited: str = ""
        ) -> tuple[InstanceReport, ...]:
            reports = await collect_reports(prober, entries, unawaited)
            return tuple(report for report in reports if report.id != unawaited)

        cluster = start_cluster()
        cluster.run_for(3.0)
        for node in cluster.proxies:
            cluster.kill_proxy(node)
        cluster.restore_store(2.0, 0.5)
        cluster.run_for(1.0)
        with mock.patch.object(InstanceProber, "collect_reports", leave_out_unawaited):
            for node in cluster.proxies:
                cluster.start_proxy(node)
            self.run_checking_leases(cluster, 8.0)
        self.assertEqual([], cluster.promoted_terms())
        self.assert_served(cluster)


class TestEveryMoment(RestoreTestCase):
    """A restore at each step of a failover, a switchover and a start."""

    def _check(self, cluster: GatewayCluster, audited: AuditedRun[GatewayCluster]) -> None:
        self.run_checking_leases(cluster, 16.0)
        answered = audited.audit.answered
        cluster.run_for(2.0)
        self.assertGreater(audited.audit.answered, answered)
        audited.is_running = False
        audited.check_invariants()
        self.assertEqual([], audited.audit.violations)
        self.assert_served(cluster)

    def _start(self, seed: int) -> tuple[GatewayCluster, AuditedRun[GatewayCluster]]:
        cluster = start_cluster(seed, proxies=4)
        audited = AuditedRun(cluster, Random(seed), callers=6)
        for caller in audited.callers:
            caller.send_next()
        cluster.run_for(2.0)
        if seed % 2:
            # The store's revisions then rise fast within the time that is lost.
            _fail_over(cluster, 2.5)
        return cluster, audited

    def test_restore_during_a_failover(self) -> None:
        for step in range(16):
            for lost_s, away_s in ((0.3, 0.0), (1.0, 0.3), (4.0, 1.0)):
                with self.subTest(step=step, lost_s=lost_s):
                    cluster, audited = self._start(step)
                    cluster.crash_instance(cluster.group.primary().name)
                    cluster.run_for(0.3 + 0.1 * step)
                    cluster.restore_store(lost_s, away_s)
                    self._check(cluster, audited)

    def test_restore_during_a_switchover(self) -> None:
        for step in range(12):
            for lost_s, away_s in ((0.2, 0.0), (3.0, 0.5)):
                with self.subTest(step=step, lost_s=lost_s):
                    cluster, audited = self._start(step)
                    cluster.drain_instance(cluster.group.primary().name)
                    cluster.run_for(0.05 * step)
                    cluster.restore_store(lost_s, away_s)
                    self._check(cluster, audited)

    def test_restore_while_a_proxy_is_killed_and_a_primary_lost(self) -> None:
        for step in range(16):
            with self.subTest(step=step):
                cluster, audited = self._start(step)
                cluster.kill_proxy(cluster.proxies[step % 4])
                cluster.crash_instance(cluster.group.primary().name)
                cluster.run_for(0.2 * step)
                cluster.restore_store(1.0 + 0.3 * step, 0.1 * (step % 5))
                cluster.run_for(0.15 * step)
                cluster.start_proxy(cluster.proxies[step % 4])
                self._check(cluster, audited)

    def test_restores_that_a_silent_proxy_misses(self) -> None:
        for step in range(12):
            with self.subTest(step=step):
                cluster, audited = self._start(step)
                cluster.simulator.pause(cluster.proxies[3].name, 4.0 + 0.5 * step)
                cluster.run_for(0.5)
                cluster.crash_instance(cluster.group.primary().name)
                cluster.run_for(0.3 * step)
                cluster.restore_store(1.0 + 0.2 * step, 0.3)
                cluster.run_for(2.0)
                cluster.restore_store(1.5, 0.2)
                self._check(cluster, audited)


class TestFleetAfterRestore(RestoreTestCase):
    def _fleet(self, node: GatewayNode) -> set[str]:
        return {record.name for record in node.gateway.cluster_state.fleet.active()}

    def test_lost_registration_is_written_again(self) -> None:
        cluster = start_cluster()
        cluster.run_for(5.0)
        cluster.add_proxy("entry-4")
        cluster.run_for(1.0)
        cluster.restore_store(4.0, 0.5)
        cluster.run_for(3.0)
        for node in cluster.proxies:
            self.assertEqual({n.name for n in cluster.proxies}, self._fleet(node))
        self.assert_served(cluster)

    def test_registration_is_written_again_once(self) -> None:
        cluster = start_cluster(proxies=6)
        cluster.run_for(3.0)
        cluster.restore_store(2.0, 0.5)
        cluster.run_for(0.49)
        written_before = {node.name: self._count_registrations(node) for node in cluster.proxies}
        cluster.run_for(6.0)
        for node in cluster.proxies:
            self.assertEqual(1, self._count_registrations(node) - written_before[node.name])

    def _count_registrations(self, node: GatewayNode) -> int:
        return node.event_log.outcomes(EventType.FLEET).count("registered")

    def test_proxy_that_left_does_not_come_back(self) -> None:
        cluster = start_cluster(proxies=4)
        cluster.run_for(2.0)
        leaving = cluster.proxies[3]
        cluster.simulator.call_later(0.0, lambda: leaving.gateway._run(_shut_down(leaving)))
        cluster.run_for(4.0)
        cluster.kill_proxy(leaving)
        self.assertNotIn(leaving.name, self._fleet(cluster.proxies[0]))
        cluster.restore_store(5.0, 0.3)
        cluster.run_for(0.3)
        end = cluster.simulator.now + 3.0
        while cluster.simulator.now < end:
            cluster.run_for(0.05)
            for node in cluster.proxies[:3]:
                self.assertNotIn(leaving.name, self._fleet(node))

    def test_failover_does_not_wait_for_a_proxy_that_left(self) -> None:
        cluster = start_cluster(proxies=4)
        cluster.run_for(2.0)
        leaving = cluster.proxies[3]
        cluster.simulator.call_later(0.0, lambda: leaving.gateway._run(_shut_down(leaving)))
        cluster.run_for(4.0)
        cluster.kill_proxy(leaving)
        cluster.restore_store(5.0, 0.3)
        cluster.run_for(1.0)
        cluster.crash_instance("db-a")
        crashed_at = cluster.simulator.now
        cluster.run_for(6.0)
        self.assertEqual([2], cluster.promoted_terms())
        self.assertLess(cluster.group.term_started_at[2], crashed_at + 5.0)

    def test_mark_of_a_stopping_proxy_is_written_again(self) -> None:
        cluster = start_cluster(proxies=4)
        cluster.run_for(3.0)
        leaving = cluster.proxies[3]
        caller = cluster.open_session(leaving, QUOTES)
        keep_writing(cluster, caller)
        cluster.simulator.call_later(0.0, lambda: leaving.gateway._run(_shut_down(leaving)))
        cluster.run_for(0.5)
        self.assertNotIn(leaving.name, self._fleet(cluster.proxies[0]))
        cluster.restore_store(2.0, 0.1)
        cluster.run_for(1.8)
        self.assertNotIn(leaving.name, self._fleet(cluster.proxies[0]))


async def _shut_down(node: GatewayNode) -> None:
    await node.gateway.shut_down()


class TestContentsAfterRestore(RestoreTestCase):
    def test_route_added_while_watches_are_silent_is_in_force_in_time(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                cluster = start_cluster(seed, proxies=6)
                cluster.run_for(3.0 + 0.35 * seed)
                cluster.restore_store(2.0, 0.0, rewrite_delay_s=0.01)
                cluster.run_for(0.05)
                cluster.change_routes(*ROUTES, Route("added", ROUTES[0].consistency, SERVICE, 1.0))
                cluster.run_for(CONFIGURATION_DEADLINE_S)
                for node in cluster.proxies:
                    self.assertIsNotNone(node.gateway.cluster_state.route("added"), node.name)

    def test_configuration_does_not_go_back(self) -> None:
        cluster = start_cluster(proxies=6)
        cluster.run_for(3.0)
        cluster.change_routes(*ROUTES, Route("added", ROUTES[0].consistency, SERVICE, 1.0))
        cluster.run_for(1.0)
        cluster.restore_store(3.0, 0.5, rewrite_delay_s=2.0)
        for _ in range(100):
            cluster.run_for(0.05)
            for node in cluster.proxies:
                self.assertIsNotNone(node.gateway.cluster_state.route("added"), node.name)

    def test_started_proxy_gets_the_newer_configuration_from_its_peers(self) -> None:
        for proxies in (3, 6):
            with self.subTest(proxies=proxies):
                cluster = start_cluster(proxies=proxies)
                cluster.run_for(3.0)
                cluster.change_routes(*ROUTES, Route("added", ROUTES[0].consistency, SERVICE, 1.0))
                cluster.run_for(1.0)
                cluster.restore_store(3.0, 0.5, rewrite_delay_s=10.0)
                cluster.run_for(1.0)
                for node in cluster.proxies[: proxies - 1]:
                    cluster.kill_proxy(node)
                    cluster.start_proxy(node)
                cluster.run_for(CONFIGURATION_DEADLINE_S)
                for node in cluster.proxies:
                    self.assertIsNotNone(node.gateway.cluster_state.route("added"), node.name)

    def test_draining_instance_of_the_copy_gets_no_new_work(self) -> None:
        cluster = start_cluster()
        cluster.run_for(3.0)
        cluster.group.publish("db-c", InstanceState.DRAINING)
        cluster.run_for(1.0)
        cluster.restore_store(3.0, 0.5, rewrite_delay_s=1.5)
        for _ in range(60):
            cluster.run_for(0.05)
            for node in cluster.proxies:
                directory = node.gateway.cluster_state.directory
                self.assertFalse(directory.accepts_work("db-c"), node.name)

    def test_instance_added_in_the_lost_time_is_used_again(self) -> None:
        cluster = start_cluster()
        cluster.run_for(3.0)
        cluster.replace_primary("db-a", "db-n")
        cluster.run_for(3.0)
        cluster.restore_store(5.0, 0.5, rewrite_delay_s=1.0)
        self.run_checking_leases(cluster, 8.0)
        for node in cluster.proxies:
            self.assertTrue(node.gateway.cluster_state.directory.accepts_work("db-n"))
        self.assert_served(cluster)
