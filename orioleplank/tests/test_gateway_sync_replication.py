"""Promotions of groups with synchronous replication, on virtual time."""

from __future__ import annotations

from functools import partial

import testtools

from orioleplank.decision.session import FailureCode, Read, Reply, Write
from orioleplank.gateway import EventType
from orioleplank.tests._gateway_cluster import CATALOGUE, QUOTES, GatewayCluster
from orioleplank.tests._gateway_helpers import START_S, failure_code
from orioleplank.tests._simulated_caller import SimulatedCaller
from orioleplank.tests._simulated_instances import SERVICE, SimulatedInstance

# Time after which a crashed instance is no longer listed or remembered by a proxy, in seconds.
FORGOTTEN_AFTER_S = 9.0


class SyncGroupTestCase(testtools.TestCase):
    """A group whose commits are acknowledged once one replica has received them."""

    def start(self, sync_replicas: int = 1, proxies: int = 3) -> GatewayCluster:
        """Return a cluster that is written to; acknowledged values are kept in `acknowledged`."""
        self.acknowledged: list[str] = []
        self.lost: list[str] = []
        self.writers: list[SimulatedCaller] = []
        self.cluster = cluster = GatewayCluster(1, proxies, sync_replicas=sync_replicas)
        cluster.run_for(START_S)
        cluster.group.on_promoted = self._check_promoted
        for node in cluster.proxies:
            self.writers.append(self._keep_writing(cluster.open_session(node, QUOTES)))
        cluster.run_for(1.0)
        return cluster

    def _keep_writing(self, caller: SimulatedCaller) -> SimulatedCaller:
        def send() -> None:
            if not caller.is_closed:
                value = f"v{id(caller)}-{len(caller.replies)}"
                caller.on_reply = partial(handle_reply, value)
                self.cluster.send_request(caller, Write(f"q {value}"))

        def handle_reply(value: str, reply: Reply) -> None:
            if reply.failure is None:
                self.acknowledged.append(value)
            self.cluster.simulator.call_later(0.02, send)

        send()
        return caller

    def _check_promoted(self, member: SimulatedInstance) -> None:
        held = {value for entry in member.log for _, value in entry.writes}
        self.lost += [value for value in self.acknowledged if value not in held]

    def member(self, letter: str) -> SimulatedInstance:
        """Return an instance; the first one is the primary at the start."""
        return self.cluster.group.members[f"db-{letter}"]

    def deafen(self, letter: str) -> None:
        """Let a replica receive nothing while the primary goes on for a second and a half."""
        self.member(letter).drops_entries = True
        self.cluster.run_for(1.5)

    def assert_writes_go_on(self) -> None:
        """Assert that a write of each proxy is acknowledged once the replicas receive again."""
        for name, member in self.cluster.group.members.items():
            if member.alive and member is not self.cluster.group.primary():
                self.cluster.group.catch_up(name)
        self.cluster.run_for(2.0)
        for node in self.cluster.proxies:
            caller = self.cluster.open_session(node, QUOTES)
            reply = self.cluster.send_and_wait(caller, Write("q last"))
            self.assertIsNone(reply.failure, str(reply.failure))

    def wait_outcomes(self) -> list[str]:
        """Return the outcomes of all failover events of all proxies."""
        return [o for node in self.cluster.proxies for o in node.event_log.outcomes(EventType.MOVE)]


