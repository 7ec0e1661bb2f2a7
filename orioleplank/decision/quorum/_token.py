"""Session tokens: what a session has seen, carried by the caller from proxy to proxy."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision._position import ZERO_POSITION, Position


@dataclass(frozen=True, slots=True)
class TokenEntry:
    """The newest position a session has written or read in one service."""

    # Name of the service.
    service: str
    # The position.
    position: Position


@dataclass(frozen=True, slots=True)
class SessionToken:
    """What a session has seen, one entry for each service it has used.

    Positions in answers are on a majority before they are shown, so those of one service are
    totally ordered and the newest stands for all.
    """

    # Entries in order of service name.
    entries: tuple[TokenEntry, ...] = ()

    def position(self, service: str) -> Position:
        """Return the newest position seen in `service`, `ZERO_POSITION` when there is none."""
        for entry in self.entries:
            if entry.service == service:
                return entry.position
        return ZERO_POSITION

    def advance(self, service: str, position: Position) -> SessionToken:
        """Return a token that has also seen `position` in `service`."""
        if position <= self.position(service):
            return self
        others = tuple(entry for entry in self.entries if entry.service != service)
        entries = (*others, TokenEntry(service, position))
        return SessionToken(tuple(sorted(entries, key=lambda entry: entry.service)))


EMPTY_TOKEN = SessionToken()
