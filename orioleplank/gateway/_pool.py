"""Connection pool of one instance."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from twisted.internet.defer import Deferred, fail, succeed
from twisted.python.failure import Failure

from orioleplank.decision.admission import (
    AccountUse,
    AdmissionRefused,
    QueueLoad,
    decide_admission,
    update_mean_hold_time,
)
from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.gateway._account_use import AccountUseCounter, ConnectionUse
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._dial_backoff import DialBackoff
from orioleplank.gateway._idle_connections import IdleConnections
from orioleplank.gateway._instance_health import INITIAL_LATENCY_S, InstanceHealth
from orioleplank.gateway._interfaces import (
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
)
from orioleplank.gateway._running_statements import RunningStatements
from orioleplank.gateway._wait_queue import QueueTooLongError, Waiter, WaitQueue

# Share of an instance's slots for connections that are opened at the same time in the place of idle
# ones of other accounts. Each occupies a slot: with more, an instance with many accounts would be
# busy with new connections while requests that need none wait.
MAX_REPLACEMENT_SLOT_SHARE = 0.5


class InstancePool(InstanceHealth):
    """Connections, or forwarding links, of this proxy to one incarnation of an instance.

    Opens them on demand up to `connection_limit`, queues requests for them, and records what the
    replies and failures show about the instance. Where `limits_statements` returns true, requests
    also wait while as many statements are in progress as the instance takes well. A connection
    belongs to one account; at the limit an idle connection of another account is closed for a
    request that has none. A proxy that forwards statements may have a second pool of the same
    instance, for connections of its own.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        dial: Callable[[InstanceEntry, Callable[[], None], str], Deferred[InstanceLink]],
        now: Callable[[], float],
        connection_limit: Callable[[InstanceEntry], int],
        on_problem: Callable[[str], None],
        mechanisms: MechanismSwitches = ALL_ON,
        limits_statements: Callable[[InstanceEntry], bool] = lambda _: True,
    ) -> None:
        super().__init__(entry, now, on_problem, mechanisms)
        self._dial = dial
        self._connection_limit = connection_limit
        self._generation = 0
        self._in_use: dict[PooledConnection, ConnectionUse] = {}
        self._account_uses = AccountUseCounter(now, mechanisms)
        # Mean time for which a connection stays in use, in seconds.
        self._mean_hold_time = INITIAL_LATENCY_S
        # Numbers of connections that are being opened, by the account's name.
        self._opening: Counter[str] = Counter()
        self._waiters = WaitQueue(now, mechanisms, self._summarize_account_use)
        self._idle = IdleConnections(now, self._waiters)
        self._is_fair = mechanisms.is_on(Mechanism.FAIR_QUEUEING)
        # True while transactions may wait because their account holds its share.
        self._may_hold_back = False
        is_limited = mechanisms.is_on(Mechanism.CONCURRENCY_LIMIT)
        # The statements in progress, and the limit on them.
        self.statements = RunningStatements(
            entry.slots,
            now,
            lambda: max(1, connection_limit(self.entry)),
            lambda: is_limited and limits_statements(self.entry),
        )
        self._closed = False
        self._dial_backoff = DialBackoff(now)
        # When a connection was last released, in seconds.
        self.last_released_at = now()

    @property
    def in_flight(self) -> int:
        """Connections of this proxy that are in use, plus requests that wait for one."""
        return len(self._in_use) + len(self._waiters)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a connection or for the limit on statements."""
        return len(self._waiters)

    @property
    def expected_wait(self) -> float:
        """Expected time until a new request of the lowest priority would start, in seconds."""
        waiting = self.servable_waiting
        if not waiting and self.statements.room > 0 and self._has_room:
            return 0.0
        return self._queue_load(waiting).expected_wait

    @property
    def servable_waiting(self) -> int:
        """Number of waiting requests without transactions that their account's share holds back.

        Those do not delay other requests.
        """
        if not self._may_hold_back:
            return len(self._waiters)
        return sum(1 for _ in self._waiters.servable)

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._idle) + len(self._in_use) + self._opening.total()

    def handle_suspicion(self) -> None:
        """Close the idle connections of a suspected instance, since they may be lost."""
        self.close_idle_connections()

    def acquire(self, request: ConnectionRequest) -> Deferred[PooledConnection]:
        """Return an idle connection that needs the least setup, or wait for one.

        Only a probe gets a connection to a suspected instance, and a probe is not refused because
        of a long queue. Fails with `InstanceUnreachableError`, `InstanceRefusedError` or
        `QueueTooLongError`.
        """
        if self._closed:
            error = InstanceUnreachableError("take connection", self.entry.id, "it is gone")
            return fail(error)
        if self._can_any_start:
            self.serve_waiters()
        connection = None if self._is_held_back(request) else self._take_idle(request)
        if connection is not None:
            return succeed(connection)
        if (self.is_suspect and not request.is_probe) or not self._may_get_connection():
            error = InstanceUnreachableError("take connection", self.entry.id, "it was unreachable")
            return fail(error)
        admission = decide_admission(
            self._queue_load(self._waiters.count_ahead(request)).expected_wait,
            request.remaining_time,
        )
        refuses_early = self.mechanisms.is_on(Mechanism.EARLY_REFUSAL)
        if isinstance(admission, AdmissionRefused) and refuses_early and not request.is_probe:
            return fail(QueueTooLongError(self.entry.id, admission.retry_after))
        result = self._waiters.enqueue(request)
        self._open_needed_connections()
        return result

    def release(self, connection: PooledConnection) -> None:
        """Return a connection that has no open transaction and no outstanding reply."""
        use = self._in_use.pop(connection, None)
        if use is None:
            return
        self.statements.remove(connection)
        self._account_uses.end(use)
        self.last_released_at = self._now()
        # Where accounts share the instance, transactions that stay idle must not make the queue of
        # single statements appear slow: they hold their share only.
        if not (use.request.is_transaction and self._is_shared):
            self._mean_hold_time = update_mean_hold_time(
                self._mean_hold_time, self.last_released_at - use.taken_at
            )
        # `size` no longer counts this connection, so an equal limit is exceeded as well.
        exceeds_limit = self.size >= max(1, self._connection_limit(self.entry))
        is_outdated = connection.generation != self._generation
        if not connection.is_usable or self._closed or exceeds_limit or is_outdated:
            connection.link.close()
        else:
            self._idle.add(connection)
        self.serve_waiters()

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection whose state is in doubt."""
        connection.is_usable = False
        self.release(connection)

    def close_idle_connections(self) -> None:
        """Close all idle connections, which may have been lost without a TCP reset."""
        self._idle.close_all()

    def invalidate_connections(self) -> None:
        """Close the connections opened so far because the path to the instance has changed.

        Connections in use are closed when they are released.
        """
        self._generation += 1
        self.reset_backoff()

    def reset_backoff(self) -> None:
        """Clear the dial backoff and close idle connections, so that a new path is used at once."""
        self._dial_backoff.reset()
        self.close_idle_connections()

    def close(self) -> None:
        """Close idle connections and fail all waiting requests.

        Connections in use are closed when they are released.
        """
        self._closed = True
        self._idle.close_all()
        self._waiters.fail_all(
            InstanceUnreachableError("take connection", self.entry.id, "it left")
        )

    def _take_idle(self, request: ConnectionRequest) -> PooledConnection | None:
        if len(self._idle) == 0 or not self._may_start(request):
            return None
        best = self._idle.find_usable(request)
        if best is None:
            return None
        self._idle.remove(best)
        best.last_session_id = request.session_id
        self._in_use[best] = self._account_uses.begin(request)
        if not request.is_probe:
            self.statements.start(best)
        return best

    def _is_held_back(self, request: ConnectionRequest) -> bool:
        """Return whether a transaction has to wait because its account holds its share."""
        if not request.is_transaction:
            return False
        account = request.account.name
        share = self._summarize_account_use(account).transaction_share
        self._may_hold_back = self._may_hold_back or share.is_limiting
        return share.allowance(account) == 0

    def _may_start(self, request: ConnectionRequest) -> bool:
        return request.is_probe or self.statements.room > 0

    def _queue_load(self, waiters_ahead: int) -> QueueLoad:
        """Return the load of the queue for a request with this many waiters ahead."""
        return self.statements.longer_queue(
            QueueLoad(waiters_ahead, self._connection_limit(self.entry), self._mean_hold_time)
        )

    def _may_get_connection(self) -> bool:
        """Return whether a connection may become free or may be opened soon."""
        return self.size > len(self._idle) or self._dial_backoff.may_dial

    def _open_needed_connections(self) -> None:
        """Open a connection for each waiter for which none is being opened, in their order.

        At the limit an idle connection is closed instead, since no waiter can use it. None is
        opened for a waiter whose statement the limit on statements would not let start.
        """
        while self._can_any_start and self._has_room and self._open_next():
            pass

    def _open_next(self) -> bool:
        """Open a connection for the first waiter for which none is being opened."""
        covered = Counter(self._opening)
        for waiter in self._waiters.servable:
            account = waiter.request.account.name
            if covered[account] > 0:
                covered[account] -= 1
            elif self._may_open_for(waiter.request) and self._make_room(waiter):
                self._open_connection(account)
                return True
        return False

    def _may_open_for(self, request: ConnectionRequest) -> bool:
        """Return whether a connection may be opened for a request now.

        Not if opening one has just failed, and not if those that are being opened will use up the
        limit on statements.
        """
        if not self._dial_backoff.may_dial or self._closed:
            return False
        return request.is_probe or self._opening.total() < self.statements.room

    @property
    def _is_at_limit(self) -> bool:
        return self.size >= max(1, self._connection_limit(self.entry))

    @property
    def _may_replace_idle(self) -> bool:
        """True if an idle connection may be closed for one of another account."""
        max_opening = max(1, math.ceil(self.entry.slots * MAX_REPLACEMENT_SLOT_SHARE))
        return len(self._idle) > 0 and self._opening.total() < max_opening

    @property
    def _can_any_start(self) -> bool:
        """True if a waiter could start its statement on a connection."""
        return len(self._waiters) > 0 and (self.statements.room > 0 or self._waiters.has_probe)

    @property
    def _has_room(self) -> bool:
        """True if a connection may be opened, possibly in the place of an idle one."""
        return not self._is_at_limit or self._may_replace_idle

    def _make_room(self, waiter: Waiter) -> bool:
        """Close idle connections at the limit; return whether one may be opened for a waiter."""
        if self._is_at_limit and not self._may_replace_idle:
            return False
        while self._is_at_limit:
            connection = self._idle.find_replaceable(waiter)
            if connection is None:
                return False
            self._idle.remove(connection)
            connection.link.close()
        return True

    def _open_connection(self, account: str) -> None:
        self._opening[account] += 1
        dialing = self._dial(self.entry, self.record_failure, account)
        dialing.addCallbacks(
            self._handle_opened,
            self._handle_dial_failure,
            callbackArgs=(account, self._generation),
            errbackArgs=(account,),
        )

    def _handle_opened(self, link: InstanceLink, account: str, generation: int) -> None:
        self._opening[account] -= 1
        self._dial_backoff.reset()
        if link.has_replied_on_opening:
            self.record_reply()
        if self._closed:
            link.close()
            return
        self._idle.add(PooledConnection(link, generation=generation))
        self.serve_waiters()

    def _handle_dial_failure(self, failure: Failure, account: str) -> None:
        self._opening[account] -= 1
        if failure.check(InstanceRefusedError):
            self.record_reply()
            self._dial_backoff.record_refusal()
        else:
            self._dial_backoff.record_failure()
            self.record_failure()
        if self.size == len(self._idle):
            assert failure.value is not None
            self._waiters.fail_all(failure.value)

    def serve_waiters(self) -> None:
        """Serve the waiters that may start, refuse those that would wait for too long."""
        while len(self._idle) > 0 and self._can_any_start and self._serve_next():
            pass
        load = self._queue_load(0)
        self._waiters.refuse_expiring(self.entry.id, load.connections, load.mean_hold_time)
        self._open_needed_connections()

    def _serve_next(self) -> bool:
        """Serve the first waiter, or open a connection for it; return False if that is impossible.

        A waiter for which a connection is being opened is passed over. At the limit an idle
        connection that the first waiter cannot use is closed for one that it can use, because the
        waiters of other accounts would otherwise get all connections that become free.
        """
        covered = Counter(self._opening)
        for waiter in self._waiters.servable:
            connection = self._take_idle(waiter.request)
            if connection is not None:
                self._waiters.remove(waiter)
                waiter.result.callback(connection)
                return True
            if not self._is_fair:
                continue
            account = waiter.request.account.name
            if covered[account] > 0:
                covered[account] -= 1
            elif self._may_open_for(waiter.request) and self._make_room(waiter):
                self._open_connection(account)
                return True
        return False

    @property
    def _is_shared(self) -> bool:
        """True while several accounts use the instance and each has its share of transactions."""
        return self._summarize_account_use().transaction_share.is_limiting

    def serve_held_back(self) -> None:
        """Serve transactions that waited for other accounts to stop using the instance."""
        if self._may_hold_back:
            self._may_hold_back = len(self._waiters) > 0
            self.serve_waiters()

    def _summarize_account_use(self, *asking: str) -> AccountUse:
        limit = self._connection_limit(self.entry)
        return self._account_uses.summarize(limit, {*self._waiters.accounts, *asking})
