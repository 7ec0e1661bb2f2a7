"""Callers that leave while a request of theirs waits, is retried or runs, on virtual time."""

from __future__ import annotations

import testtools

from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.decision.session import Begin, Commit, Read, SetValue, Write
from orioleplank.gateway._pool import InstancePool
from orioleplank.tests._gateway_cluster import QUOTES, GatewayCluster, GatewayNode
from orioleplank.tests._simulated_caller import SimulatedCaller

START_S = 4.0
PRIMARY = "db-a"
# Two round trips between proxies, for notices to arrive.
NOTICE_S = 0.05


class _LeavingCallers(testtools.TestCase):
    """Helpers of the tests with and without connection owners."""

    def start(
        self, proxies: int, connections: int, mechanisms: MechanismSwitches = ALL_ON
    ) -> GatewayCluster:
        """Return a cluster that is ready to serve."""
        cluster = GatewayCluster(1, proxies, connections, mechanisms)
        cluster.run_for(START_S)
        return cluster

    def hold_connections(
        self, cluster: GatewayCluster, node: GatewayNode, count: int
    ) -> list[SimulatedCaller]:
        """Open transactions at the primary that hold `count` connections."""
        callers = [cluster.open_session(node, QUOTES) for _ in range(count)]
        for caller in callers:
            cluster.send_and_wait(caller, Begin(False))
            reply = cluster.send_and_wait(caller, Write("held 1"))
            self.assertIsNone(reply.failure)
        return callers

    def assert_never_runs(self, cluster: GatewayCluster, request: str) -> None:
        """Check that an instance does not run a request within the route's timeout."""
        cluster.run_for(2.0)
        self.assertNotIn(request, [e.request for e in cluster.group.executions])

    def pool(self, node: GatewayNode) -> InstancePool:
        """Return a proxy's pool of its own connections to the primary."""
        pool = node.gateway.cluster_state.own_connection_pool(PRIMARY)
        assert pool is not None
        return pool


def _open_connections(node: GatewayNode) -> int:
    return sum(link.is_open for name, link in node.dialer.links if name == PRIMARY)


class TestLeavingWithoutOwners(_LeavingCallers):
    """Each proxy has four connections of its own to each instance."""

    def test_wait_for_a_connection_ends_at_once(self) -> None:
        """Guards against work for callers that are gone ahead of work for those that wait."""
        cluster = self.start(3, 14)
        node = cluster.proxies[0]
        holders = self.hold_connections(cluster, node, 4)
        caller = cluster.open_session(node, QUOTES)
        request = cluster.send_request(caller, Write("q1 oak"))
        cluster.run_for(0.01)
        pool = self.pool(node)
        self.assertEqual(5, pool.in_flight)
        caller.close()
        self.assertEqual(4, pool.in_flight)
        cluster.send_and_wait(holders[0], Commit())
        self.assert_never_runs(cluster, request)

    def test_without_cancellation_the_request_runs(self) -> None:
        mechanisms = MechanismSwitches(frozenset({Mechanism.CANCELLATION}))
        cluster = self.start(3, 14, mechanisms)
        node = cluster.proxies[0]
        holders = self.hold_connections(cluster, node, 4)
        caller = cluster.open_session(node, QUOTES)
        request = cluster.send_request(caller, Write("q1 oak"))
        cluster.run_for(0.01)
        caller.close()
        cluster.send_and_wait(holders[0], Commit())
        cluster.run_for(0.1)
        self.assertIn(request, [e.request for e in cluster.group.executions])

    def test_statement_is_not_retried(self) -> None:
        """Guards against retries of a statement that nobody waits for."""
        for statement in (Write("q1 oak"), Read("q1")):
            cluster = self.start(3, 14)
            node = cluster.proxies[0]
            for member in cluster.group.members.values():
                member.is_full = True
            caller = cluster.open_session(node, QUOTES)
            request = cluster.send_request(caller, statement)
            cluster.run_for(0.1)
            caller.close()
            for member in cluster.group.members.values():
                member.is_full = False
            self.assert_never_runs(cluster, request)
            dropped = node.gateway.metrics.dropped.counts
            self.assertEqual(1, sum(dropped.values()))

    def test_running_statement_keeps_its_connection(self) -> None:
        """Guards against a connection that is closed, and a failure counted, for a lost caller."""
        cluster = self.start(3, 14)
        node = cluster.proxies[0]
        cluster.send_and_wait(cluster.open_session(node, QUOTES), Write("q0 oak"))
        open_before, pool = _open_connections(node), self.pool(node)
        caller = cluster.open_session(node, QUOTES)
        request = cluster.send_request(caller, Write("q1 oak"))
        cluster.run_for(0.001)
        caller.close()
        cluster.run_for(0.2)
        self.assertIn(request, [e.request for e in cluster.group.executions])
        self.assertEqual(open_before, _open_connections(node))
        self.assertEqual((0, 0), (pool.consecutive_failures, pool.in_flight))
        self.assertEqual([], caller.replies)

    def test_transaction_is_rolled_back_after_the_statement_that_runs(self) -> None:
        cluster = self.start(3, 14)
        node = cluster.proxies[0]
        caller = self.hold_connections(cluster, node, 1)[0]
        open_before, pool = _open_connections(node), self.pool(node)
        cluster.send_request(caller, Write("q1 oak"))
        later = cluster.send_request(caller, Commit())
        cluster.run_for(0.001)
        caller.close()
        self.assert_never_runs(cluster, later)
        self.assertEqual("", cluster.group.primary().read_item("q1"))
        self.assertEqual(open_before, _open_connections(node))
        self.assertEqual((0, 0), (pool.consecutive_failures, pool.in_flight))

    def test_begin_that_waits_ends_at_once(self) -> None:
        cluster = self.start(3, 14)
        node = cluster.proxies[0]
        self.hold_connections(cluster, node, 4)
        caller = cluster.open_session(node, QUOTES)
        cluster.send_and_wait(caller, Begin(False))
        request = cluster.send_request(caller, Write("q1 oak"))
        cluster.run_for(0.01)
        caller.close()
        self.assertEqual(4, self.pool(node).in_flight)
        self.assert_never_runs(cluster, request)

    def test_commit_is_not_resent(self) -> None:
        """Guards against a commit, held back by a full instance, after its caller has left."""
        cluster = self.start(3, 14)
        node = cluster.proxies[0]
        caller = self.hold_connections(cluster, node, 1)[0]
        cluster.group.primary().is_full = True
        request = cluster.send_request(caller, Commit())
        cluster.run_for(0.1)
        caller.close()
        cluster.group.primary().is_full = False
        self.assert_never_runs(cluster, request)
        self.assertEqual("", cluster.group.primary().read_item("held"))


