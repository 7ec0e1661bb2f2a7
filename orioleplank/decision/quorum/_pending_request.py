"""One request in progress, and the stage it has reached."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision._position import Position
from orioleplank.decision.quorum._message import ConnectionId
from orioleplank.decision.quorum._request import Request


@dataclass(frozen=True, slots=True)
class Queued:
    """Waits for an instance, a slot or a connection."""

    # Not sent before this time of the proxy's clock, in seconds.
    not_before: float = 0.0


@dataclass(frozen=True, slots=True)
class Running:
    """Its statement is at an instance."""

    # The connection.
    connection: ConnectionId
    # Number of the statement on it.
    statement: int
    # Term it was sent in.
    term: int
    # True when the instance is a replica.
    by_replica: bool
    # When it was sent, in seconds of the proxy's clock.
    sent_at: float


@dataclass(frozen=True, slots=True)
class ReplyHeld:
    """Its reply waits until it is safe to show."""

    # Position the reply shows.
    position: Position
    # What the statement returned.
    result: bytes
    # Instance that answered.
    instance: str
    # Term it was sent in.
    term: int
    # True when the instance is a replica.
    by_replica: bool = False
    # True when it ran earlier under the same id.
    repeated: bool = False
    # True when the reply says that the id is tombstoned.
    tombstoned: bool = False


@dataclass(frozen=True, slots=True)
class Resolving:
    """The ledger is asked what became of it."""

    # Number of the question; 0 when it is still to be asked.
    query_number: int = 0
    # Instance asked.
    instance: str = ""
    # Term it was asked in.
    term: int = 0
    # True when the question writes a tombstone.
    tombstone: bool = False
    # When it was asked, in seconds of the proxy's clock.
    asked_at: float = 0.0


Stage = Queued | Running | ReplyHeld | Resolving


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """One request in progress."""

    # Ascending number on this proxy.
    number: int
    # Number of the caller's stream.
    caller: int
    # The request.
    request: Request
    # When it arrived, in seconds of the proxy's clock.
    arrived_at: float
    # Worth of the request's kind.
    weight: int
    # The stage it has reached.
    stage: Stage = Queued()
    # Statements sent for it.
    attempts: int = 0
    # True when a copy sent earlier may have run, or may still run.
    ambiguous: bool = False
    # True when a replica could not serve it.
    primary_only: bool = False
