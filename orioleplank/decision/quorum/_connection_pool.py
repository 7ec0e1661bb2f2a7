"""Tracks a proxy's connections to one instance, and its use of its slots there."""

from __future__ import annotations

from dataclasses import dataclass, replace

# Delay before the next attempt to open a connection; doubles with each failure in a row.
INITIAL_REOPEN_DELAY_S = 0.05
# A closed connection is no longer counted once the instance has answered a probe round that was
# sent at least this long after the closing.
UNCERTAIN_MARGIN_S = 0.05
# A closed connection is counted for at most this long, even without such an answer.
UNCERTAIN_TIMEOUT_S = 2.5
MAX_REOPEN_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class ConnectionPool:
    """Connections to one instance, and the statements that occupy slots there.

    A closed connection counts towards the limit as long as the instance may still hold it. The
    slot of its statement counts as used for the same time.
    """

    # Maximum number of connections of this proxy.
    connection_limit: int
    # Maximum number of concurrent statements of this proxy.
    slot_limit: int
    # Numbers of the idle connections; the most recently used one is last.
    idle: tuple[int, ...] = ()
    # Numbers of the connections that run a statement or are owned by a transaction.
    in_use: frozenset[int] = frozenset()
    # Numbers of the connections being opened.
    opening: frozenset[int] = frozenset()
    # Number of statements running.
    running: int = 0
    # Closing times of connections whose statement may still be running, in seconds.
    uncertain_since: tuple[float, ...] = ()
    # Closing times of connections that the instance may still hold, in seconds.
    closed_at: tuple[float, ...] = ()
    # Number of the next connection to be opened.
    next_number: int = 1
    # Consecutive failures to open a connection.
    open_failures: int = 0
    # No connection is opened before this time of the monotonic clock, in seconds.
    reopen_at: float = 0.0

    def __post_init__(self) -> None:
        if self.connection_limit < 0 or self.slot_limit < 0:
            raise ValueError(
                f"limits must not be negative: {self.connection_limit} connections, "
                f"{self.slot_limit} slots"
            )

    @property
    def size(self) -> int:
        """Number of connections open, being opened, or closed but possibly still held upstream."""
        return len(self.idle) + len(self.in_use) + len(self.opening) + len(self.closed_at)

    @property
    def has_free_slot(self) -> bool:
        """True when another statement may be started."""
        return self.used_slots < self.slot_limit

    @property
    def used_slots(self) -> int:
        """Number of statements that are running or may still be running."""
        return self.running + len(self.uncertain_since)

    def contains(self, number: int) -> bool:
        """Return whether a connection is idle, in use or being opened in this pool."""
        return number in self.in_use or number in self.opening or number in self.idle

    def acquire(self) -> tuple[ConnectionPool, int]:
        """Take the most recently used idle connection; `idle` must not be empty."""
        number = self.idle[-1]
        return replace(self, idle=self.idle[:-1], in_use=self.in_use | {number}), number

    def release(self, number: int) -> ConnectionPool:
        """Make a connection idle; no statement may be running on it."""
        return replace(self, idle=(*self.idle, number), in_use=self.in_use - {number})

    def start_statement(self) -> ConnectionPool:
        """Count a statement as running."""
        return replace(self, running=self.running + 1)

    def end_statement(self) -> ConnectionPool:
        """Count a statement as ended."""
        return replace(self, running=max(0, self.running - 1))

    def mark_statement_uncertain(self, now: float) -> ConnectionPool:
        """Count a statement as possibly still running, after its connection was closed."""
        return replace(self.end_statement(), uncertain_since=(*self.uncertain_since, now))

    def expire_uncertain(self, answered_at: float, now: float) -> ConnectionPool:
        """Stop counting closed connections that the instance can no longer hold.

        These are the ones closed before a probe round that the instance answered, and those closed
        longer than `UNCERTAIN_TIMEOUT_S` ago: data not acknowledged by then has been dropped by
        the user timeout of the transport (`TCP_USER_TIMEOUT`). `answered_at` is the time at which
        the answered round was sent, in seconds.
        """
        uncertain_since = _drop_expired(self.uncertain_since, answered_at, now)
        closed_at = _drop_expired(self.closed_at, answered_at, now)
        if len(uncertain_since) == len(self.uncertain_since) and len(closed_at) == len(
            self.closed_at
        ):
            return self
        return replace(self, uncertain_since=uncertain_since, closed_at=closed_at)

    def begin_open(self) -> tuple[ConnectionPool, int]:
        """Reserve the number of a connection to open; return the pool and that number."""
        number = self.next_number
        return replace(self, opening=self.opening | {number}, next_number=number + 1), number

    def finish_open(self, number: int) -> ConnectionPool:
        """Make an opened connection idle, and reset the reopening delay."""
        return replace(
            self, opening=self.opening - {number}, idle=(*self.idle, number), open_failures=0
        )

    def remove(self, number: int, now: float) -> ConnectionPool:
        """Remove a connection; a failure to open delays the next attempt."""
        closed_at = (*self.closed_at, now)
        if number not in self.opening:
            idle = tuple(other for other in self.idle if other != number)
            return replace(self, idle=idle, in_use=self.in_use - {number}, closed_at=closed_at)
        delay = min(MAX_REOPEN_DELAY_S, INITIAL_REOPEN_DELAY_S * 2**self.open_failures)
        return replace(
            self,
            opening=self.opening - {number},
            closed_at=closed_at,
            open_failures=min(self.open_failures + 1, 10),
            reopen_at=now + delay,
        )

    def excess_idle(self) -> tuple[int, ...]:
        """Return the idle connections to close because the connection limit was lowered."""
        excess = self.size - len(self.closed_at) - self.connection_limit
        return self.idle[: max(0, excess)]

    def count_to_open(self, demand: int, now: float) -> int:
        """Return how many connections to open for `demand` queued statements.

        One spare connection is kept open in advance, because opening takes several round trips.
        """
        if now < self.reopen_at:
            return 0
        missing = demand + 1 - len(self.idle) - len(self.opening)
        return max(0, min(missing, self.connection_limit - self.size))


def _drop_expired(times: tuple[float, ...], answered_at: float, now: float) -> tuple[float, ...]:
    return tuple(
        closed_time
        for closed_time in times
        if closed_time + UNCERTAIN_MARGIN_S > answered_at
        and now - closed_time < UNCERTAIN_TIMEOUT_S
    )