class TestLeavingWithOwners(_LeavingCallers):
    """Two owners have six connections each to an instance; other proxies forward to them."""

    def _start_with_owner(self) -> tuple[GatewayCluster, GatewayNode, GatewayNode]:
        """Return a cluster, a proxy that forwards, and the owner that it uses."""
        cluster = self.start(9, 16)
        names = cluster.proxies[0].gateway.cluster_state.connection_owners(PRIMARY)
        node = next(p for p in cluster.proxies if p.name not in names)
        holder = self.hold_connections(cluster, node, 1)[0]
        owner = next(p for p in cluster.proxies if p.gateway.forwarding_server.in_flight)
        cluster.send_and_wait(holder, Commit())
        return cluster, node, owner

    def test_wait_at_the_owner_ends(self) -> None:
        """Guards against waiters at the owner for callers that are gone."""
        cluster, node, owner = self._start_with_owner()
        holders = self.hold_connections(cluster, node, 6)
        caller = cluster.open_session(node, QUOTES)
        request = cluster.send_request(caller, Write("q1 oak"))
        cluster.run_for(NOTICE_S)
        self.assertEqual(7, self.pool(owner).in_flight)
        caller.close()
        cluster.run_for(NOTICE_S)
        self.assertEqual(6, self.pool(owner).in_flight)
        self.assertEqual(0, self.pool(owner).consecutive_failures)
        cluster.send_and_wait(holders[0], Commit())
        self.assert_never_runs(cluster, request)

    def test_begin_that_waits_at_the_owner_ends(self) -> None:
        cluster, node, owner = self._start_with_owner()
        holders = self.hold_connections(cluster, node, 6)
        caller = cluster.open_session(node, QUOTES)
        cluster.send_and_wait(caller, Begin(False))
        request = cluster.send_request(caller, Write("q1 oak"))
        cluster.run_for(NOTICE_S)
        caller.close()
        cluster.run_for(NOTICE_S)
        self.assertEqual(6, self.pool(owner).in_flight)
        cluster.send_and_wait(holders[0], Commit())
        self.assert_never_runs(cluster, request)
        self.assertEqual(5, self.pool(owner).in_flight)

    def test_leaving_during_any_step_costs_no_connection_and_no_failure(self) -> None:
        """Guards against `LinkClosed` cutting off preparations, begins and statements."""
        for milliseconds in range(0, 30):
            for begins in (False, True):
                cluster, node, owner = self._start_with_owner()
                open_before = _open_connections(owner)
                caller = cluster.open_session(node, QUOTES)
                cluster.send_and_wait(caller, SetValue("v0", "1"))
                if begins:
                    cluster.send_and_wait(caller, Begin(False))
                cluster.send_request(caller, Write("q1 oak"))
                cluster.run_for(milliseconds * 0.001)
                caller.close()
                cluster.run_for(0.3)
                pool = self.pool(owner)
                state = (pool.consecutive_failures, pool.in_flight, _open_connections(owner))
                case = (milliseconds, begins)
                self.assertEqual((case, 0, 0, open_before), (case, *state))
                if begins:
                    self.assertEqual("", cluster.group.primary().read_item("q1"))

    def test_lost_channel_is_no_failure_of_the_instance(self) -> None:
        """Guards against an instance being suspected because a proxy was killed."""
        cluster, node, owner = self._start_with_owner()
        for number in range(4):
            caller = cluster.open_session(node, QUOTES)
            cluster.send_request(caller, Write(f"q{number} oak"))
        cluster.run_for(0.008)
        self.assertNotEqual(0, self.pool(owner).in_flight)
        cluster.kill_proxy(node)
        cluster.run_for(0.3)
        pool = self.pool(owner)
        self.assertEqual((0, 0), (pool.consecutive_failures, pool.in_flight))
