"""What a proxy's decisions ask the outside to do."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from orioleplank.decision.quorum._configuration import StoredObject
from orioleplank.decision.quorum._message import ConnectionId, HeartbeatAck, SlotHolding
from orioleplank.decision.quorum._request import Outcome, Request
from orioleplank.decision.quorum._specs import ChangeMetadata, ObjectKey, Spec


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a caller, once for each request."""

    # Number of the caller's stream.
    caller: int
    # The request it answers.
    request: Request
    # The answer or refusal.
    outcome: Outcome
    # True when the caller should open its next stream elsewhere.
    should_reconnect: bool
    # Seconds from arrival to reply.
    elapsed: float
    # Statements sent upstream for it.
    attempts: int
    # False when it names no configured service and kind, so that nothing is counted by its names.
    has_known_kind: bool = True


@dataclass(frozen=True, slots=True)
class SendReconnect:
    """Asks a caller to open its next stream elsewhere and to end this one."""

    # Number of the caller's stream.
    caller: int


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Opens a connection; ends in `ConnectionOpened` or `ConnectionClosed`."""

    # The connection.
    connection: ConnectionId
    # HOST:PORT of the instance.
    address: str


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Closes a connection; what arrives on it later is dropped."""

    # The connection.
    connection: ConnectionId


@unique
class Boundary(Enum):
    """Where a statement stands in a transaction."""

    AUTO = "auto"
    BEGIN = "begin"
    STEP = "step"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclass(frozen=True, slots=True)
class SendStatement:
    """Sends a statement; ends in `StatementEnded` or `ConnectionClosed`."""

    # The connection.
    connection: ConnectionId
    # Number of the statement on that connection.
    statement: int
    # Term in which the instance has to be primary; 0 for a read at any role.
    term: int
    # Id for the ledger; empty for none.
    ledger_id: str
    # Queries to run.
    payload: bytes
    # True when it may change data.
    write: bool
    # Where it stands in a transaction.
    boundary: Boundary


@dataclass(frozen=True, slots=True)
class OpenControlStream:
    """Opens the control stream to an instance, and keeps it open."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # HOST:PORT of the instance.
    address: str


@dataclass(frozen=True, slots=True)
class CloseControlStream:
    """Closes the control stream to an instance."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str


@dataclass(frozen=True, slots=True)
class ProbeInstance:
    """Asks an instance for a report; ends in `InstanceReported`."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # Number of the round.
    round_number: int


@dataclass(frozen=True, slots=True)
class QueryLedger:
    """Looks up an id, or tombstones it; ends in `LedgerAnswered`."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # Number of the question.
    query_number: int
    # The ledger id.
    ledger_id: str
    # Term in which the instance has to be primary.
    term: int
    # True to write a tombstone when the id is absent.
    tombstone: bool


@dataclass(frozen=True, slots=True)
class SendSeal:
    """Seals an instance; ends in `SealAnswered`, or never."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # The new term.
    term: int


@dataclass(frozen=True, slots=True)
class SendPromote:
    """Promotes an instance; ends in `PromoteAnswered`, or never."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # The term it was sealed at.
    term: int


@dataclass(frozen=True, slots=True)
class SendFollow:
    """Makes an instance a replica of a primary."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # The term.
    term: int
    # Name of the primary.
    primary: str
    # HOST:PORT of the primary.
    address: str


@dataclass(frozen=True, slots=True)
class UpdateObject:
    """Updates a platform object on a condition; ends in `UpdateEnded`."""

    # What names the object.
    key: ObjectKey
    # The version it must have; 0 when it must not exist.
    version: int
    # Who changes it.
    change: ChangeMetadata
    # Its new content.
    spec: Spec


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Sends a heartbeat to all peers."""

    # Revision up to which the configuration is complete.
    revision: int
    # Version of the newest object.
    newest_version: int
    # True when this proxy is stopping.
    stopping: bool
    # Services whose groups it cannot reach by majority.
    unreachable_services: tuple[str, ...]
    # Services whose primary it cannot reach.
    headless_services: tuple[str, ...]
    # Number of the heartbeat, ascending in a run.
    number: int
    # What it has had from others.
    acks: tuple[HeartbeatAck, ...]
    # What it holds.
    holdings: tuple[SlotHolding, ...]


@dataclass(frozen=True, slots=True)
class RequestSlots:
    """Asks another proxy for slots."""

    # Name of the other proxy.
    proxy: str
    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # Epoch of the allotment.
    epoch: int
    # How many may be taken.
    count: int


@dataclass(frozen=True, slots=True)
class TransferSlots:
    """Hands slots to another proxy."""

    # Name of the other proxy.
    proxy: str
    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # Epoch of the allotment.
    epoch: int
    # How many.
    count: int


@dataclass(frozen=True, slots=True)
class SendObjects:
    """Sends configuration to a peer that is behind."""

    # Name of the peer.
    proxy: str
    # Revision up to which the peer is complete with it.
    revision: int
    # The objects.
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """Ends the process: nothing runs any more."""


@unique
class Event(Enum):
    """Numbered events; docs/EVENTS.md is the catalogue."""

    STARTED = 100
    READY = 101
    STOPPING = 102
    STOPPED = 103
    CONFIGURATION_TAKEN = 200
    PRESET_IN_FORCE = 201
    PRIMARY_SUSPECTED = 300
    SEAL_SENT = 301
    SEAL_REFUSED = 302
    PROMOTION_SENT = 303
    PRIMARY_PROMOTED = 304
    PRIMARY_CHANGED = 305
    KEEPERSHIP_TAKEN = 306
    SLOTS_ALLOTTED = 308
    INSTANCE_UNREACHABLE = 307
    CONNECTION_LOST = 400
    LATE_REPLY_DROPPED = 401
    OUTCOME_RESOLVED = 402
    TRANSACTION_ABORTED = 403
    REQUEST_RETRIED = 404
    REQUEST_REFUSED = 405
    PEER_FOUND = 500
    PLATFORM_UNAVAILABLE = 501
    PLATFORM_AVAILABLE = 502
    INTERNAL_ERROR = 900


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Logs a numbered event and counts it."""

    # The event.
    event: Event
    # The step.
    step: str
    # The peer concerned; empty when none.
    peer: str = ""
    # One sentence for a person.
    detail: str = ""


Effect = (
    Reply
    | SendReconnect
    | OpenConnection
    | CloseConnection
    | SendStatement
    | OpenControlStream
    | CloseControlStream
    | ProbeInstance
    | QueryLedger
    | SendSeal
    | SendPromote
    | SendFollow
    | UpdateObject
    | SendHeartbeat
    | SendObjects
    | RequestSlots
    | TransferSlots
    | ExitProcess
    | LogEvent
)
