"""Connections to one instance, and what is known of how it answers."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from twisted.internet.defer import Deferred, fail, succeed
from twisted.python.failure import Failure

from orioleplank.decision import Position
from orioleplank.decision.admission import (
    AdmissionRefused,
    QueueLoad,
    decide_admission,
    update_mean_hold_time,
)
from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.session import plan_connection_setup
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._interfaces import (
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
)
from orioleplank.gateway._wait_queue import QueueTooLongError, WaitQueue

# Pause before another try to open a connection after a failure, in seconds, doubled each time.
RETRY_FIRST_S = 0.05
RETRY_LIMIT_S = 1.0
# How long an instance that has no connection left is not asked for one, in seconds.
FULL_PAUSE_S = 0.5
# How long a replica that lags is passed over by reads that ask for more than it has, in seconds,
# doubled while it lags: a whole fleet that asks it again and again would keep it from its work.
LAG_BACKOFF_MIN_S = 0.1
LAG_BACKOFF_MAX_S = 0.8
# Weight of the newest answer in the recent time of an instance.
LATENCY_WEIGHT = 0.2
# Time assumed for an instance that was not asked yet, in seconds.
FIRST_LATENCY_S = 0.03
# After this long without an answer half of what was learned of an instance's time is forgotten.
FORGET_S = 2.0
# Failures in a row, and seconds since the first of them, after which only probes are sent.
SUSPECT_FAILURES = 2
SUSPECT_S = 0.2
# Time that a failed statement counts for, in seconds.
FAILURE_LATENCY_S = 1.0


class InstancePool:
    """All connections of this proxy to one life of an instance."""

    def __init__(
        self,
        entry: InstanceEntry,
        dial: Callable[[InstanceEntry, Callable[[], None]], Deferred[InstanceLink]],
        now: Callable[[], float],
        share: Callable[[InstanceEntry], int],
        on_trouble: Callable[[str], None],
    ) -> None:
        self.entry = entry
        self._dial = dial
        self._now = now
        self._share = share
        self._on_trouble = on_trouble
        self._generation = 0
        self._idle: list[PooledConnection] = []
        # Connections in use, and since when, in seconds.
        self._taken: dict[PooledConnection, float] = {}
        # Mean time for which a use keeps a connection, in seconds.
        self._hold = FIRST_LATENCY_S
        self._opening = 0
        self._waiters = WaitQueue(now)
        self._closed = False
        self._retry_at = 0.0
        self._dial_failures = 0
        # Failures since the last answer, and when the first of them was.
        self.consecutive_failures = 0
        self.failing_since = 0.0
        # When a connection was given back last, in seconds.
        self.last_released_at = now()
        # When it answered last, in seconds; minus infinity before.
        self.last_reply_at = float("-inf")
        # Position that its log had when it was told last; None before.
        self._reached: Position | None = None
        # Until when reads are not sent there that ask for more than that, and the next pause.
        self._lagging_until = float("-inf")
        self._lagging_pause = LAG_BACKOFF_MIN_S
        # True once it has answered that it does not lead, although the record says so.
        self.denies_primary_role = False
        self._latency = FIRST_LATENCY_S
        self._latency_at = now()

    # What is known of the instance.

    @property
    def in_flight(self) -> int:
        """Statements and transactions of this proxy that use it or wait for it."""
        return len(self._taken) + len(self._waiters)

    @property
    def size(self) -> int:
        """Connections that are open or being opened."""
        return len(self._idle) + len(self._taken) + self._opening

    @property
    def latency(self) -> float:
        """Recent time for a statement, in seconds; it fades while nothing is heard."""
        age = self._now() - self._latency_at
        fade = math.pow(0.5, age / FORGET_S)
        return FIRST_LATENCY_S + (self._latency - FIRST_LATENCY_S) * fade

    @property
    def failing_for(self) -> float:
        """Seconds since the first failure after the last answer; 0 without one."""
        return self._now() - self.failing_since if self.consecutive_failures else 0.0

    @property
    def is_suspect(self) -> bool:
        """True while it does not answer, so that work sent to it would only wait."""
        return self.consecutive_failures >= SUSPECT_FAILURES and self.failing_for >= SUSPECT_S

    def record_reply(self, elapsed: float | None = None) -> None:
        """Take note of an answer, which took `elapsed` seconds if it tells of the load."""
        self.consecutive_failures = 0
        self.last_reply_at = self._now()
        if elapsed is not None:
            self._learn(elapsed)

    def record_failure(self) -> None:
        """Take note that it did not answer."""
        if not self.consecutive_failures:
            self.failing_since = self._now()
        self.consecutive_failures += 1
        self._learn(FAILURE_LATENCY_S)
        if self.is_suspect:
            self.close_idle_connections()
        self._on_trouble(self.entry.id)

    def record_primary_role_denied(self) -> None:
        """Take note that it answers that it does not lead."""
        self.denies_primary_role = True
        self._on_trouble(self.entry.id)

    def is_likely_behind(self, position: Position) -> bool:
        """Tell whether its log is likely to lack a position, because it did a moment ago.

        Reads that accept older data are still sent there.
        """
        if self._now() >= self._lagging_until:
            return False
        return self._reached is None or position > self._reached

    def record_position(self, position: Position | None) -> None:
        """Take the position of its log from an answer."""
        if position is not None:
            self._reached = position

    def record_lagging(self) -> None:
        """Take note that its log lacks a position; the pause grows while it stays so."""
        if self._now() < self._lagging_until:
            return
        self._lagging_until = self._now() + self._lagging_pause
        self._lagging_pause = min(LAG_BACKOFF_MAX_S, 2 * self._lagging_pause)

    def record_caught_up(self) -> None:
        """Take note that its log held a position that a read asked for."""
        self._lagging_pause = LAG_BACKOFF_MIN_S

    def _learn(self, elapsed: float) -> None:
        faded = self.latency
        self._latency = faded + (elapsed - faded) * LATENCY_WEIGHT
        self._latency_at = self._now()

    # Connections.

    def acquire(
        self,
        values: Mapping[str, str],
        session: int,
        priority: int,
        left: float,
        is_probe: bool = False,
    ) -> Deferred[PooledConnection]:
        """Return a connection, the one that needs the least preparation.

        `left` is the time that the work has, in seconds. Only a probe gets a connection to an
        instance that does not answer. Fails with `InstanceUnreachableError`, `InstanceRefusedError`
        or `QueueTooLongError` when none can be had.
        """
        if self._closed:
            error = InstanceUnreachableError("take connection", self.entry.id, "it is gone")
            return fail(error)
        connection = self._take_idle(values, session)
        if connection is not None:
            return succeed(connection)
        if (self.is_suspect and not is_probe) or not self._can_hope():
            error = InstanceUnreachableError("take connection", self.entry.id, "it was unreachable")
            return fail(error)
        verdict = decide_admission(self._describe_queue(priority, left).expected_wait, left)
        if isinstance(verdict, AdmissionRefused) and not is_probe:
            return fail(QueueTooLongError(self.entry.id, verdict.retry_after))
        result = self._waiters.enqueue(
            priority, left, values, session, waits_until_timeout=is_probe
        )
        self._open_wanted()
        return result

    def release(self, connection: PooledConnection) -> None:
        """Give back a connection that is in no transaction and waits for no answer."""
        taken_at = self._taken.pop(connection, None)
        if taken_at is None:
            return
        self.last_released_at = self._now()
        self._hold = update_mean_hold_time(self._hold, self.last_released_at - taken_at)
        over = self.size >= max(1, self._share(self.entry)) and not len(self._waiters)
        is_old = connection.generation != self._generation
        if not connection.is_usable or self._closed or over or is_old:
            connection.link.close()
        else:
            self._idle.append(connection)
        self._serve_waiters()

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection that is in doubt."""
        connection.is_usable = False
        self.release(connection)

    def close_idle_connections(self) -> None:
        """Close what is free: connections that went silent without a reset."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.link.close()

    def invalidate_connections(self) -> None:
        """Close what was opened by another way; taken connections end with their work."""
        self._generation += 1
        self.reset_backoff()

    def reset_backoff(self) -> None:
        """Forget failures to open connections, because there is another way now."""
        self._retry_at = 0.0
        self._dial_failures = 0
        self.close_idle_connections()

    def close(self) -> None:
        """Close what is free and refuse what waits; taken connections end with their work."""
        self._closed = True
        for connection in self._idle:
            connection.link.close()
        self._idle.clear()
        self._waiters.fail_all(
            InstanceUnreachableError("take connection", self.entry.id, "it left")
        )

    def _take_idle(self, values: Mapping[str, str], session: int) -> PooledConnection | None:
        if not self._idle:
            return None

        def cost(connection: PooledConnection) -> tuple[int, bool]:
            steps = len(plan_connection_setup(connection.state, values, None))
            return steps, connection.last_session_id != session

        best = min(reversed(self._idle), key=cost)
        self._idle.remove(best)
        best.last_session_id = session
        self._taken[best] = self._now()
        return best

    def _describe_queue(self, priority: int, left: float) -> QueueLoad:
        """Describe the queue as a new waiter who has `left` seconds finds it."""
        ahead = self._waiters.count_ahead(priority, left)
        return QueueLoad(ahead, self._share(self.entry), self._hold)

    def _can_hope(self) -> bool:
        """Tell whether a connection may become free or be opened soon."""
        return bool(self._taken or self._opening) or self._now() >= self._retry_at

    def _open_wanted(self) -> None:
        while self._opening < len(self._waiters) and self.size < max(1, self._share(self.entry)):
            if self._now() < self._retry_at:
                return
            self._opening += 1
            dialing = self._dial(self.entry, self.record_failure)
            dialing.addCallbacks(
                self._take_opened, self._take_failure, callbackArgs=(self._generation,)
            )

    def _take_opened(self, link: InstanceLink, generation: int) -> None:
        self._opening -= 1
        self._dial_failures = 0
        self._retry_at = 0.0
        if link.is_direct:
            self.record_reply()
        if self._closed:
            link.close()
            return
        self._idle.append(PooledConnection(link, generation=generation))
        self._serve_waiters()

    def _take_failure(self, failure: Failure) -> None:
        self._opening -= 1
        if failure.check(InstanceRefusedError):
            self.record_reply()
            self._retry_at = self._now() + FULL_PAUSE_S
        else:
            pause = RETRY_FIRST_S * 2**self._dial_failures
            self._dial_failures = min(self._dial_failures + 1, 8)
            self._retry_at = self._now() + min(RETRY_LIMIT_S, pause)
            self.record_failure()
        if not self._taken and not self._opening:
            assert failure.value is not None
            self._waiters.fail_all(failure.value)

    def _serve_waiters(self) -> None:
        while self._idle and len(self._waiters):
            waiter = self._waiters.pop_first()
            connection = self._take_idle(waiter.values, waiter.session_id)
            assert connection is not None
            waiter.result.callback(connection)
        self._waiters.refuse_expiring(self.entry.id, self._share(self.entry), self._hold)
        self._open_wanted()
