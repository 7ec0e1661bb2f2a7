"""The open connections to one port, and which of them makes room for a new one."""

from __future__ import annotations

from typing import Generic, TypeVar

from msgspec import Struct

K = TypeVar("K")

# Connections that are being closed may exceed the limit by this share of it: closing takes a turn
# of the event loop, in which many new connections may arrive.
CLOSING_SHARE = 1 / 8


class Accepted(Struct, frozen=True):
    """The new connection is served."""


class Replaces(Struct, Generic[K], frozen=True):
    """The new connection is served, and another one is closed for it."""

    connection: K


class Refused(Struct, frozen=True):
    """The new connection is refused; `may_reply` if a reply may be sent before it is closed."""

    may_reply: bool


Acceptance = Accepted | Replaces[K] | Refused


class ConnectionTable(Generic[K]):
    """The connections of one port, up to a limit.

    Addresses large numbers of connections that are opened and not used. A new connection takes the
    place of the oldest one that has sent no first message; if there is none, of the oldest one that
    has sent no request. Others are kept: most sessions are long and idle.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._closing_limit = max(1, int(limit * CLOSING_SHARE))
        # Connections that have sent nothing, in the order of their opening. The values are not
        # used.
        self._silent: dict[K, None] = {}
        # Connections that have sent a first message and no request, in the order of these messages.
        self._unused: dict[K, None] = {}
        self._used: set[K] = set()
        self._closing: set[K] = set()

    def __len__(self) -> int:
        return len(self._silent) + len(self._unused) + len(self._used)

    def decide(self) -> Acceptance[K]:
        """Decide about a new connection."""
        if len(self) < self._limit:
            return Accepted()
        may_close = len(self._closing) < self._closing_limit
        for candidates in (self._silent, self._unused):
            if candidates and may_close:
                return Replaces(next(iter(candidates)))
        return Refused(may_close)

    def add(self, connection: K) -> None:
        """Add a connection that has sent nothing."""
        self._silent[connection] = None

    def mark_opened(self, connection: K) -> None:
        """Record that a connection has sent its first message."""
        if connection in self._silent:
            del self._silent[connection]
            self._unused[connection] = None

    def mark_used(self, connection: K) -> None:
        """Record that a connection has sent a request."""
        if connection in self._silent or connection in self._unused:
            self._remove_open(connection)
            self._used.add(connection)

    def mark_closing(self, connection: K) -> None:
        """Record that a connection, open or refused, is being closed."""
        self._remove_open(connection)
        self._closing.add(connection)

    def remove(self, connection: K) -> None:
        """Remove a connection that was closed; no error if it is not there."""
        self._remove_open(connection)
        self._closing.discard(connection)

    def _remove_open(self, connection: K) -> None:
        self._silent.pop(connection, None)
        self._unused.pop(connection, None)
        self._used.discard(connection)
