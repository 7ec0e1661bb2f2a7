"""Loads of connection owners: what senders learn from responses and do with it, on virtual time."""

from __future__ import annotations

import testtools

from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.decision.routing import LoadReport
from orioleplank.decision.session import Write
from orioleplank.gateway._frames import NotSent
from orioleplank.gateway._running_statements import INITIAL_STATEMENT_S
from orioleplank.tests._gateway_cluster import QUOTES, GatewayCluster, GatewayNode

START_S = 4.0
# So few connections for so many proxies that owners hold them.
PROXIES = 9
CONNECTIONS = 16


def _start_cluster(mechanisms: MechanismSwitches = ALL_ON) -> GatewayCluster:
    cluster = GatewayCluster(1, PROXIES, CONNECTIONS, mechanisms)
    cluster.run_for(START_S)
    return cluster


def _non_owner(cluster: GatewayCluster, instance: str) -> GatewayNode:
    """Return a proxy that owns no connections to an instance."""
    owners = cluster.proxies[0].gateway.cluster_state.connection_owners(instance)
    return next(node for node in cluster.proxies if node.name not in owners)


def _owners(cluster: GatewayCluster, instance: str) -> list[GatewayNode]:
    names = cluster.proxies[0].gateway.cluster_state.connection_owners(instance)[:2]
    return [node for node in cluster.proxies if node.name in names]


def _has_answered(owner: GatewayNode, instance: str) -> bool:
    """Return whether a statement was answered on a proxy's own connections to an instance."""
    pool = owner.gateway.cluster_state.own_connection_pool(instance)
    return pool is not None and pool.statements.mean_time != INITIAL_STATEMENT_S


def _known_reports(cluster: GatewayCluster, node: GatewayNode, instance: str) -> list[LoadReport]:
    """Return what a proxy knows of the owners of an instance."""
    loads = node.gateway.forwarding_client.owner_loads
    owners = cluster.proxies[0].gateway.cluster_state.connection_owners(instance)
    known = (loads.report(instance, owner) for owner in owners)
    return [report for report in known if report is not None]


class TestNewsOfOwners(testtools.TestCase):
    def test_sender_knows_the_load_after_a_response(self) -> None:
        cluster = _start_cluster()
        node = _non_owner(cluster, "db-a")
        cluster.send_and_wait(cluster.open_session(node, QUOTES), Write("q1 oak"))
        reports = _known_reports(cluster, node, "db-a")
        self.assertEqual(1, len(reports))
        self.assertEqual(0, reports[0].load.waiting)
        self.assertGreaterEqual(reports[0].load.limit, 1)
        self.assertGreater(reports[0].base_time, 0.0)

    def test_burst_is_seen_as_a_queue(self) -> None:
        cluster = _start_cluster()
        node = _non_owner(cluster, "db-a")
        for number in range(40):
            cluster.send_request(cluster.open_session(node, QUOTES), Write(f"q{number} oak"))
        cluster.run_for(0.015)
        reports = _known_reports(cluster, node, "db-a")
        self.assertGreater(max(r.load.waiting for r in reports), 0)
        self.assertGreater(max(r.expected_wait for r in reports), 0.0)

    def test_switched_off_owners_tell_nothing(self) -> None:
        cluster = _start_cluster(MechanismSwitches(frozenset({Mechanism.OWNER_LOAD})))
        node = _non_owner(cluster, "db-a")
        cluster.send_and_wait(cluster.open_session(node, QUOTES), Write("q1 oak"))
        self.assertEqual([], _known_reports(cluster, node, "db-a"))


class TestUseOfNews(testtools.TestCase):
    """A sender that knows of a long queue at the owner that it prefers."""

    def _answering_owners(self, mechanisms: MechanismSwitches) -> int:
        """Return how many owners answered, with a report of a long queue at the preferred one."""
        cluster = _start_cluster(mechanisms)
        node = _non_owner(cluster, "db-a")
        caller = cluster.open_session(node, QUOTES)
        cluster.send_and_wait(caller, Write("q1 oak"))
        preferred = next(o for o in _owners(cluster, "db-a") if _has_answered(o, "db-a"))
        full = NotSent(1, "full", False, None, (50, 5, 5, 800))
        for _ in range(4):
            loads = node.gateway.forwarding_client.owner_loads
            loads.record_response("db-a", preferred.name, None, full, cluster.simulator.now)
            cluster.send_and_wait(caller, Write("q2 oak"))
        return sum(_has_answered(owner, "db-a") for owner in _owners(cluster, "db-a"))

    def test_statement_goes_to_the_other_owner(self) -> None:
        self.assertEqual(2, self._answering_owners(ALL_ON))

    def test_switched_off_the_preferred_owner_is_kept(self) -> None:
        switches = MechanismSwitches(frozenset({Mechanism.OWNER_LOAD}))
        self.assertEqual(1, self._answering_owners(switches))
