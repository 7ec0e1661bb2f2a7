"""Messages between proxies; each may be lost, repeated or late."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision._position import Position
from orioleplank.decision.membership._view_source import ViewVersions


@dataclass(frozen=True, slots=True)
class ReleaseAsked:
    """Asks a proxy to rely on a group's primary no more."""

    # Name of the asking proxy.
    sender: str
    # Name of the service.
    service: str
    # Revision of the record that moves the primary.
    revision: int
    # True when statements that run may end first.
    planned: bool


@dataclass(frozen=True, slots=True)
class Released:
    """A proxy's word that it relies on no record below a revision."""

    # Name of the proxy.
    sender: str
    # Its run.
    incarnation: str
    # Name of the service.
    service: str
    # The revision.
    revision: int


@dataclass(frozen=True, slots=True)
class ReachAsked:
    """Asks a proxy when it last had an answer from an instance."""

    # Name of the asking proxy.
    sender: str
    # Number of the question.
    number: int
    # Id of the instance.
    instance: str


@dataclass(frozen=True, slots=True)
class ReachTold:
    """When a proxy last had an answer from an instance."""

    # Name of the proxy.
    sender: str
    # Number of the question.
    number: int
    # Seconds since the answer; infinite when there was none.
    age: float
    # Failures since the answer.
    failures: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks a proxy whether it lives."""

    # Name of the asking proxy.
    sender: str
    # Name of the proxy that wants to know, to which the answer goes.
    asker: str


@dataclass(frozen=True, slots=True)
class PingAsked:
    """Asks a proxy to ask another one whether it lives, since it may reach it."""

    # Name of the asking proxy.
    sender: str
    # Name of the other one.
    target: str


@dataclass(frozen=True, slots=True)
class Pong:
    """A proxy lives."""

    # Name of the proxy.
    sender: str
    # Its run.
    incarnation: str


@dataclass(frozen=True, slots=True)
class ViewAsked:
    """Asks a proxy how new its view of the store is."""

    # Name of the asking proxy.
    sender: str
    # Number of the question.
    number: int


@dataclass(frozen=True, slots=True)
class ViewTold:
    """How new a proxy's view of the store is."""

    # Name of the proxy.
    sender: str
    # Number of the question; 0 when nobody asked, because the view has changed.
    number: int
    # Seconds since the listing of the records was asked for; infinite before one.
    age: float
    # How new it is.
    versions: ViewVersions


@dataclass(frozen=True, slots=True)
class PositionsAsked:
    """Asks a proxy for the newest positions that it knows of primaries' logs."""

    # Name of the asking proxy.
    sender: str
    # Number of the question.
    number: int
    # Names of the services.
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PrimaryPosition:
    """The newest position that a proxy knows of one primary's log."""

    # Name of the service.
    service: str
    # Revision of the record that names the primary.
    revision: int
    # Seconds since the primary was asked.
    age: float
    # The position.
    position: Position


@dataclass(frozen=True, slots=True)
class PositionsTold:
    """The newest positions that a proxy knows."""

    # Name of the proxy.
    sender: str
    # Number of the question.
    number: int
    # The positions.
    notes: tuple[PrimaryPosition, ...]


PeerMessage = (
    ReleaseAsked
    | Released
    | ReachAsked
    | ReachTold
    | Ping
    | PingAsked
    | Pong
    | ViewAsked
    | ViewTold
    | PositionsAsked
    | PositionsTold
)
