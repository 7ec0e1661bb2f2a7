"""Failovers and switchovers of the primary, on virtual time."""

from __future__ import annotations

from functools import partial

import testtools

from orioleplank.decision.group import LEASE_DURATION_S
from orioleplank.decision.instances import DRAIN_CUTOFF_MARGIN_S, DbRole
from orioleplank.decision.session import (
    FailureCode,
    Read,
    Write,
)
from orioleplank.tests._gateway_cluster import DRAIN_PERIOD_S, QUOTES, GatewayCluster
from orioleplank.tests._gateway_helpers import failure_code, keep_writing, start_cluster
from orioleplank.tests._simulated_instances import PROMOTION_DELAY_S


class TestPromotion(testtools.TestCase):
    def test_crashed_primary_is_replaced_and_callers_are_served_again(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.send_and_wait(caller, Write("q1 oak"))
        cluster.run_for(0.5)
        cluster.crash_instance("db-a")
        crashed_at = cluster.simulator.now
        reply = cluster.send_and_wait(caller, Write("q2 ash"))
        while reply.failure is not None and cluster.simulator.now < crashed_at + 7.0:
            reply = cluster.send_and_wait(caller, Write("q2 ash"))
        self.assertIsNone(reply.failure)
        self.assertLess(cluster.simulator.now - crashed_at, 7.0)
        self.assertEqual(("oak",), cluster.send_and_wait(caller, Read("q1")).rows)
        self.assertEqual([2], cluster.promoted_terms())

    def test_promotion_waits_until_the_lease_of_an_unresponsive_proxy_expires(self) -> None:
        cluster = start_cluster()
        cluster.run_for(2.0)
        unresponsive = cluster.proxies[2]
        unresponsive.paused = True
        cluster.crash_instance("db-a")
        crashed_at = cluster.simulator.now
        cluster.run_for(20.0)
        lease_end = unresponsive.gateway.cluster_state.leases.leases_start_at + LEASE_DURATION_S
        self.assertEqual([2], cluster.promoted_terms())
        self.assertGreater(cluster.group.term_started_at[2], lease_end)
        self.assertLess(cluster.group.term_started_at[2], crashed_at + 16.0)

    def test_crashed_primary_under_load_is_replaced_within_a_second_and_the_promotion_delay(
        self,
    ) -> None:
        cluster = start_cluster()
        for proxy in cluster.proxies:
            for _ in range(2):
                keep_writing(cluster, cluster.open_session(proxy, QUOTES))
        cluster.run_for(1.0)
        cluster.crash_instance("db-a")
        crashed_at = cluster.simulator.now
        cluster.run_for(4.0)
        self.assertLess(cluster.group.term_started_at[2] - crashed_at, 1.0 + PROMOTION_DELAY_S)

    def test_promotion_not_requested_by_a_proxy_is_discovered(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
        cluster.run_for(0.5)
        cluster.group.members["db-a"].role = DbRole.REPLICA
        cluster.group.promote("db-b", 2)
        cluster.send_and_wait(caller, Write("q2 ash"))
        cluster.run_for(1.0)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q2 ash")).failure)
        self.assertEqual([2], cluster.promoted_terms())

    def test_promotion_does_not_wait_for_a_proxy_whose_lease_has_expired(self) -> None:
        cluster = start_cluster()
        cluster.run_for(2.0)
        cluster.proxies[2].paused = True
        cluster.run_for(LEASE_DURATION_S + 5.0)
        self.assertNotIn("entry-3", cluster.proxies[0].gateway.cluster_state.fleet.proxies)
        cluster.crash_instance("db-a")
        crashed_at = cluster.simulator.now
        cluster.run_for(6.0)
        self.assertEqual([2], cluster.promoted_terms())
        self.assertLess(cluster.group.term_started_at[2], crashed_at + 5.0)

    def test_wait_for_an_unresponsive_proxy_starts_at_its_retirement(self) -> None:
        cluster = start_cluster()
        cluster.run_for(2.0)
        cluster.proxies[2].paused = True
        paused_at = cluster.simulator.now
        cluster.run_for(6.0)
        self.assertTrue(cluster.proxies[0].gateway.cluster_state.fleet.proxies["entry-3"].retired)
        cluster.crash_instance("db-a")
        cluster.run_for(12.0)
        self.assertEqual([2], cluster.promoted_terms())
        self.assertGreater(cluster.group.term_started_at[2], paused_at + LEASE_DURATION_S - 2.0)
        self.assertLess(cluster.group.term_started_at[2], paused_at + LEASE_DURATION_S + 5.0)

    def test_resumed_proxy_registers_again_and_serves(self) -> None:
        cluster = start_cluster()
        cluster.run_for(2.0)
        cluster.simulator.pause("entry-3", 6.0)
        cluster.run_for(8.0)
        self.assertFalse(cluster.proxies[0].gateway.cluster_state.fleet.proxies["entry-3"].retired)
        caller = cluster.open_session(cluster.proxies[2], QUOTES)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)

    def test_replacement_instance_with_the_primary_role_is_accepted_as_primary(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.send_and_wait(caller, Write("q1 oak"))
        cluster.replace_primary("db-a", "db-n")
        cluster.run_for(12.0)
        self.assertEqual(("oak",), cluster.send_and_wait(caller, Read("q1")).rows)

    def test_failover_of_a_killed_fleet_is_finished_after_its_restart(self) -> None:
        cluster = start_cluster()
        cluster.crash_instance("db-a")
        while cluster.proxies[0].gateway.cluster_state.leases.lease("books") is not None:
            cluster.run_for(0.05)
        for proxy in cluster.proxies:
            cluster.kill_proxy(proxy)
        cluster.run_for(0.5)
        for proxy in cluster.proxies:
            cluster.start_proxy(proxy)
        started_at = cluster.simulator.now
        cluster.run_for(8.0)
        caller = cluster.open_session(cluster.proxies[1], QUOTES)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
        self.assertLess(max(cluster.group.term_started_at.values()), started_at + 6.0)

    def test_promotion_does_not_wait_for_the_earlier_run_of_a_restarted_proxy(self) -> None:
        cluster = start_cluster()
        cluster.kill_proxy(cluster.proxies[2])
        cluster.run_for(0.2)
        cluster.start_proxy(cluster.proxies[2])
        cluster.crash_instance("db-a")
        crashed_at = cluster.simulator.now
        cluster.run_for(6.0)
        self.assertEqual([2], cluster.promoted_terms())
        self.assertLess(cluster.group.term_started_at[2], crashed_at + 5.0)

    def test_primary_that_other_proxies_reach_is_not_replaced(self) -> None:
        cluster = start_cluster()
        isolated = cluster.proxies[0]
        for proxy in cluster.proxies[1:]:
            caller = cluster.open_session(proxy, QUOTES)
            keep_writing(cluster, caller)
        cluster.simulator.cut_link(isolated.name, "db-a")
        cluster.simulator.cut_link("db-a", isolated.name)
        caller_of_isolated = cluster.open_session(isolated, QUOTES)
        cluster.run_for(3.0)
        self.assertIsNone(cluster.send_and_wait(caller_of_isolated, Write("own x")).failure)
        cluster.run_for(8.0)
        self.assertIsNone(cluster.send_and_wait(caller_of_isolated, Write("own x")).failure)
        self.assertEqual([], cluster.promoted_terms())

    def test_fencing_tokens_of_promotions_never_decrease_and_are_not_shared_by_proxies(
        self,
    ) -> None:
        for seed in range(5):
            cluster = start_cluster(seed)
            cluster.crash_instance("db-a")
            cluster.simulator.call_later(0.8, partial(cluster.kill_proxy, cluster.proxies[0]))
            cluster.simulator.call_later(1.2, partial(cluster.start_proxy, cluster.proxies[0]))
            cluster.run_for(25.0)
            tokens = [token for _, token, _ in cluster.group.promotion_orders]
            self.assertEqual(sorted(tokens), tokens)
            # No token was used by two proxies.
            holders = {token: holder for holder, token, _ in cluster.group.promotion_orders}
            self.assertEqual(
                len(holders), len({(h, t) for h, t, _ in cluster.group.promotion_orders})
            )

    def test_draining_primary_is_replaced_without_loss_of_acknowledged_writes(self) -> None:
        cluster = start_cluster()
        callers = [cluster.open_session(proxy, QUOTES) for proxy in cluster.proxies]
        for caller in callers:
            keep_writing(cluster, caller)
        cluster.run_for(1.0)
        cluster.drain_instance("db-a")
        cluster.run_for(4.0)
        self.assertEqual([2], cluster.promoted_terms())
        acknowledged = sum(1 for c in callers for r in c.replies if r.failure is None)
        entry_count = len([e for e in cluster.group.primary().log])
        self.assertGreaterEqual(entry_count, acknowledged)


class TestSwitchoverWithAnUnresponsiveProxy(testtools.TestCase):
    def _write_for(self, cluster: GatewayCluster, seconds: float) -> list[FailureCode | None]:
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        codes: list[FailureCode | None] = []
        end = cluster.simulator.now + seconds
        while cluster.simulator.now < end:
            codes.append(failure_code(cluster.send_and_wait(caller, Write("q1 oak"))))
            cluster.run_for(0.05)
        return codes

    def test_draining_primary_keeps_serving_while_a_lease_cannot_be_released(self) -> None:
        cluster = start_cluster(proxies=4)
        cluster.simulator.pause(cluster.proxies[3].name, 60.0)
        cluster.run_for(0.2)
        cluster.drain_instance("db-a")
        self.assertEqual(
            {None}, set(self._write_for(cluster, DRAIN_PERIOD_S - DRAIN_CUTOFF_MARGIN_S - 1.0))
        )

    def test_switchover_completes_once_the_proxy_responds(self) -> None:
        cluster = start_cluster(proxies=4)
        cluster.simulator.pause(cluster.proxies[3].name, 1.5)
        cluster.run_for(0.2)
        cluster.drain_instance("db-a")
        codes = self._write_for(cluster, 3.9)
        self.assertEqual(2, cluster.group.primary().term)
        self.assertEqual({None}, set(codes))

    def test_switchover_completes_after_lease_expiry_if_the_proxy_stays_unresponsive(self) -> None:
        cluster = start_cluster(proxies=4)
        cluster.simulator.pause(cluster.proxies[3].name, 60.0)
        cluster.run_for(0.2)
        cluster.drain_instance("db-a")
        cluster.run_for(DRAIN_PERIOD_S + LEASE_DURATION_S)
        self.assertEqual(2, cluster.group.primary().term)
