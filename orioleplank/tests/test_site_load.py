"""Load at its worst: how work waits for connections, and how it is refused, on virtual time."""

from __future__ import annotations

import testtools

from orioleplank.decision.membership._fleet import _weigh
from orioleplank.decision.session import Begin, Code, Commit, Read, Reply, Write
from orioleplank.tests._site import JOBS, QUOTES, Site, SiteCaller, SiteProxy

START_S = 4.0
# A fleet whose proxies could hold two connections each to an instance.
PROXIES = 9
CONNECTIONS = 22
# A write that waits for nobody takes a few milliseconds; this leaves room for two queues.
PROMPT_S = 0.3
# Time that the routes leave for a statement, in seconds.
ROUTE_S = 1.0


def _started(proxies: int = PROXIES, connections: int = CONNECTIONS) -> Site:
    site = Site(1, proxies, connections)
    site.run(START_S)
    return site


def _rest_in_transaction(site: Site, node: SiteProxy) -> SiteCaller:
    """Open a transaction at the primary and leave it alone."""
    caller = site.open(node, QUOTES)
    site.ask(caller, Begin(False))
    reply = site.ask(caller, Write("rest 1"))
    assert reply.failure is None, reply
    return caller


def _send_many(site: Site, node: SiteProxy, count: int) -> list[tuple[SiteCaller, list[float]]]:
    """Send writes of many callers at once; return them with the times of their answers."""
    sent: list[tuple[SiteCaller, list[float]]] = []
    began = site.fabric.now
    for number in range(count):
        caller = site.open(node, QUOTES)
        times: list[float] = []

        def note(reply: Reply, times: list[float] = times) -> None:
            times.append(site.fabric.now - began)

        caller.on_reply = note
        site.send(caller, Write(f"q{number} oak"))
        sent.append((caller, times))
    return sent


class TestRestingTransactions(testtools.TestCase):
    """Pattern: callers rest inside transactions, each of which keeps a connection."""

    def test_resting_transactions_of_one_proxy_keep_nobody_from_the_primary(self) -> None:
        site = _started()
        node = site.proxies[0]
        resting = [_rest_in_transaction(site, node) for _ in range(4)]
        began = site.fabric.now
        reply = site.ask(site.open(node, QUOTES), Write("q1 oak"))
        self.assertIsNone(reply.failure)
        self.assertLess(site.fabric.now - began, PROMPT_S)
        for caller in resting:
            self.assertIsNone(site.ask(caller, Commit()).failure)


class TestTooLongQueue(testtools.TestCase):
    """Pattern: callers of a restarted fleet return at once, more than a proxy can serve in time."""

    def _overload(
        self, proxies: int, connections: int, callers: int
    ) -> tuple[list[float], list[Reply]]:
        """Send far more writes than fit; return when each was answered, and the refusals."""
        site = _started(proxies, connections)
        node = site.proxies[0]
        for number in range(6):
            site.ask(site.open(node, JOBS), Write(f"w{number} 1"))
        sent = _send_many(site, node, callers)
        site.run(3.0)
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
            self.assertEqual(Code.BUSY, reply.failure.code)
            self.assertIn("retry after", reply.failure.detail)

    def test_owners_refuse_at_once_for_the_whole_fleet(self) -> None:
        times, refused = self._overload(PROXIES, CONNECTIONS, 4_000)
        self.assertNotEqual([], refused)
        self.assertLess(sorted(times)[len(times) // 2], ROUTE_S / 4)

    def test_read_goes_to_another_instance_when_the_queue_of_one_is_too_long(self) -> None:
        site = _started(3, 9)
        node = site.proxies[0]
        writer = site.open(node, JOBS)
        site.ask(writer, Write("q0 oak"))
        site.run(0.5)
        site.ask(site.open(node, JOBS), Read("q0"))
        sent = _send_many(site, node, 300)
        reply = site.ask(site.open(node, JOBS), Read("q0"))
        self.assertIsNone(reply.failure)
        site.run(3.0)
        self.assertEqual({1}, {len(caller.replies) for caller, _ in sent})


class TestControlOfLargeFleets(testtools.TestCase):
    """Pattern: nothing happens, on hundreds of proxies, whose timers go on."""

    def _count_weighings(self, proxies: int) -> int:
        """Return how often proxies are ordered anew in a steady second, per proxy."""
        site = _started(proxies, 16)
        before = _weigh.cache_info()
        site.run(1.0)
        after = _weigh.cache_info()
        self.assertEqual(before.misses, after.misses)
        return (after.hits - before.hits) // proxies

    def test_steady_work_does_not_grow_with_the_fleet(self) -> None:
        small, large = self._count_weighings(12), self._count_weighings(48)
        # Only the order of a proxy's own zone is looked at again, a few times a second.
        self.assertLessEqual(large - small, 3 * (48 - 12) // 3 + 3)
