"""Promotions that take effect after their coordinator or its claim is gone, on virtual time."""

from __future__ import annotations

from functools import partial
from random import Random

import testtools
from twisted.internet.defer import Deferred

from orioleplank.decision.failover import PROMOTION_EFFECT_TIMEOUT_S
from orioleplank.tests._audited_run import AuditedRun
from orioleplank.tests._gateway_cluster import GatewayCluster, GatewayNode
from orioleplank.tests._gateway_helpers import start_cluster
from orioleplank.tests._simulated_instances import SimulatedInstance

# The delay of the platform's promotions, in seconds.
PROMOTION_DELAY_S = 1.0
# Seconds from the kill of a process until it runs again.
RESTART_S = 0.1
# Seconds for which a crashed primary is away.
CRASH_S = 1.0
# Longest time without a primary if a successor waits in vain for a promotion, and then for the
# one that it requests itself.
MAX_GAP_S = 2 * PROMOTION_EFFECT_TIMEOUT_S + 2.0


class PendingPromotionTestCase(testtools.TestCase):
    """A cluster with callers, in which something happens at the first promotion request."""

    def start(self, seed: int = 1) -> GatewayCluster:
        """Return a cluster under load."""
        self.cluster = cluster = start_cluster(seed, proxies=4)
        cluster.group.promotion_delay_s = PROMOTION_DELAY_S
        self.audited = AuditedRun(cluster, Random(seed), callers=8)
        for caller in self.audited.callers:
            caller.send_next()
        cluster.run_for(2.0)
        return cluster

    def coordinator(self) -> GatewayNode:
        """Run until a promotion is requested; return the proxy that did."""
        while not self.cluster.group.promotion_orders:
            self.cluster.run_for(0.005)
        name = self.cluster.group.promotion_orders[-1][0]
        return next(node for node in self.cluster.proxies if node.name == name)

    def crash_primary_for_a_moment(self) -> None:
        """Crash the primary; it comes back with its log and role under another id."""
        name = self.cluster.group.primary().name
        self.cluster.crash_instance(name)
        self.cluster.simulator.call_later(CRASH_S, partial(self.cluster.return_under_new_id, name))

    def kill_for_a_moment(self, node: GatewayNode) -> None:
        """Kill a process, which is started again soon."""
        self.cluster.kill_proxy(node)
        self.cluster.simulator.call_later(RESTART_S, partial(self.cluster.start_proxy, node))

    def assert_no_violation(self, seconds: float = 8.0) -> None:
        """Run; no write may be committed at a replaced primary and acknowledged."""
        self.cluster.run_for(seconds)
        answered = self.audited.audit.answered
        self.cluster.run_for(2.0)
        self.assertGreater(self.audited.audit.answered, answered + 10)
        self.audited.check_invariants()
        self.assertEqual([], self.audited.audit.violations[:3])


class TestCoordinatorThatEnds(PendingPromotionTestCase):
    # The successor took the old primary for the new one while a promotion was on its way.
    def test_promotion_of_a_killed_coordinator_is_waited_for(self) -> None:
        for delay_s in (0.0, 0.05, 0.2, 0.35, 0.5, 0.8):
            with self.subTest(delay_s=delay_s):
                cluster = self.start()
                self.crash_primary_for_a_moment()
                coordinator = self.coordinator()
                cluster.run_for(delay_s)
                self.kill_for_a_moment(coordinator)
                self.assert_no_violation()

    def test_promotion_of_a_coordinator_that_shuts_down_is_waited_for(self) -> None:
        for delay_s in (0.0, 0.3):
            with self.subTest(delay_s=delay_s):
                cluster = self.start()
                self.crash_primary_for_a_moment()
                coordinator = self.coordinator()
                cluster.run_for(delay_s)
                Deferred.fromCoroutine(coordinator.gateway.shut_down())
                self.assert_no_violation()

    def test_successors_that_are_killed_in_turn_wait_too(self) -> None:
        cluster = self.start()
        self.crash_primary_for_a_moment()
        self.kill_for_a_moment(self.coordinator())
        for _ in range(2):
            cluster.run_for(0.3)
            record = cluster.proxies[0].gateway.cluster_state.leases.group_records["books"].record
            holder = next(node for node in cluster.proxies if node.name == record.holder)
            self.kill_for_a_moment(holder)
        self.assert_no_violation()

    def test_promotion_that_was_lost_delays_the_failover_by_its_timeout(self) -> None:
        cluster = self.start()
        cluster.group.loses_promotions = True
        self.crash_primary_for_a_moment()
        coordinator = self.coordinator()
        cluster.group.loses_promotions = False
        killed_at = cluster.simulator.now
        self.kill_for_a_moment(coordinator)
        while not cluster.promoted_terms():
            cluster.run_for(0.05)
            self.assertLess(cluster.simulator.now, killed_at + MAX_GAP_S)
        self.assert_no_violation()


class TestPromotedInstanceThatCrashes(PendingPromotionTestCase):
    def test_old_primary_is_not_used_after_its_successor_has_crashed(self) -> None:
        cluster = self.start()
        self.crash_primary_for_a_moment()
        coordinator = self.coordinator()
        crashed: list[str] = []

        def crash_promoted(member: SimulatedInstance) -> None:
            if not crashed:
                crashed.append(member.name)
                cluster.simulator.call_later(0.01, partial(cluster.crash_instance, member.name))

        cluster.group.on_promoted = crash_promoted
        cluster.run_for(0.2)
        self.kill_for_a_moment(coordinator)
        self.assert_no_violation(14.0)


class TestRestoredStore(PendingPromotionTestCase):
    # The claim was lost with the promotion on its way, and the old primary was recorded again.
    def test_promotion_before_a_restore_is_waited_for(self) -> None:
        for is_planned in (True, False):
            for delay_s in (0.0, 0.2, 0.4, 0.7):
                with self.subTest(is_planned=is_planned, delay_s=delay_s):
                    cluster = self.start()
                    if is_planned:
                        cluster.drain_instance("db-a")
                    else:
                        self.crash_primary_for_a_moment()
                    self.coordinator()
                    cluster.run_for(delay_s)
                    cluster.restore_store(4.0, 0.1)
                    self.assert_no_violation()