class TestReplicaWithTheCommits(SyncGroupTestCase):
    # A draining replica with all commits ranked after one that had missed them.
    def test_draining_replica_is_promoted_before_one_that_lacks_commits(self) -> None:
        cluster = self.start()
        cluster.drain_instance("db-b")
        self.deafen("c")
        cluster.crash_instance("db-a")
        cluster.run_for(4.0)
        self.assertEqual([], self.lost)
        self.assertEqual("db-b", cluster.group.primary().name)
        self.assert_writes_go_on()

    # The only replica that reported was promoted while the one with the commits was down.
    def test_replica_that_is_down_for_a_moment_is_waited_for(self) -> None:
        for seconds in (0.5, 3.0, FORGOTTEN_AFTER_S):
            with self.subTest(seconds=seconds):
                cluster = self.start()
                self.deafen("c")
                cluster.crash_instance("db-b")
                cluster.crash_instance("db-a")
                cluster.run_for(seconds)
                self.assertEqual([], cluster.promoted_terms())
                cluster.restart_instance("db-b")
                cluster.run_for(4.0)
                self.assertEqual([], self.lost)
                self.assertEqual("db-b", cluster.group.primary().name)
                self.assert_writes_go_on()

    def test_replica_that_has_been_forgotten_before_the_primary_crashes_is_waited_for(self) -> None:
        cluster = self.start()
        self.deafen("c")
        cluster.crash_instance("db-b")
        cluster.run_for(FORGOTTEN_AFTER_S)
        cluster.crash_instance("db-a")
        cluster.run_for(6.0)
        self.assertEqual([], cluster.promoted_terms())
        cluster.restart_instance("db-b")
        cluster.run_for(4.0)
        self.assertEqual([], self.lost)
        self.assert_writes_go_on()

    def test_replica_that_comes_back_under_another_id_is_recognized(self) -> None:
        cluster = self.start()
        self.deafen("c")
        cluster.crash_instance("db-a")
        cluster.replace_primary("db-b", "db-n")
        self.member("n").alive = False
        cluster.run_for(3.0)
        self.assertEqual([], cluster.promoted_terms())
        self.member("n").alive = True
        cluster.run_for(4.0)
        self.assertEqual([], self.lost)
        self.assertEqual("db-n", cluster.group.primary().name)

    def test_replica_that_is_too_busy_to_report_is_waited_for(self) -> None:
        cluster = self.start()
        self.deafen("c")
        self.member("b").is_full = True
        cluster.crash_instance("db-a")
        cluster.run_for(3.0)
        self.assertEqual([], cluster.promoted_terms())
        self.member("b").is_full = False
        cluster.run_for(4.0)
        self.assertEqual([], self.lost)
        self.assert_writes_go_on()

    def test_one_report_suffices_if_both_replicas_confirm_each_commit(self) -> None:
        cluster = self.start(sync_replicas=2)
        cluster.crash_instance("db-b")
        cluster.crash_instance("db-a")
        cluster.run_for(4.0)
        self.assertEqual([], self.lost)
        self.assertEqual("db-c", cluster.group.primary().name)

    def test_old_primary_goes_on_if_no_other_has_the_commits(self) -> None:
        cluster = self.start()
        self.deafen("c")
        cluster.crash_instance("db-b")
        cluster.crash_instance("db-a")
        cluster.run_for(3.0)
        cluster.restart_instance("db-a")
        cluster.run_for(4.0)
        self.assertEqual([], cluster.promoted_terms())
        self.assert_writes_go_on()

    def test_promoted_instance_that_crashes_before_any_other_caught_up_is_waited_for(self) -> None:
        cluster = self.start()
        cluster.drain_instance("db-b")
        self.deafen("c")
        cluster.crash_instance("db-a")
        while not cluster.promoted_terms():
            cluster.run_for(0.05)
        # As if the other one still received nothing.
        lagging = self.member("c")
        lagging.log, lagging.term, lagging.drops_entries = lagging.log[:5], 1, True
        cluster.run_for(1.0)
        cluster.crash_instance("db-b")
        cluster.run_for(5.0)
        self.assertEqual([2], cluster.promoted_terms())
        cluster.restart_instance("db-b")
        cluster.group.catch_up("db-c")
        cluster.run_for(5.0)
        self.assertEqual([], self.lost)
        self.assert_writes_go_on()


class TestWait(SyncGroupTestCase):
    """What callers and operators see while no instance can be promoted safely."""

    def _start_waiting(self) -> GatewayCluster:
        cluster = self.start()
        self.deafen("c")
        cluster.crash_instance("db-b")
        cluster.crash_instance("db-a")
        cluster.run_for(5.0)
        return cluster

    def test_writes_are_refused_at_once_with_the_reason(self) -> None:
        cluster = self._start_waiting()
        for node in cluster.proxies:
            caller = cluster.open_session(node, QUOTES)
            reply = cluster.send_and_wait(caller, Write("q x"), 0.05)
            assert reply.failure is not None
            self.assertIs(FailureCode.BUSY, reply.failure.code)
            self.assertIn(self.member("b").directory_entry.address, reply.failure.detail)

    def test_wait_is_logged_once(self) -> None:
        self._start_waiting()
        self.assertEqual(1, self.wait_outcomes().count("no safe instance"))

    def test_wait_continues_at_restarted_proxies(self) -> None:
        cluster = self._start_waiting()
        for node in cluster.proxies:
            cluster.kill_proxy(node)
        cluster.run_for(0.5)
        for node in cluster.proxies:
            cluster.start_proxy(node)
        cluster.run_for(8.0)
        self.assertEqual([], cluster.promoted_terms())
        cluster.restart_instance("db-b")
        cluster.run_for(6.0)
        self.assertEqual([], self.lost)
        self.assert_writes_go_on()

    def test_operator_ends_the_wait_with_a_configuration_without_confirmations(self) -> None:
        cluster = self._start_waiting()
        cluster.change_sync_replicas(0)
        cluster.run_for(4.0)
        self.assertEqual("db-c", cluster.group.primary().name)
        self.assert_writes_go_on()


