"""Connection pool of one instance, with the latency, failures and log position seen there."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from twisted.internet.defer import Deferred, fail, succeed
from twisted.python.failure import Failure

from orioleplank.decision import Position
from orioleplank.decision.admission import (
    AdmissionRefused,
    QueueLoad,
    decide_admission,
    update_mean_hold_time,
)
from orioleplank.decision.failover import WorkHistory, WorkStatus
from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.decision.routing import ReplicaReports
from orioleplank.decision.session import plan_connection_setup
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._interfaces import (
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
)
from orioleplank.gateway._running_statements import RunningStatements
from orioleplank.gateway._wait_queue import QueueTooLongError, WaitQueue

# Delay before a connection is opened again after a failure, in seconds; doubled on each failure.
DIAL_BACKOFF_MIN_S = 0.05
DIAL_BACKOFF_MAX_S = 1.0
# Delay before a connection is opened again after the instance refused one, in seconds.
REFUSED_BACKOFF_S = 0.5
# How long reads that need a newer log position avoid a lagging replica, in seconds; doubled while
# it lags. Repeated reads from the whole fleet would overload it.
LAG_BACKOFF_MIN_S = 0.1
LAG_BACKOFF_MAX_S = 0.8
# Share of an instance's slots for connections that are opened at the same time in the place of idle
# ones of other accounts. Each occupies a slot: with more, an instance with many accounts would be
# busy with new connections while requests that need none wait.
MAX_REPLACEMENT_SLOT_SHARE = 0.5
# Weight of the newest reply in the moving average of the latency.
LATENCY_WEIGHT = 0.2
# Latency assumed for an instance that has not replied yet, in seconds.
INITIAL_LATENCY_S = 0.03
# Without new samples the latency decays towards the initial one with this half-life, in seconds.
LATENCY_HALF_LIFE_S = 2.0
# Consecutive failures, and seconds since the first of them, from which on only probes are sent.
SUSPECT_MIN_FAILURES = 2
SUSPECT_MIN_DURATION_S = 0.2
# Latency sample that a failed statement counts as, in seconds.
FAILURE_LATENCY_S = 1.0


class InstancePool:
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
        self.mechanisms = mechanisms
        self.entry = entry
        self._dial = dial
        self._now = now
        self._connection_limit = connection_limit
        self._on_problem = on_problem
        self._generation = 0
        # Idle connections, the least recently used first.
        self._idle: list[PooledConnection] = []
        # Connections in use, each with the time at which it was taken, in seconds.
        self._in_use: dict[PooledConnection, float] = {}
        # Mean time for which a connection stays in use, in seconds.
        self._mean_hold_time = INITIAL_LATENCY_S
        # Numbers of connections that are being opened, by the account's name.
        self._opening: Counter[str] = Counter()
        self._waiters = WaitQueue(now, mechanisms)
        is_limited = mechanisms.is_on(Mechanism.CONCURRENCY_LIMIT)
        # The statements in progress, and the limit on them.
        self.statements = RunningStatements(
            entry.slots,
            now,
            lambda: max(1, connection_limit(self.entry)),
            lambda: is_limited and limits_statements(self.entry),
        )
        self._closed = False
        self._retry_at = 0.0
        self._dial_failures = 0
        # Failures since the last reply, and the time of the first of them, in seconds.
        self.consecutive_failures = 0
        self.failing_since = 0.0
        # When a connection was last released, in seconds.
        self.last_released_at = now()
        # When the instance last replied, in seconds; minus infinity before its first reply.
        self.last_reply_at = float("-inf")
        # Log position that the instance last reported; None before the first report.
        self._reported_position: Position | None = None
        # Positions that this incarnation of the instance reported, with their times.
        self.reports = ReplicaReports()
        # Until when reads that need a newer position avoid the instance, and the next backoff, in
        # seconds.
        self._lag_backoff_until = float("-inf")
        self._lag_backoff = LAG_BACKOFF_MIN_S
        # True once the instance has replied that it is not the primary although the group record
        # names it as such.
        self.denies_primary_role = False
        # Outcomes of the statements that the instance was sent.
        self.work_history = WorkHistory()
        self._latency = INITIAL_LATENCY_S
        self._latency_updated_at = now()

    # Health, latency and log position of the instance.

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
        if not len(self._waiters) and self.statements.room > 0 and self._has_room:
            return 0.0
        return self._queue_load(len(self._waiters)).expected_wait

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._idle) + len(self._in_use) + self._opening.total()

    @property
    def latency(self) -> float:
        """Moving average of the statement latency, in seconds.

        It decays towards the initial latency while there are no replies.
        """
        age = self._now() - self._latency_updated_at
        decay = math.pow(0.5, age / LATENCY_HALF_LIFE_S)
        return INITIAL_LATENCY_S + (self._latency - INITIAL_LATENCY_S) * decay

    @property
    def failing_for(self) -> float:
        """Seconds since the first failure after the last reply; 0 without a failure."""
        return self._now() - self.failing_since if self.consecutive_failures else 0.0

    @property
    def is_suspect(self) -> bool:
        """True while the instance is unresponsive, so that only probes are sent to it."""
        return (
            self.consecutive_failures >= SUSPECT_MIN_FAILURES
            and self.failing_for >= SUSPECT_MIN_DURATION_S
        )

    def record_reply(self, elapsed: float | None = None) -> None:
        """Record a reply.

        `elapsed` is its latency in seconds, or None if the reply is no sample of the load.
        """
        self.consecutive_failures = 0
        self.last_reply_at = self._now()
        if elapsed is not None:
            self._update_latency(elapsed)

    def record_failure(self) -> None:
        """Record that the instance did not reply, or could not be reached."""
        if not self.consecutive_failures:
            self.failing_since = self._now()
        self.consecutive_failures += 1
        self._update_latency(FAILURE_LATENCY_S)
        if self.is_suspect:
            self.close_idle_connections()
        self._on_problem(self.entry.id)

    def record_work(self, succeeded: bool) -> None:
        """Record whether the instance ran a statement; a refusal without a run is neither."""
        self.work_history.record(self._now(), succeeded)

    @property
    def work_status(self) -> WorkStatus:
        """What the outcomes of the latest statements show."""
        return self.work_history.status(self._now())

    def record_primary_role_denied(self) -> None:
        """Record that the instance replied that it is not the primary."""
        self.denies_primary_role = True
        self._on_problem(self.entry.id)

    def is_likely_behind(self, position: Position) -> bool:
        """Return whether the instance's log probably has not reached a position yet.

        True during the lag backoff for positions beyond the last reported one. Reads that accept
        older data are still sent to the instance.
        """
        backs_off = self.mechanisms.is_on(Mechanism.LAG_BACKOFF)
        if not backs_off or self._now() >= self._lag_backoff_until:
            return False
        return self._reported_position is None or position > self._reported_position

    def record_position(self, position: Position | None) -> None:
        """Record the log position from a reply; None leaves it unchanged."""
        if position is not None:
            self._reported_position = position

    def record_lagging(self) -> None:
        """Record that the log had not reached a requested position; start the lag backoff.

        The backoff doubles each time until the instance has caught up.
        """
        if self._now() < self._lag_backoff_until:
            return
        self._lag_backoff_until = self._now() + self._lag_backoff
        self._lag_backoff = min(LAG_BACKOFF_MAX_S, 2 * self._lag_backoff)

    def record_caught_up(self) -> None:
        """Record that the log had reached a requested position; reset the lag backoff."""
        self._lag_backoff = LAG_BACKOFF_MIN_S

    def _update_latency(self, elapsed: float) -> None:
        current = self.latency
        self._latency = current + (elapsed - current) * LATENCY_WEIGHT
        self._latency_updated_at = self._now()

    # Connections.

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
        connection = self._take_idle(request)
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
        taken_at = self._in_use.pop(connection, None)
        if taken_at is None:
            return
        self.statements.remove(connection)
        self.last_released_at = self._now()
        self._mean_hold_time = update_mean_hold_time(
            self._mean_hold_time, self.last_released_at - taken_at
        )
        # `size` no longer counts this connection, so an equal limit is exceeded as well.
        exceeds_limit = self.size >= max(1, self._connection_limit(self.entry))
        is_outdated = connection.generation != self._generation
        if not connection.is_usable or self._closed or exceeds_limit or is_outdated:
            connection.link.close()
        else:
            self._idle.append(connection)
        self.serve_waiters()

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection whose state is in doubt."""
        connection.is_usable = False
        self.release(connection)

    def close_idle_connections(self) -> None:
        """Close all idle connections, which may have been lost without a TCP reset."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.link.close()

    def invalidate_connections(self) -> None:
        """Close the connections opened so far because the path to the instance has changed.

        Connections in use are closed when they are released.
        """
        self._generation += 1
        self.reset_backoff()

    def reset_backoff(self) -> None:
        """Clear the dial backoff and close idle connections, so that a new path is used at once."""
        self._retry_at = 0.0
        self._dial_failures = 0
        self.close_idle_connections()

    def close(self) -> None:
        """Close idle connections and fail all waiting requests.

        Connections in use are closed when they are released.
        """
        self._closed = True
        for connection in self._idle:
            connection.link.close()
        self._idle.clear()
        self._waiters.fail_all(
            InstanceUnreachableError("take connection", self.entry.id, "it left")
        )

    def _take_idle(self, request: ConnectionRequest) -> PooledConnection | None:
        usable = [c for c in reversed(self._idle) if request.may_use(c.link.account)]
        if not usable or not self._may_start(request):
            return None

        def setup_cost(connection: PooledConnection) -> tuple[int, bool]:
            steps = len(plan_connection_setup(connection.state, request.values, None))
            return steps, connection.last_session_id != request.session_id

        best = min(usable, key=setup_cost)
        self._idle.remove(best)
        best.last_session_id = request.session_id
        self._in_use[best] = self._now()
        if not request.is_probe:
            self.statements.start(best)
        return best

    def _has_idle(self, request: ConnectionRequest) -> bool:
        return self._may_start(request) and any(
            request.may_use(connection.link.account) for connection in self._idle
        )

    def _may_start(self, request: ConnectionRequest) -> bool:
        return request.is_probe or self.statements.room > 0

    def _queue_load(self, waiters_ahead: int) -> QueueLoad:
        """Return the load of the queue for a request with this many waiters ahead."""
        return self.statements.longer_queue(
            QueueLoad(waiters_ahead, self._connection_limit(self.entry), self._mean_hold_time)
        )

    def _may_get_connection(self) -> bool:
        """Return whether a connection may become free or may be opened soon."""
        return self.size > len(self._idle) or self._now() >= self._retry_at

    def _open_needed_connections(self) -> None:
        """Open a connection for each waiter for which none is being opened, in their order.

        At the limit an idle connection is closed instead, since no waiter can use it. None is
        opened for a waiter whose statement the limit on statements would not let start.
        """
        if not self._can_any_start or not self._has_room:
            return
        covered, room = Counter(self._opening), self.statements.room
        for request in self._waiters.requests:
            if self._now() < self._retry_at or self._closed:
                return
            if not request.is_probe:
                room -= 1
                if room < 0:
                    continue
            account = request.account.name
            if covered[account] > 0:
                covered[account] -= 1
            elif self._make_room():
                self._open_connection(account)
            else:
                return

    @property
    def _is_at_limit(self) -> bool:
        return self.size >= max(1, self._connection_limit(self.entry))

    @property
    def _may_replace_idle(self) -> bool:
        """True if an idle connection may be closed for one of another account."""
        max_opening = max(1, math.ceil(self.entry.slots * MAX_REPLACEMENT_SLOT_SHARE))
        return bool(self._idle) and self._opening.total() < max_opening

    @property
    def _can_any_start(self) -> bool:
        """True if a waiter could start its statement on a connection."""
        return len(self._waiters) > 0 and (self.statements.room > 0 or self._waiters.has_probe)

    @property
    def _has_room(self) -> bool:
        """True if a connection may be opened, possibly in the place of an idle one."""
        return not self._is_at_limit or self._may_replace_idle

    def _make_room(self) -> bool:
        """Close idle connections at the limit; return whether a connection may be opened."""
        if self._is_at_limit and not self._may_replace_idle:
            return False
        while self._is_at_limit and self._idle:
            self._idle.pop(0).link.close()
        return not self._is_at_limit

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
        self._dial_failures = 0
        self._retry_at = 0.0
        if link.has_replied_on_opening:
            self.record_reply()
        if self._closed:
            link.close()
            return
        self._idle.append(PooledConnection(link, generation=generation))
        self.serve_waiters()

    def _handle_dial_failure(self, failure: Failure, account: str) -> None:
        self._opening[account] -= 1
        if failure.check(InstanceRefusedError):
            self.record_reply()
            self._retry_at = self._now() + REFUSED_BACKOFF_S
        else:
            backoff = DIAL_BACKOFF_MIN_S * 2**self._dial_failures
            self._dial_failures = min(self._dial_failures + 1, 8)
            self._retry_at = self._now() + min(DIAL_BACKOFF_MAX_S, backoff)
            self.record_failure()
        if self.size == len(self._idle):
            assert failure.value is not None
            self._waiters.fail_all(failure.value)

    def serve_waiters(self) -> None:
        """Serve the waiters that may start, refuse those that would wait for too long."""
        while self._idle and self._can_any_start:
            waiter = self._waiters.pop_first(self._has_idle)
            if waiter is None:
                break
            connection = self._take_idle(waiter.request)
            assert connection is not None
            waiter.result.callback(connection)
        load = self._queue_load(0)
        self._waiters.refuse_expiring(self.entry.id, load.connections, load.mean_hold_time)
        self._open_needed_connections()
