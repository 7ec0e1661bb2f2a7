"""Load at its worst: how work waits for connections, and how it is refused, on virtual time."""

from __future__ import annotations

import testtools

from orioleplank.decision.membership._fleet import _rendezvous_hash
from orioleplank.decision.session import Begin, Commit, FailureCode, Read, Reply, Write
from orioleplank.tests._gateway_cluster import (
    JOBS,
    QUOTES,
    GatewayCluster,
    GatewayNode,
    SimulatedCaller,
)

START_S = 4.0
# A fleet whose proxies could hold two connections each to an instance.
PROXIES = 9
CONNECTIONS = 22
# A write that waits for nobody takes a few milliseconds; this leaves room for two queues.
PROMPT_S = 0.3
# Time that the routes leave for a statement, in seconds.
ROUTE_S = 1.0


def _started(proxies: int = PROXIES, connections: int = CONNECTIONS) -> GatewayCluster:
    site = GatewayCluster(1, proxies, connections)
    site.run_for(START_S)
    return site


def _rest_in_transaction(site: GatewayCluster, node: GatewayNode) -> SimulatedCaller:
    """Open a transaction at the primary and leave it alone."""
    caller = site.open_session(node, QUOTES)
    site.send_and_wait(caller, Begin(False))
    reply = site.send_and_wait(caller, Write("rest 1"))
    assert reply.failure is None, reply
    return caller


def _send_many(
    site: GatewayCluster, node: GatewayNode, count: int
) -> list[tuple[SimulatedCaller, list[float]]]:
    """Send writes of many callers at once; return them with the times of their answers."""
    sent: list[tuple[SimulatedCaller, list[float]]] = []
    began = site.simulator.now
    for number in range(count):
        caller = site.open_session(node, QUOTES)
        times: list[float] = []

        def note(reply: Reply, times: list[float] = times) -> None:
            times.append(site.simulator.now - began)

        caller.on_reply = note
        site.send_request(caller, Write(f"q{number} oak"))
        sent.append((caller, times))
    return sent


class TestRestingTransactions(testtools.TestCase):
    """Pattern: callers rest inside transactions, each of which keeps a connection."""

    def test_resting_transactions_of_one_proxy_keep_nobody_from_the_primary(self) -> None:
        site = _started()
        node = site.proxies[0]
        resting = [_rest_in_transaction(site, node) for _ in range(4)]
        began = site.simulator.now
        reply = site.send_and_wait(site.open_session(node, QUOTES), Write("q1 oak"))
        self.assertIsNone(reply.failure)
        self.assertLess(site.simulator.now - began, PROMPT_S)
        for caller in resting:
            self.assertIsNone(site.send_and_wait(caller, Commit()).failure)


class TestTooLongQueue(testtools.TestCase):
    """Pattern: callers of a restarted fleet return at once, more than a proxy can serve in time."""

    def _overload(
        self, proxies: int, connections: int, callers: int
    ) -> tuple[list[float], list[Reply]]:
        """Send far more writes than fit; return when each was answered, and the refusals."""
        site = _started(proxies, connections)
        node = site.proxies[0]
        for number in range(6):
            site.send_and_wait(site.open_session(node, JOBS), Write(f"w{number} 1"))
        sent = _send_many(site, node, callers)
        site.run_for(3.0)
        refused = [c.replies[0] for c, _ in sent if c.replies[0].failure is not None]
        return [times[0] for c, times in sent if c.replies[0].failure is not None], refused

    def test_work_that_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        times, refused = self._overload(3, 9, 1_000)
        self.assertNotEqual([], refused)
        self.assertLess(sorted(times)[len(times) // 2], ROUTE_S / 4)

    def test_it_is_told_that_it_has_not_run_and_when_to_return(self) -> None:
        _, refused = self._overload(3, 9, 1_000)
        for reply in refused:
            assert reply.failure is not None
            self.assertEqual(FailureCode.BUSY, reply.failure.code)
            self.assertIn("retry after", reply.failure.detail)

    def test_owners_refuse_at_once_for_the_whole_fleet(self) -> None:
        times, refused = self._overload(PROXIES, CONNECTIONS, 4_000)
        self.assertNotEqual([], refused)
        self.assertLess(sorted(times)[len(times) // 2], ROUTE_S / 4)

    def test_read_goes_to_another_instance_when_the_queue_of_one_is_too_long(self) -> None:
        site = _started(3, 9)
        node = site.proxies[0]
        writer = site.open_session(node, JOBS)
        site.send_and_wait(writer, Write("q0 oak"))
        site.run_for(0.5)
        site.send_and_wait(site.open_session(node, JOBS), Read("q0"))
        sent = _send_many(site, node, 300)
        reply = site.send_and_wait(site.open_session(node, JOBS), Read("q0"))
        self.assertIsNone(reply.failure)
        site.run_for(3.0)
        self.assertEqual({1}, {len(caller.replies) for caller, _ in sent})


class TestControlOfLargeFleets(testtools.TestCase):
    """Pattern: nothing happens, on hundreds of proxies, whose timers go on."""

    def _count_weighings(self, proxies: int) -> int:
        """Return how often proxies are ordered anew in a steady second, per proxy."""
        site = _started(proxies, 16)
        before = _rendezvous_hash.cache_info()
        site.run_for(1.0)
        after = _rendezvous_hash.cache_info()
        self.assertEqual(before.misses, after.misses)
        return (after.hits - before.hits) // proxies

    def test_steady_work_does_not_grow_with_the_fleet(self) -> None:
        small, large = self._count_weighings(12), self._count_weighings(48)
        # Only the order of a proxy's own zone is looked at again, a few times a second.
        self.assertLessEqual(large - small, 3 * (48 - 12) // 3 + 3)