class TestChangedSetting(SyncGroupTestCase):
    def test_commits_from_before_the_setting_was_lowered_are_looked_for(self) -> None:
        cluster = self.start()
        self.deafen("c")
        cluster.crash_instance("db-b")
        cluster.change_sync_replicas(0)
        cluster.run_for(0.3)
        cluster.crash_instance("db-a")
        cluster.run_for(4.0)
        self.assertEqual([], cluster.promoted_terms())

    def test_lowered_setting_counts_once_a_replica_has_caught_up(self) -> None:
        cluster = self.start()
        cluster.change_sync_replicas(0)
        cluster.run_for(3.0)
        cluster.crash_instance("db-b")
        cluster.crash_instance("db-a")
        cluster.run_for(4.0)
        self.assertEqual("db-c", cluster.group.primary().name)

    def test_raised_setting_counts_at_once(self) -> None:
        cluster = self.start(sync_replicas=0)
        cluster.change_sync_replicas(1)
        cluster.run_for(0.3)
        self.acknowledged.clear()
        self.deafen("c")
        cluster.crash_instance("db-b")
        cluster.crash_instance("db-a")
        cluster.run_for(3.0)
        self.assertEqual([], cluster.promoted_terms())


class TestChangedReplicas(SyncGroupTestCase):
    def test_replica_that_has_left_for_good_is_not_waited_for(self) -> None:
        cluster = self.start()
        cluster.crash_instance("db-b")
        cluster.run_for(FORGOTTEN_AFTER_S)
        cluster.crash_instance("db-a")
        cluster.run_for(4.0)
        self.assertEqual([], self.lost)
        self.assertEqual("db-c", cluster.group.primary().name)

    def test_record_of_a_replica_leaves_running_writes_alone(self) -> None:
        cluster = self.start()
        cluster.crash_instance("db-b")
        cluster.run_for(FORGOTTEN_AFTER_S)
        cluster.restart_instance("db-b")
        cluster.run_for(3.0)
        self.assertIn("replicas recorded", self.wait_outcomes())
        codes = {failure_code(reply) for writer in self.writers for reply in writer.replies}
        self.assertEqual({None}, codes)

    def test_group_without_synchronous_replication_is_not_written_again(self) -> None:
        cluster = self.start(sync_replicas=0)
        cluster.crash_instance("db-b")
        cluster.run_for(FORGOTTEN_AFTER_S)
        self.assertNotIn("replicas recorded", self.wait_outcomes())


class TestSwitchover(SyncGroupTestCase):
    def test_switchover_is_put_off_while_no_replica_has_the_commits(self) -> None:
        cluster = self.start()
        self.deafen("c")
        cluster.crash_instance("db-b")
        cluster.drain_instance("db-a")
        cluster.run_for(2.0)
        self.assertEqual([], cluster.promoted_terms())
        self.assertIn("put off", self.wait_outcomes())
        self.assertNotIn("claimed", self.wait_outcomes())

    def test_switchover_loses_no_commit_while_a_replica_receives_nothing(self) -> None:
        cluster = self.start()
        self.deafen("c")
        cluster.drain_instance("db-a")
        cluster.run_for(4.0)
        self.assertEqual([2], cluster.promoted_terms())
        self.assertEqual([], self.lost)
        self.assertEqual("db-b", cluster.group.primary().name)


class TestReads(SyncGroupTestCase):
    def test_replica_serves_reads_of_accepted_age_at_the_beginning_of_the_wait(self) -> None:
        cluster = self.start()
        cluster.crash_instance("db-b")
        cluster.run_for(0.5)
        cluster.crash_instance("db-a")
        caller = cluster.open_session(cluster.proxies[0], CATALOGUE)
        self.assertIsNone(cluster.send_and_wait(caller, Read("q")).failure)
        self.assertEqual(SERVICE, self.member("c").directory_entry.service)
