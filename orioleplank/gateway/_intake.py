"""What the process holds for callers, peers and instances, and the reports of met limits."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, unique
from typing import Any, Protocol

from orioleplank.decision.intake import (
    Accepted,
    CallerLimits,
    ConnectionTable,
    HeldBytes,
    Refused,
    Replaces,
)


@unique
class LimitSide(Enum):
    """Whose connection has met a limit."""

    CALLER = "caller"
    CHANNEL = "channel"
    TUNNEL = "tunnel"
    HTTP = "http"
    INSTANCE = "instance"


@unique
class LimitReason(Enum):
    """Which limit was met."""

    # A message is too large.
    MESSAGE = "message"
    # A message was not complete in time.
    MESSAGE_TIME = "message-time"
    # More was left unread than allowed.
    UNREAD = "unread"
    # Answers were left unread for too long.
    UNREAD_TIME = "unread-time"
    # More requests were sent ahead than the protocol between proxies uses.
    AHEAD = "ahead"
    # The process holds more than its budget.
    PROCESS = "process"
    # Too many connections.
    CONNECTIONS = "connections"
    # A session wants to keep too much.
    SESSION = "session"
    # A reply of an instance is too large.
    REPLY = "reply"


class Holder(Protocol):
    """A connection for which the process holds bytes."""

    def count_held_bytes(self) -> int:
        """Return how many bytes are held for it now."""

    def close_for_budget(self) -> None:
        """Close it, because the process holds too much, and release what is held."""


class Guarded(Protocol):
    """A connection to a port with a limit on connections."""

    def close_for_room(self) -> None:
        """Close it, because another connection takes its place."""


class PortGuard:
    """Limits the connections to one port, and reports the limits that they meet."""

    def __init__(self, intake: Intake, side: LimitSide, limit: int) -> None:
        self._intake = intake
        self._side = side
        self._table: ConnectionTable[Any] = ConnectionTable(limit)

    def __len__(self) -> int:
        return len(self._table)

    def accept(self, connection: Guarded) -> Accepted | Refused:
        """Decide about a new connection; one that makes room for it is closed."""
        match self._table.decide():
            case Refused() as refused:
                self.report(LimitReason.CONNECTIONS, connections=len(self._table))
                return refused
            case Replaces(replaced):
                self.report(LimitReason.CONNECTIONS, connections=len(self._table))
                self._table.mark_closing(replaced)
                replaced.close_for_room()
        self._table.add(connection)
        return Accepted()

    def may_serve(self, connection: Guarded) -> bool:
        """Return whether a new connection is served; another one may be closed for it."""
        return isinstance(self.accept(connection), Accepted)

    def report_ahead(self) -> None:
        """Report a connection that sends too many requests ahead."""
        self.report(LimitReason.AHEAD)

    def add_refused(self, connection: object) -> None:
        """Add a refused connection that is being closed."""
        self._table.mark_closing(connection)

    def mark_opened(self, connection: object) -> None:
        """Record that a connection has sent its first message."""
        self._table.mark_opened(connection)

    def mark_used(self, connection: object) -> None:
        """Record that a connection has sent a request."""
        self._table.mark_used(connection)

    def remove(self, connection: object) -> None:
        """Remove a connection that was closed."""
        self._table.remove(connection)

    def report(self, reason: LimitReason, **fields: object) -> None:
        """Count and log a limit that a connection to this port has met."""
        self._intake.report(self._side, reason, **fields)


class Intake:
    """Applies the limits of the process; shared by all connections.

    Its decisions are those of `HeldBytes` and `ConnectionTable`.
    """

    def __init__(
        self,
        limits: CallerLimits,
        count_limit: Callable[[str, str], None],
        log_limit: Callable[..., None],
    ) -> None:
        self.limits = limits
        # Counts a limit by its side and reason.
        self._count_limit = count_limit
        self._log_limit = log_limit
        self._held: HeldBytes[Holder] = HeldBytes(limits.process_bytes)
        self._is_closing_excess = False
        # The guard of the port for callers.
        self.callers = PortGuard(self, LimitSide.CALLER, limits.connections)

    @property
    def held_bytes(self) -> int:
        """Bytes held in the process, as last recorded."""
        return self._held.total

    def build_peer_guard(self, side: LimitSide) -> PortGuard:
        """Return the guard of an internal port."""
        is_channel = side is LimitSide.CHANNEL
        limit = self.limits.peer_channels if is_channel else self.limits.peer_connections
        return PortGuard(self, side, limit)

    def record(self, holder: Holder) -> None:
        """Record what a connection holds; connections are closed if the budget is exceeded."""
        self._held.record(holder, holder.count_held_bytes())
        if self._held.is_exceeded and not self._is_closing_excess:
            self._close_excess()

    def forget(self, holder: Holder) -> None:
        """Remove a connection that was closed."""
        self._held.record(holder, 0)

    def report(self, side: LimitSide, reason: LimitReason, **fields: object) -> None:
        """Count a met limit, and log it within the bound of lines per second."""
        self._count_limit(side.value, reason.value)
        self._log_limit(side=side.value, reason=reason.value, held=self._held.total, **fields)

    def _close_excess(self) -> None:
        self._is_closing_excess = True
        try:
            # What was written may have been read since it was recorded.
            for holder in self._held.holders:
                self._held.record(holder, holder.count_held_bytes())
            for holder in self._held.choose_excess():
                holder.close_for_budget()
                self._held.record(holder, 0)
        finally:
            self._is_closing_excess = False


def count_unsent_bytes(transport: Any) -> int:
    """Return how many written bytes a transport has not passed to the system yet.

    Twisted tells only whether its buffer is above 64 KB, which many connections may stay below.
    """
    data = getattr(transport, "dataBuffer", b"")
    return int(len(data) - getattr(transport, "offset", 0) + getattr(transport, "_tempDataLen", 0))
