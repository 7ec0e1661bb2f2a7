"""Overload: how statements wait for connections and are refused, on virtual time."""

from __future__ import annotations

import testtools

from orioleplank.decision.membership._fleet import _rendezvous_hash
from orioleplank.decision.session import Begin, Commit, FailureCode, Read, Reply, Write
from orioleplank.tests._gateway_cluster import JOBS, QUOTES, GatewayCluster, GatewayNode
from orioleplank.tests._simulated_caller import SimulatedCaller

START_S = 4.0
# An equal share would be two connections to an instance per proxy. That is too few for each proxy
# to have its own, so connection owners hold them.
PROXIES = 9
CONNECTIONS = 22
# A write that does not wait takes a few milliseconds; this allows for waiting in two queues.
PROMPT_WRITE_S = 0.3
# Statement timeout of the routes.
ROUTE_TIMEOUT_S = 1.0


def _start_cluster(proxies: int = PROXIES, connections: int = CONNECTIONS) -> GatewayCluster:
    cluster = GatewayCluster(1, proxies, connections)
    cluster.run_for(START_S)
    return cluster


def _open_idle_transaction(cluster: GatewayCluster, node: GatewayNode) -> SimulatedCaller:
    """Open a transaction at the primary, write once, and leave it idle."""
    caller = cluster.open_session(node, QUOTES)
    cluster.send_and_wait(caller, Begin(False))
    reply = cluster.send_and_wait(caller, Write("rest 1"))
    assert reply.failure is None, reply
    return caller


def _send_many(
    cluster: GatewayCluster, node: GatewayNode, count: int
) -> list[tuple[SimulatedCaller, list[float]]]:
    """Send one write each of `count` callers at once.

    Returns the callers, each with a list that receives the response times in seconds.
    """
    sent_writes: list[tuple[SimulatedCaller, list[float]]] = []
    sent_at = cluster.simulator.now
    for number in range(count):
        caller = cluster.open_session(node, QUOTES)
        times: list[float] = []

        def record_time(reply: Reply, times: list[float] = times) -> None:
            times.append(cluster.simulator.now - sent_at)

        caller.on_reply = record_time
        cluster.send_request(caller, Write(f"q{number} oak"))
        sent_writes.append((caller, times))
    return sent_writes


class TestIdleTransactions(testtools.TestCase):
    """Callers stay idle inside transactions, each of which occupies a connection."""

    def test_write_is_prompt_while_other_sessions_hold_idle_transactions(self) -> None:
        cluster = _start_cluster()
        node = cluster.proxies[0]
        idle_callers = [_open_idle_transaction(cluster, node) for _ in range(4)]
        sent_at = cluster.simulator.now
        reply = cluster.send_and_wait(cluster.open_session(node, QUOTES), Write("q1 oak"))
        self.assertIsNone(reply.failure)
        self.assertLess(cluster.simulator.now - sent_at, PROMPT_WRITE_S)
        for caller in idle_callers:
            self.assertIsNone(cluster.send_and_wait(caller, Commit()).failure)


class TestQueueLimit(testtools.TestCase):
    """All callers of a restarted fleet return at once, more than a proxy can serve in time."""

    def _overload(
        self, proxies: int, connections: int, callers: int
    ) -> tuple[list[float], list[Reply]]:
        """Send far more writes than can be served in time.

        Returns the response times of the refused writes in seconds, and the refusals.
        """
        cluster = _start_cluster(proxies, connections)
        node = cluster.proxies[0]
        for number in range(6):
            cluster.send_and_wait(cluster.open_session(node, JOBS), Write(f"w{number} 1"))
        sent_writes = _send_many(cluster, node, callers)
        cluster.run_for(3.0)
        refusals = [c.replies[0] for c, _ in sent_writes if c.replies[0].failure is not None]
        return [times[0] for c, times in sent_writes if c.replies[0].failure is not None], refusals

    def test_statements_beyond_the_queue_limit_are_refused_promptly(self) -> None:
        times, refusals = self._overload(3, 9, 1_000)
        self.assertNotEqual([], refusals)
        self.assertLess(sorted(times)[len(times) // 2], ROUTE_TIMEOUT_S / 4)

    def test_refusal_says_busy_and_when_to_retry(self) -> None:
        _, refusals = self._overload(3, 9, 1_000)
        for reply in refusals:
            assert reply.failure is not None
            self.assertEqual(FailureCode.BUSY, reply.failure.code)
            self.assertIn("retry after", reply.failure.detail)

    def test_connection_owners_refuse_excess_statements_promptly(self) -> None:
        times, refusals = self._overload(PROXIES, CONNECTIONS, 4_000)
        self.assertNotEqual([], refusals)
        self.assertLess(sorted(times)[len(times) // 2], ROUTE_TIMEOUT_S / 4)

    def test_read_succeeds_at_another_instance_when_the_queue_of_one_is_too_long(self) -> None:
        cluster = _start_cluster(3, 9)
        node = cluster.proxies[0]
        writer = cluster.open_session(node, JOBS)
        cluster.send_and_wait(writer, Write("q0 oak"))
        cluster.run_for(0.5)
        cluster.send_and_wait(cluster.open_session(node, JOBS), Read("q0"))
        sent_writes = _send_many(cluster, node, 300)
        reply = cluster.send_and_wait(cluster.open_session(node, JOBS), Read("q0"))
        self.assertIsNone(reply.failure)
        cluster.run_for(3.0)
        self.assertEqual({1}, {len(caller.replies) for caller, _ in sent_writes})


class TestPeriodicWorkOfLargeFleets(testtools.TestCase):
    """In an idle fleet of hundreds of proxies, periodic work grows only with the zone size."""

    def _count_hash_lookups(self, proxies: int) -> int:
        """Return the number of rendezvous hashes looked up per proxy in one idle second."""
        cluster = _start_cluster(proxies, 16)
        before = _rendezvous_hash.cache_info()
        cluster.run_for(1.0)
        after = _rendezvous_hash.cache_info()
        self.assertEqual(before.misses, after.misses)
        return (after.hits - before.hits) // proxies

    def test_idle_hash_lookups_grow_only_with_the_zone(self) -> None:
        lookups_of_12, lookups_of_48 = self._count_hash_lookups(12), self._count_hash_lookups(48)
        # Only the order of the proxies of the own zone is evaluated, a few times a second.
        self.assertLessEqual(lookups_of_48 - lookups_of_12, 3 * (48 - 12) // 3 + 3)
