"""Queue of the requests that wait for a connection of one pool, in the order of service."""

from __future__ import annotations

from bisect import bisect, bisect_left, insort
from collections.abc import Callable, Collection, Iterator
from math import inf

from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.admission import (
    AccountUse,
    QueuedRequest,
    QueueLoad,
    find_expiring_waiters,
    order_by_service,
)
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


class Waiter(QueuedRequest, order=True):
    """A request that waits for a connection, with what is needed to serve it."""

    # Deadline, in seconds of the clock of the queue.
    deadline: float
    # Receives the connection, or the error.
    result: Deferred[PooledConnection]
    request: ConnectionRequest

    @property
    def urgency(self) -> tuple[int, int]:
        """Priorities of its route and of its account; the lower is more urgent."""
        return self.priority, self.account_priority

    @property
    def enqueued_at(self) -> float:
        """When it was added to the queue, in seconds of the clock of the queue."""
        return self.deadline - self.request.remaining_time


def _use_nothing() -> AccountUse:
    return AccountUse()


class WaitQueue:
    """A queue ordered by priority, then fairly among accounts, then by earliest deadline.

    In order of arrival, work with a distant deadline would delay work with a close one, and an
    account that sends too much would delay all others. `account_use` returns the connections and
    transactions that each account has now.
    """

    def __init__(
        self,
        now: Callable[[], float],
        mechanisms: MechanismSwitches = ALL_ON,
        account_use: Callable[[], AccountUse] = _use_nothing,
    ) -> None:
        self._now = now
        self._mechanisms = mechanisms
        self._account_use = account_use
        self._is_fair = mechanisms.is_on(Mechanism.FAIR_QUEUEING)
        # The waiters of each account in their order; accounts without waiters are left out.
        self._queues: dict[str, list[Waiter]] = {}
        self._length = 0
        self._next_arrival_number = 1
        self._last_expiry_check_at = now()

    def __len__(self) -> int:
        return self._length

    @property
    def accounts(self) -> Collection[str]:
        """Names of the accounts that have waiters."""
        return self._queues.keys()

    def first_of_account(self, account: str) -> Waiter | None:
        """Return the first waiter of an account; None if it has none."""
        queue = self._queues.get(account)
        return queue[0] if queue else None

    @property
    def servable(self) -> Iterator[Waiter]:
        """The waiters that may be served now, in the order of service.

        The queue must not be changed before the last one that is needed.
        """
        return (waiter for waiter, may_be_served in self._in_order() if may_be_served)

    @property
    def has_probe(self) -> bool:
        """True while a probe is among the waiting requests."""
        return any(waiter.request.is_probe for queue in self._queues.values() for waiter in queue)

    def count_ahead(self, request: ConnectionRequest) -> int:
        """Return how many waiters are served before a new request."""
        if not self._length:
            return 0
        new = self._build_waiter(request, Deferred())
        queue = self._queues.get(new.account, [])
        use = self._account_use()
        if len(queue) == self._length and not use.transaction_share.is_limiting:
            return bisect(queue, new)
        longer_queue = list(queue)
        insort(longer_queue, new)
        ordered = order_by_service({**self._queues, new.account: longer_queue}, use)
        return next(ahead for ahead, (waiter, _) in enumerate(ordered) if waiter is new)

    def enqueue(self, request: ConnectionRequest) -> Deferred[PooledConnection]:
        """Add a request; cancelling the result removes it."""

        def remove_waiter(_: object) -> None:
            if waiter in self._queues.get(waiter.account, ()):
                self.remove(waiter)

        result: Deferred[PooledConnection] = Deferred(remove_waiter)
        waiter = self._build_waiter(request, result)
        self._next_arrival_number += 1
        insort(self._queues.setdefault(waiter.account, []), waiter)
        self._length += 1
        return result

    def pop_first(self) -> Waiter | None:
        """Remove and return the next waiter that may be served now; None when there is none."""
        waiter = next(self.servable, None)
        if waiter is not None:
            self.remove(waiter)
        return waiter

    def fail_all(self, error: BaseException) -> None:
        """Remove all waiters and fail their results with `error`."""
        waiters = [waiter for waiter, _ in self._in_order()]
        self._queues.clear()
        self._length = 0
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
        if not self._length or self._now() < self._last_expiry_check_at + EXPIRY_CHECK_INTERVAL_S:
            return
        self._last_expiry_check_at = self._now()
        ordered = [waiter for waiter, _ in self._in_order()]
        remaining_times = [
            inf if waiter.request.is_probe else waiter.deadline - self._now() for waiter in ordered
        ]
        load = QueueLoad(len(ordered), connection_count, mean_hold_time)
        expiring = [ordered[index] for index in find_expiring_waiters(remaining_times, load)]
        for waiter in expiring:
            self.remove(waiter)
        for waiter in expiring:
            waiter.result.errback(QueueTooLongError(instance, load.expected_wait))

    def _in_order(self) -> Iterator[tuple[Waiter, bool]]:
        """Return the waiters in the order of service, each with whether it may be served now."""
        return order_by_service(self._queues, self._account_use()) if self._length else iter(())

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter without a result."""
        queue = self._queues[waiter.account]
        del queue[bisect_left(queue, waiter)]
        self._length -= 1
        if not queue:
            del self._queues[waiter.account]

    def _build_waiter(
        self, request: ConnectionRequest, result: Deferred[PooledConnection]
    ) -> Waiter:
        deadline = self._now() + request.remaining_time
        return Waiter(
            request.priority,
            request.account.priority if self._is_fair else 0,
            self._deadline_bucket(deadline),
            self._next_arrival_number,
            # Without fairness all requests are in one queue, whatever their account.
            request.account.name if self._is_fair else "",
            request.is_transaction,
            deadline,
            result,
            request,
        )

    def _deadline_bucket(self, deadline: float) -> int:
        """Return the number of the bucket that contains a deadline."""
        if not self._mechanisms.is_on(Mechanism.DEADLINE_ORDER):
            return 0
        return int(deadline / DEADLINE_BUCKET_S)
