"""Queue of the requests that wait for a connection of one pool, in the order of service."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from math import inf

from msgspec import Struct
from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.admission import QueueLoad, find_expiring_waiters
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest

# Interval between checks for waiters that cannot be served before their deadline, in seconds.
EXPIRY_CHECK_INTERVAL_S = 0.05
# Deadlines are compared in buckets of this width, in seconds; within one bucket the order of
# arrival counts. Otherwise new requests would delay admitted ones with almost the same deadline.
DEADLINE_BUCKET_S = 0.25


class QueueTooLongError(OrioleplankError):
    """No connection would become free before the deadline of the work; nothing was sent."""

    def __init__(self, instance: str, retry_after: float) -> None:
        super().__init__("wait for connection", instance, "too many wait")
        # Seconds after which a retry may succeed.
        self.retry_after = retry_after


class Waiter(Struct, order=True):
    """A request that waits for a connection; it compares by its order of service.

    The arrival number is unique, so the fields after it never decide.
    """

    # Priority of its route; 0 is the highest.
    priority: int
    # Number of the bucket that contains its deadline.
    deadline_bucket: int
    # Sequence number of its arrival.
    arrival_number: int
    # Deadline, in seconds of the clock of the queue.
    deadline: float
    # Receives the connection, or the error.
    result: Deferred[PooledConnection]
    request: ConnectionRequest


class WaitQueue:
    """A queue ordered by priority, then by earliest deadline.

    In order of arrival, work with a distant deadline would delay work with a close one.
    """

    def __init__(self, now: Callable[[], float], mechanisms: MechanismSwitches = ALL_ON) -> None:
        self._now = now
        self._mechanisms = mechanisms
        self._queue: list[Waiter] = []
        self._arrival_numbers = count(1)
        self._last_expiry_check_at = now()

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def requests(self) -> list[ConnectionRequest]:
        """The waiting requests, in the order of service."""
        return [waiter.request for waiter in sorted(self._queue)]

    @property
    def has_probe(self) -> bool:
        """True while a probe is among the waiting requests."""
        return any(waiter.request.is_probe for waiter in self._queue)

    def count_ahead(self, request: ConnectionRequest) -> int:
        """Return how many waiters are served before a new request."""
        deadline = self._now() + request.remaining_time
        queue_position = (request.priority, self._deadline_bucket(deadline))
        return sum(
            (waiter.priority, waiter.deadline_bucket) <= queue_position for waiter in self._queue
        )

    def enqueue(self, request: ConnectionRequest) -> Deferred[PooledConnection]:
        """Add a request; cancelling the result removes it."""

        def remove_waiter(_: object) -> None:
            if waiter in self._queue:
                self._queue.remove(waiter)
                heapq.heapify(self._queue)

        result: Deferred[PooledConnection] = Deferred(remove_waiter)
        deadline = self._now() + request.remaining_time
        waiter = Waiter(
            request.priority,
            self._deadline_bucket(deadline),
            next(self._arrival_numbers),
            deadline,
            result,
            request,
        )
        heapq.heappush(self._queue, waiter)
        return result

    def pop_first(self, may_serve: Callable[[ConnectionRequest], bool]) -> Waiter | None:
        """Remove and return the next waiter that may be served now; None when there is none."""
        if not self._queue:
            return None
        if may_serve(self._queue[0].request):
            return heapq.heappop(self._queue)
        waiter = next((w for w in sorted(self._queue) if may_serve(w.request)), None)
        if waiter is not None:
            self._queue.remove(waiter)
            heapq.heapify(self._queue)
        return waiter

    def fail_all(self, error: BaseException) -> None:
        """Remove all waiters and fail their results with `error`."""
        waiters, self._queue = self._queue, []
        for waiter in waiters:
            waiter.result.errback(error)

    def refuse_expiring(self, instance: str, connection_count: int, mean_hold_time: float) -> None:
        """Refuse waiters that will not be served before their deadline.

        They are refused while enough time remains to try another instance. `mean_hold_time` is the
        mean time for which one of the `connection_count` connections stays in use, in seconds.
        Does nothing within `EXPIRY_CHECK_INTERVAL_S` of the previous check.
        """
        if not self._mechanisms.is_on(Mechanism.EARLY_REFUSAL):
            return
        if not self._queue or self._now() < self._last_expiry_check_at + EXPIRY_CHECK_INTERVAL_S:
            return
        self._last_expiry_check_at = self._now()
        ordered = sorted(self._queue)
        remaining_times = [
            inf if waiter.request.is_probe else waiter.deadline - self._now() for waiter in ordered
        ]
        load = QueueLoad(len(ordered), connection_count, mean_hold_time)
        expiring = set(find_expiring_waiters(remaining_times, load))
        if not expiring:
            return
        self._queue = [waiter for index, waiter in enumerate(ordered) if index not in expiring]
        for index in expiring:
            error = QueueTooLongError(instance, load.expected_wait)
            ordered[index].result.errback(error)

    def _deadline_bucket(self, deadline: float) -> int:
        """Return the number of the bucket that contains a deadline."""
        if not self._mechanisms.is_on(Mechanism.DEADLINE_ORDER):
            return 0
        return int(deadline / DEADLINE_BUCKET_S)
