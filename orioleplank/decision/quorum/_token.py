"""Session tokens: the newest positions a session has seen, passed by the caller to any proxy."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision._position import ZERO_POSITION, Position


@dataclass(frozen=True, slots=True)
class TokenEntry:
    """The newest position that a session has written or read in one service."""

    service: str
    position: Position


@dataclass(frozen=True, slots=True)
class SessionToken:
    """The positions a session has seen, with one entry for each service it has used.

    Answers are released only when their position is on a majority. The positions of one service
    are therefore totally ordered, and the newest one covers all older ones.
    """

    # Entries in order of service name.
    entries: tuple[TokenEntry, ...] = ()

    def position(self, service: str) -> Position:
        """Return the newest position seen in `service`; `ZERO_POSITION` when there is none."""
        for entry in self.entries:
            if entry.service == service:
                return entry.position
        return ZERO_POSITION

    def advance(self, service: str, position: Position) -> SessionToken:
        """Return a token that also covers `position` in `service`."""
        if position <= self.position(service):
            return self
        others = tuple(entry for entry in self.entries if entry.service != service)
        entries = (*others, TokenEntry(service, position))
        return SessionToken(tuple(sorted(entries, key=lambda entry: entry.service)))


EMPTY_TOKEN = SessionToken()
