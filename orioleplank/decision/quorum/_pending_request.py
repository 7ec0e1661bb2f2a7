"""A request in progress and its stages of processing."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision._position import Position
from orioleplank.decision.quorum._message import ConnectionId
from orioleplank.decision.quorum._request import Request


@dataclass(frozen=True, slots=True)
class Queued:
    """Queued until an instance, a slot and a connection are available."""

    # Earliest time to send the request, in seconds of the monotonic clock.
    not_before: float = 0.0


@dataclass(frozen=True, slots=True)
class Running:
    """The statement of the request was sent to an instance."""

    connection: ConnectionId
    # Number of the statement, unique on this proxy.
    statement: int
    # Term of the primary that the statement was sent to; 0 for a replica.
    term: int
    # True when the instance is a replica.
    by_replica: bool
    # Time of sending, in seconds of the monotonic clock.
    sent_at: float


@dataclass(frozen=True, slots=True)
class ReplyHeld:
    """The reply is held until it may be released to the caller."""

    # Log position that the reply reflects.
    position: Position
    # Result of the statement, opaque to the proxy.
    result: bytes
    # Name of the instance that answered.
    instance: str
    # Term in which the instance was primary; 0 for a replica.
    term: int
    # True when the instance is a replica.
    by_replica: bool = False
    # True when the request had already run under the same id.
    repeated: bool = False
    # True when the ledger holds a tombstone for the request id.
    tombstoned: bool = False


@dataclass(frozen=True, slots=True)
class Resolving:
    """The outcome of the request is being looked up in the ledger."""

    # Number of the ledger query; 0 when none has been sent yet.
    query_number: int = 0
    # Name of the instance queried.
    instance: str = ""
    # Term in which that instance was primary.
    term: int = 0
    # True when the query writes a tombstone if it finds no entry.
    tombstone: bool = False
    # Time of the query, in seconds of the monotonic clock.
    queried_at: float = 0.0


Stage = Queued | Running | ReplyHeld | Resolving


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request in progress on this proxy."""

    # Unique on this proxy, in order of arrival.
    number: int
    # Number of the caller's stream on this proxy.
    caller: int
    request: Request
    # Time of arrival, in seconds of the monotonic clock.
    arrived_at: float
    # Weight of the kind of the request; a higher weight is served first.
    weight: int
    stage: Stage = Queued()
    # Number of statements sent for this request.
    attempts: int = 0
    # True when an earlier copy may have run or may still run.
    ambiguous: bool = False
    # True when it must go to the primary because a replica could not serve it.
    primary_only: bool = False
