"""Those who wait for a connection of one pool, in the order in which they are served."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import count

from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.admission import QueueLoad, find_hopeless
from orioleplank.gateway._connection import PooledConnection

# Pause between two looks for waiters who will be out of time before their turn, in seconds.
LOOK_S = 0.05


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
    # Order of arrival.
    number: int
    # When its time is over, in seconds.
    until: float = field(compare=False)
    # Where the connection goes.
    result: Deferred[PooledConnection] = field(compare=False)
    # What the session has set, and its number.
    values: Mapping[str, str] = field(compare=False)
    session: int = field(compare=False)


class Waiters:
    """A queue by priority, then by arrival."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._queue: list[Waiter] = []
        self._numbers = count(1)
        self._looked_at = now()

    def __len__(self) -> int:
        return len(self._queue)

    def count_ahead(self, priority: int) -> int:
        """Return how many are served before a new waiter of a priority."""
        return sum(waiter.priority <= priority for waiter in self._queue)

    def join(
        self, priority: int, left: float, values: Mapping[str, str], session: int
    ) -> Deferred[PooledConnection]:
        """Add a waiter who has `left` seconds; it leaves when its result is cancelled."""

        def forget(_: object) -> None:
            if waiter in self._queue:
                self._queue.remove(waiter)
                heapq.heapify(self._queue)

        result: Deferred[PooledConnection] = Deferred(forget)
        until = self._now() + left
        waiter = Waiter(priority, next(self._numbers), until, result, values, session)
        heapq.heappush(self._queue, waiter)
        return result

    def take_first(self) -> Waiter:
        """Take the waiter whose turn it is."""
        return heapq.heappop(self._queue)

    def fail_all(self, error: BaseException) -> None:
        """Refuse everybody."""
        waiters, self._queue = self._queue, []
        for waiter in waiters:
            waiter.result.errback(error)

    def refuse_hopeless(self, instance: str, connections: int, hold: float) -> None:
        """Refuse those who will be out of time before their turn, while they can go elsewhere.

        `hold` is the mean time for which a use keeps one of the `connections`, in seconds.
        """
        if not self._queue or self._now() < self._looked_at + LOOK_S:
            return
        self._looked_at = self._now()
        ordered = sorted(self._queue)
        left = [waiter.until - self._now() for waiter in ordered]
        load = QueueLoad(len(ordered), connections, hold)
        hopeless = set(find_hopeless(left, load))
        if not hopeless:
            return
        self._queue = [waiter for place, waiter in enumerate(ordered) if place not in hopeless]
        for place in hopeless:
            error = QueueTooLongError(instance, load.expected_wait)
            ordered[place].result.errback(error)
