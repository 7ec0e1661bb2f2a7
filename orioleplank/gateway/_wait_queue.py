"""Those who wait for a connection of one pool, in the order in which they are served."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import count
from math import inf

from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.admission import QueueLoad, find_expiring_waiters
from orioleplank.gateway._connection import PooledConnection

# Pause between two looks for waiters who will be out of time before their turn, in seconds.
EXPIRY_CHECK_INTERVAL_S = 0.05
# Work whose time is over within the same span is served in its order of arrival, in seconds:
# otherwise newcomers would push back those who were admitted with nearly the same deadline.
SPAN_S = 0.25


class QueueTooLongError(OrioleplankError):
    """A connection would come free too late for the work; nothing was sent."""

    def __init__(self, peer: str, retry_after: float) -> None:
        super().__init__("wait for connection", peer, "too many wait")
        # Seconds after which asking again makes sense.
        self.retry_after = retry_after


@dataclass(slots=True, order=True)
class Waiter:
    """Somebody who waits for a connection."""

    # Of its route; 0 is the most important.
    priority: int
    # The span in which its time is over.
    span: int
    # Order of arrival.
    number: int
    # When its time is over, in seconds.
    until: float = field(compare=False)
    # Where the connection goes.
    result: Deferred[PooledConnection] = field(compare=False)
    # What the session has set, and its number.
    values: Mapping[str, str] = field(compare=False)
    session_id: int = field(compare=False)
    # True when it waits until it gives up by itself.
    stays: bool = field(compare=False)


class WaitQueue:
    """A queue by priority, then by whose time is over first.

    By arrival, work that has much time would keep work that has little from its turn.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._queue: list[Waiter] = []
        self._numbers = count(1)
        self._looked_at = now()

    def __len__(self) -> int:
        return len(self._queue)

    def count_ahead(self, priority: int, left: float) -> int:
        """Return how many are served before a new waiter who has `left` seconds."""
        turn = (priority, _find_span(self._now() + left))
        return sum((waiter.priority, waiter.span) <= turn for waiter in self._queue)

    def enqueue(
        self,
        priority: int,
        left: float,
        values: Mapping[str, str],
        session: int,
        waits_until_timeout: bool = False,
    ) -> Deferred[PooledConnection]:
        """Add a waiter who has `left` seconds; it leaves when its result is cancelled.

        One that `waits_until_timeout` is not refused before, since its own time-out tells of a
        silent instance.
        """

        def forget(_: object) -> None:
            if waiter in self._queue:
                self._queue.remove(waiter)
                heapq.heapify(self._queue)

        result: Deferred[PooledConnection] = Deferred(forget)
        until = self._now() + left
        span, number = _find_span(until), next(self._numbers)
        waiter = Waiter(priority, span, number, until, result, values, session, waits_until_timeout)
        heapq.heappush(self._queue, waiter)
        return result

    def pop_first(self) -> Waiter:
        """Take the waiter whose turn it is."""
        return heapq.heappop(self._queue)

    def fail_all(self, error: BaseException) -> None:
        """Refuse everybody."""
        waiters, self._queue = self._queue, []
        for waiter in waiters:
            waiter.result.errback(error)

    def refuse_expiring(self, instance: str, connections: int, hold: float) -> None:
        """Refuse those who will be out of time before their turn, while they can go elsewhere.

        `hold` is the mean time for which a use keeps one of the `connections`, in seconds.
        """
        if not self._queue or self._now() < self._looked_at + EXPIRY_CHECK_INTERVAL_S:
            return
        self._looked_at = self._now()
        ordered = sorted(self._queue)
        left = [inf if waiter.stays else waiter.until - self._now() for waiter in ordered]
        load = QueueLoad(len(ordered), connections, hold)
        too_late = set(find_expiring_waiters(left, load))
        if not too_late:
            return
        self._queue = [waiter for place, waiter in enumerate(ordered) if place not in too_late]
        for place in too_late:
            error = QueueTooLongError(instance, load.expected_wait)
            ordered[place].result.errback(error)


def _find_span(until: float) -> int:
    """Return the number of the span in which a time lies."""
    return int(until / SPAN_S)
