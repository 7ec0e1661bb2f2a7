"""A proxy's connections to one instance, and its share of the instance's slots."""

from __future__ import annotations

from dataclasses import dataclass, replace

REOPEN_DELAY_S = 0.05
DOUBT_S = 0.05
DOUBT_LIMIT_S = 2.5
REOPEN_DELAY_LIMIT_S = 1.0


@dataclass(frozen=True, slots=True)
class ConnectionPool:
    """Connections to one instance."""

    # Connections this proxy may hold.
    connection_limit: int
    # Statements this proxy may run at once.
    slot_limit: int
    # Numbers of the connections that are free.
    idle: tuple[int, ...] = ()
    # Numbers of the connections that run a statement or hold a transaction.
    taken: frozenset[int] = frozenset()
    # Numbers of the connections being opened.
    opening: frozenset[int] = frozenset()
    # Statements running.
    running: int = 0
    # When connections were closed whose statement may still run, in seconds.
    doubtful: tuple[float, ...] = ()
    # When connections were closed that the instance may still hold, in seconds.
    closing: tuple[float, ...] = ()
    # Number for the next connection.
    next_number: int = 1
    # Failures to open in a row.
    failures: int = 0
    # No connection is opened before this time of the proxy's clock, in seconds.
    reopen_at: float = 0.0

    def __post_init__(self) -> None:
        if self.connection_limit < 0 or self.slot_limit < 0:
            raise ValueError("a share is not negative")

    @property
    def size(self) -> int:
        """Connections open, being opened, or closed so lately that the instance may hold them."""
        return len(self.idle) + len(self.taken) + len(self.opening) + len(self.closing)

    @property
    def has_free_slot(self) -> bool:
        """True when one more statement may run."""
        return self.used_slots < self.slot_limit

    @property
    def used_slots(self) -> int:
        """Statements that run or may still run."""
        return self.running + len(self.doubtful)

    def contains(self, number: int) -> bool:
        """Tell whether a connection is still this pool's."""
        return number in self.taken or number in self.opening or number in self.idle

    def acquire(self) -> tuple[ConnectionPool, int]:
        """Take the connection used last; `idle` must not be empty."""
        number = self.idle[-1]
        return replace(self, idle=self.idle[:-1], taken=self.taken | {number}), number

    def release(self, number: int) -> ConnectionPool:
        """Give back a connection that is in no doubt."""
        return replace(self, idle=(*self.idle, number), taken=self.taken - {number})

    def start_statement(self) -> ConnectionPool:
        """Count a statement as running."""
        return replace(self, running=self.running + 1)

    def end_statement(self) -> ConnectionPool:
        """Count a statement as ended."""
        return replace(self, running=max(0, self.running - 1))

    def mark_statement_uncertain(self, now: float) -> ConnectionPool:
        """Count a statement as one that may still run although its connection is closed."""
        return replace(self.end_statement(), doubtful=(*self.doubtful, now))

    def expire_uncertain(self, answered_at: float, now: float) -> ConnectionPool:
        """Forget doubts from before a round that the instance has answered, and old ones.

        What was sent and not acknowledged by then is dropped by the transport's user timeout.
        """
        doubtful = _still_open(self.doubtful, answered_at, now)
        closing = _still_open(self.closing, answered_at, now)
        if len(doubtful) == len(self.doubtful) and len(closing) == len(self.closing):
            return self
        return replace(self, doubtful=doubtful, closing=closing)

    def begin_open(self) -> tuple[ConnectionPool, int]:
        """Begin to open a connection."""
        number = self.next_number
        return replace(self, opening=self.opening | {number}, next_number=number + 1), number

    def finish_open(self, number: int) -> ConnectionPool:
        """Note that a connection is ready."""
        return replace(self, opening=self.opening - {number}, idle=(*self.idle, number), failures=0)

    def remove(self, number: int, now: float) -> ConnectionPool:
        """Forget a connection; a failure to open delays the next try."""
        closing = (*self.closing, now)
        if number not in self.opening:
            idle = tuple(kept for kept in self.idle if kept != number)
            return replace(self, idle=idle, taken=self.taken - {number}, closing=closing)
        delay = min(REOPEN_DELAY_LIMIT_S, REOPEN_DELAY_S * 2**self.failures)
        return replace(
            self,
            opening=self.opening - {number},
            closing=closing,
            failures=min(self.failures + 1, 10),
            reopen_at=now + delay,
        )

    def excess_idle(self) -> tuple[int, ...]:
        """Return the free connections to close because the share is smaller."""
        over = self.size - len(self.closing) - self.connection_limit
        return self.idle[: max(0, over)]

    def count_to_open(self, demand: int, now: float) -> int:
        """Return how many connections to open for `demand` statements waiting.

        One spare is kept open ahead of need, because opening takes several round trips.
        """
        if now < self.reopen_at:
            return 0
        missing = demand + 1 - len(self.idle) - len(self.opening)
        return max(0, min(missing, self.connection_limit - self.size))


def _still_open(closed: tuple[float, ...], answered_at: float, now: float) -> tuple[float, ...]:
    return tuple(at for at in closed if at + DOUBT_S > answered_at and now - at < DOUBT_LIMIT_S)
