"""Primaries that answer every probe and fail the work that they are sent."""

from __future__ import annotations

import testtools

from orioleplank.decision.failover import WORK_FAILURE_COOLDOWN_S
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.gateway import EventType
from orioleplank.tests._gateway_cluster import JOBS, QUOTES, GatewayCluster
from orioleplank.tests._gateway_helpers import keep_writing

START_S = 4.0
# A failing primary has to be replaced within this time of its first failure.
REPLACEMENT_S = 2.5
WITHOUT_REPLACEMENT = MechanismSwitches(frozenset({Mechanism.WORK_FAILURES}))


class FailingPrimaryTestCase(testtools.TestCase):
    def start_cluster(
        self,
        proxies: int = 3,
        connection_limit: int = 30,
        mechanisms: MechanismSwitches = ALL_ON,
    ) -> GatewayCluster:
        """Start a cluster with two callers at each proxy that write without end."""
        self.cluster = GatewayCluster(1, proxies, connection_limit, mechanisms)
        self.cluster.run_for(START_S)
        self.answers = 0
        for node in self.cluster.proxies:
            for database in (QUOTES, JOBS):
                caller = self.cluster.open_session(node, database)
                keep_writing(self.cluster, caller, self._count_answer)
        self.cluster.run_for(2.0)
        return self.cluster

    def _count_answer(self, reply: object) -> None:
        self.answers += 1

    def primary(self) -> str:
        """Return the name of the group's primary."""
        return self.cluster.group.primary().name


class TestReplacement(FailingPrimaryTestCase):
    def test_primary_that_fails_all_its_work_is_replaced(self) -> None:
        for proxies, limit in ((3, 30), (9, 16)):
            for fault in ("is_failing", "resets_work"):
                cluster = self.start_cluster(proxies, limit)
                old_primary = cluster.group.primary()
                setattr(old_primary, fault, True)
                cluster.run_for(REPLACEMENT_S)
                self.assertNotEqual(old_primary.name, self.primary(), fault)
                self.answers = 0
                cluster.run_for(2.0)
                self.assertGreater(self.answers, 20)

    def test_switched_off_the_primary_is_kept(self) -> None:
        cluster = self.start_cluster(mechanisms=WITHOUT_REPLACEMENT)
        cluster.group.primary().is_failing = True
        cluster.run_for(5.0)
        self.assertEqual([], cluster.group.promotion_orders)

    # No acknowledged write may be lost: the replica that takes over has received all of them.
    def test_replica_has_caught_up_when_it_takes_over(self) -> None:
        cluster = self.start_cluster()
        old_primary = cluster.group.primary()
        for member in cluster.group.members.values():
            member.lag = 0.2
        cluster.run_for(1.0)
        entries = len(old_primary.log)
        old_primary.is_failing = True
        cluster.run_for(REPLACEMENT_S)
        self.assertNotEqual(old_primary.name, self.primary())
        self.assertGreaterEqual(len(cluster.group.primary().log), entries)


class TestNoReplacement(FailingPrimaryTestCase):
    # A fault on the path of one proxy must not move the service for all others.
    def test_failures_at_one_proxy_only_are_no_reason(self) -> None:
        cluster = self.start_cluster()
        primary, node = self.primary(), cluster.proxies[0]
        end = cluster.simulator.now + 4.0
        while cluster.simulator.now < end:
            node.dialer.break_connections(primary)
            cluster.run_for(0.03)
        self.assertEqual(primary, self.primary())
        outcomes = node.event_log.outcomes(EventType.SUSPICION)
        self.assertNotIn("fails its work", outcomes)

    def test_failing_replica_is_no_reason(self) -> None:
        cluster = self.start_cluster()
        primary = self.primary()
        for member in cluster.group.members.values():
            member.is_failing = member.name != primary
        cluster.run_for(4.0)
        self.assertEqual(primary, self.primary())

    def test_service_whose_instances_all_fail_moves_at_most_once_in_the_cooldown(self) -> None:
        cluster = self.start_cluster()
        for member in cluster.group.members.values():
            member.is_failing = True
        cluster.run_for(WORK_FAILURE_COOLDOWN_S)
        self.assertEqual(1, len(cluster.promoted_terms()))
