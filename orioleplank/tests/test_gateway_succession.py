"""Time without a primary when the primary fails together with the proxy that replaces it."""

from __future__ import annotations

import testtools

from orioleplank.decision.group import CLOCK_DRIFT_MARGIN_S, LEASE_DURATION_S, GroupPhase
from orioleplank.tests._gateway_cluster import QUOTES, GatewayCluster, GatewayNode
from orioleplank.tests._gateway_helpers import keep_writing, start_cluster
from orioleplank.tests._simulated_instances import PROMOTION_DELAY_S, SERVICE
from orioleplank.tests._simulated_store import STORE_NODE

# Longest time without a primary apart from the delay of the promotion itself.
MAX_GAP_S = 2.0


def _keep_all_writing(cluster: GatewayCluster) -> None:
    for proxy in cluster.proxies:
        keep_writing(cluster, cluster.open_session(proxy, QUOTES))


def _wait_for_claim(cluster: GatewayCluster) -> GatewayNode:
    """Run until a failover is claimed; return the proxy that claimed it."""
    while True:
        cluster.run_for(0.005)
        for proxy in cluster.proxies:
            groups = proxy.gateway.cluster_state.leases.group_records
            if groups[SERVICE].record.phase is GroupPhase.MOVING:
                name = groups[SERVICE].record.holder
                return next(node for node in cluster.proxies if node.name == name)


class TestTimeWithoutPrimary(testtools.TestCase):
    def _measure_gap(self, cluster: GatewayCluster, started_at: float) -> float:
        """Return the seconds from `started_at` to the next term, less the promotion's delay."""
        while 2 not in cluster.group.term_started_at:
            cluster.run_for(0.05)
            self.assertLess(cluster.simulator.now, started_at + 30.0)
        return cluster.group.term_started_at[2] - started_at - PROMOTION_DELAY_S

    def test_report_of_a_silent_old_primary_is_not_awaited(self) -> None:
        cluster = start_cluster(proxies=9)
        _keep_all_writing(cluster)
        cluster.run_for(1.0)
        cluster.simulator.pause("db-a", 20.0)
        self.assertLess(self._measure_gap(cluster, cluster.simulator.now), MAX_GAP_S)

    def test_coordinator_without_the_store_is_succeeded(self) -> None:
        for proxies in (9, 81):
            with self.subTest(proxies=proxies):
                cluster = start_cluster(proxies=proxies)
                _keep_all_writing(cluster)
                cluster.run_for(1.0)
                cluster.crash_instance("db-a")
                coordinator = _wait_for_claim(cluster)
                cluster.simulator.cut_link(coordinator.name, STORE_NODE)
                claimed_at = cluster.simulator.now
                self.assertLess(self._measure_gap(cluster, claimed_at), MAX_GAP_S)

    def test_lease_of_a_lost_coordinator_expires_from_its_claim(self) -> None:
        cluster = start_cluster(proxies=9)
        _keep_all_writing(cluster)
        cluster.run_for(1.0)
        cluster.crash_instance("db-a")
        coordinator = _wait_for_claim(cluster)
        cluster.simulator.pause(coordinator.name, 60.0)
        claimed_at = cluster.simulator.now
        gap = self._measure_gap(cluster, claimed_at)
        lease_end = coordinator.gateway.cluster_state.leases.leases_start_at + LEASE_DURATION_S
        self.assertGreater(cluster.group.term_started_at[2], lease_end)
        self.assertLess(gap, LEASE_DURATION_S + CLOCK_DRIFT_MARGIN_S + 1.0)

    def test_resumed_coordinator_requests_no_promotion_after_a_succession(self) -> None:
        for seconds in (1.0, 1.4, 1.6, 1.8, 2.0, 2.5, 4.0):
            with self.subTest(seconds=seconds):
                cluster = start_cluster(proxies=5)
                _keep_all_writing(cluster)
                cluster.run_for(1.0)
                cluster.crash_instance("db-a")
                cluster.simulator.pause(_wait_for_claim(cluster).name, seconds)
                cluster.run_for(12.0)
                self.assertEqual([2], cluster.promoted_terms())
                orders = cluster.group.promotion_orders
                self.assertEqual(1, len({holder for holder, _, _ in orders}))
                tokens = [token for _, token, _ in orders]
                self.assertEqual(sorted(tokens), tokens)
