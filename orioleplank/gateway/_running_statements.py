"""Statements that a pool's proxy has in progress at an instance, and the learned limit on them."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct
from twisted.internet.defer import CancelledError

from orioleplank.decision.admission import (
    ConcurrencyLimit,
    QueueLoad,
    StatementResult,
    update_mean_hold_time,
)
from orioleplank.decision.session import FailureCode, Reply
from orioleplank.gateway._connection import PooledConnection

# Duration of a statement that is assumed before the first one was answered, in seconds.
INITIAL_STATEMENT_S = 0.03


class _Statement(Struct, frozen=True):
    """A statement in progress, or about to be sent on a connection that was just acquired."""

    # In seconds of the pool's clock.
    started_at: float
    # True if no other one was in progress when it started.
    was_alone: bool


class RunningStatements:
    """Counts the statements in progress by connection, and learns how many the instance takes well.

    A connection counts from when it is acquired until its statement ends, and again during each
    further statement of a transaction; an idle transaction occupies no slot of the instance.
    """

    def __init__(
        self,
        slots: int,
        now: Callable[[], float],
        connection_limit: Callable[[], int],
        is_limited: Callable[[], bool],
    ) -> None:
        self._slots = slots
        self._now = now
        self._connection_limit = connection_limit
        self._is_limited = is_limited
        self._limit = ConcurrencyLimit.begin(slots, now())
        self._in_progress: dict[PooledConnection, _Statement] = {}
        # Mean duration of a statement, in seconds.
        self.mean_time = INITIAL_STATEMENT_S

    def __len__(self) -> int:
        return len(self._in_progress)

    @property
    def limit(self) -> int | None:
        """The limit without its short reductions for measurements; None without a limit."""
        return self._limit.usual(self._connection_limit()) if self._is_limited() else None

    @property
    def connections(self) -> int:
        """The number of connections that the pool may have."""
        return self._connection_limit()

    @property
    def room(self) -> int:
        """How many more statements may start now."""
        connections = self._connection_limit()
        if not self._is_limited():
            return connections
        return max(0, self._limit.allowed(connections, self._now()) - len(self))

    def longer_queue(self, load: QueueLoad) -> QueueLoad:
        """Return the load of a queue for connections, or for the limit if that takes longer."""
        limit = self.limit
        if limit is None:
            return load
        limited = QueueLoad(load.waiters_ahead, limit, self.mean_time)
        return max(load, limited, key=lambda queue: queue.expected_wait)

    def start(self, connection: PooledConnection) -> None:
        """Record that a connection was acquired for a statement, or that one is sent on it.

        A connection that has been discarded meanwhile is ignored.
        """
        if not connection.is_usable:
            return
        is_new = connection not in self._in_progress
        was_alone = len(self) == (0 if is_new else 1)
        self._in_progress[connection] = _Statement(self._now(), was_alone)
        if is_new and self._is_limited():
            self._limit = self._limit.start_statement(
                len(self), self._connection_limit(), self._now()
            )

    def end(self, connection: PooledConnection, result: StatementResult) -> None:
        """Record that the statement in progress on a connection has ended.

        Nothing is learned if the connection was released meanwhile: the statement was abandoned.
        """
        statement = self._in_progress.pop(connection, None)
        if statement is None:
            return
        elapsed = self._now() - statement.started_at
        if result is StatementResult.ANSWERED:
            self.mean_time = update_mean_hold_time(self.mean_time, elapsed)
        if self._is_limited():
            self._limit = self._limit.end_statement(
                result, elapsed, statement.was_alone, self._connection_limit(), self._now()
            )

    def remove(self, connection: PooledConnection) -> None:
        """Record that a connection was released; nothing is learned from a statement on it."""
        self._in_progress.pop(connection, None)


def judge_reply(reply: Reply, is_latency_sample: bool) -> StatementResult:
    """Return what a reply shows about its instance.

    A statement that failed may have done none of its work, so its latency is no sample.
    """
    if reply.failure is not None:
        is_busy = reply.failure.code is FailureCode.BUSY
        return StatementResult.OVERLOADED if is_busy else StatementResult.NO_SAMPLE
    return StatementResult.ANSWERED if is_latency_sample else StatementResult.NO_SAMPLE


def judge_error(error: Exception) -> StatementResult:
    """Return what a missing reply shows about its instance."""
    was_abandoned = isinstance(error, CancelledError)
    return StatementResult.NO_SAMPLE if was_abandoned else StatementResult.OVERLOADED
