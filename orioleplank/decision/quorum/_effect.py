"""Effects: the actions that a proxy's decision logic requests from the code that does I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from orioleplank.decision.quorum._configuration import StoredObject
from orioleplank.decision.quorum._message import ConnectionId, HeartbeatAck, SlotHolding
from orioleplank.decision.quorum._request import Outcome, Request
from orioleplank.decision.quorum._specs import ChangeMetadata, ObjectKey, Spec


@dataclass(frozen=True, slots=True)
class Reply:
    """Answers a request of a caller; emitted exactly once for each request."""

    # Number of the caller's stream.
    caller: int
    request: Request
    outcome: Outcome
    # True when the caller should open its next stream to another proxy.
    should_reconnect: bool
    # Seconds from the arrival of the request to the reply.
    elapsed: float
    # Statements sent upstream for the request.
    attempts: int
    # False when the request does not name a configured service and kind. Metrics then do not use
    # its names as labels.
    has_known_kind: bool = True


@dataclass(frozen=True, slots=True)
class SendReconnect:
    """Requests a caller to open its next stream to another proxy and to end this one."""

    # Number of the caller's stream.
    caller: int


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Opens a connection; answered by `ConnectionOpened` or `ConnectionClosed`."""

    connection: ConnectionId
    # HOST:PORT of the instance.
    address: str


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Closes a connection; data that arrives on it later is discarded."""

    connection: ConnectionId


@unique
class Boundary(Enum):
    """Position of a statement in a transaction; `AUTO` is a statement outside of one."""

    AUTO = "auto"
    BEGIN = "begin"
    STEP = "step"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclass(frozen=True, slots=True)
class SendStatement:
    """Sends a statement; answered by `StatementEnded` or `ConnectionClosed`."""

    connection: ConnectionId
    # Number of the statement on that connection.
    statement: int
    # Term in which the instance must be the primary; 0 for a read that any role may serve.
    term: int
    # Request id for the ledger; empty for none.
    ledger_id: str
    # Queries to run.
    payload: bytes
    # True when it may change data.
    write: bool
    boundary: Boundary


@dataclass(frozen=True, slots=True)
class OpenControlStream:
    """Opens the control stream to an instance and reconnects it until it is closed."""

    service: str
    instance: str
    # HOST:PORT of the instance.
    address: str


@dataclass(frozen=True, slots=True)
class CloseControlStream:
    """Closes the control stream to an instance for good."""

    service: str
    instance: str


@dataclass(frozen=True, slots=True)
class ProbeInstance:
    """Requests a report from an instance; answered by `InstanceReported`, or not at all."""

    service: str
    instance: str
    round_number: int


@dataclass(frozen=True, slots=True)
class QueryLedger:
    """Looks up a request id in the ledger and optionally tombstones it.

    Answered by `LedgerAnswered`.
    """

    service: str
    instance: str
    # Number that the answer repeats.
    query_number: int
    ledger_id: str
    # Term in which the instance must be the primary.
    term: int
    # True to write a tombstone if the id is absent.
    tombstone: bool


@dataclass(frozen=True, slots=True)
class SendSeal:
    """Seals an instance at a new term; answered by `SealAnswered`, or not at all."""

    service: str
    instance: str
    term: int


@dataclass(frozen=True, slots=True)
class SendPromote:
    """Promotes an instance; answered by `PromoteAnswered`, or not at all."""

    service: str
    instance: str
    # Term at which the instance was sealed.
    term: int


@dataclass(frozen=True, slots=True)
class SendFollow:
    """Makes an instance a replica of a primary."""

    service: str
    instance: str
    term: int
    # Name of the primary.
    primary: str
    # HOST:PORT of the primary.
    address: str


@dataclass(frozen=True, slots=True)
class UpdateObject:
    """Updates a platform object conditionally; answered by `UpdateEnded`."""

    key: ObjectKey
    # Version that the object must have; 0 if it must not exist.
    version: int
    change: ChangeMetadata
    spec: Spec


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Sends a heartbeat to all peers."""

    # Revision up to which this proxy's configuration is complete.
    revision: int
    # Version of the newest object.
    newest_version: int
    # True when this proxy is stopping.
    stopping: bool
    # Services of which this proxy cannot reach a majority of the instances.
    unreachable_services: tuple[str, ...]
    # Services whose primary this proxy cannot reach, or that have no confirmed primary.
    headless_services: tuple[str, ...]
    # Ascending within an incarnation.
    number: int
    # Last heartbeats received from the peers.
    acks: tuple[HeartbeatAck, ...]
    # Slots held by this proxy, for each service.
    holdings: tuple[SlotHolding, ...]


@dataclass(frozen=True, slots=True)
class RequestSlots:
    """Requests slots from another proxy."""

    # Name of the other proxy.
    proxy: str
    service: str
    instance: str
    # Epoch of the allotment.
    epoch: int
    # Maximum number of slots wanted.
    count: int


@dataclass(frozen=True, slots=True)
class TransferSlots:
    """Transfers slots to another proxy; this proxy has already deducted them."""

    # Name of the other proxy.
    proxy: str
    service: str
    instance: str
    # Epoch of the allotment.
    epoch: int
    count: int


@dataclass(frozen=True, slots=True)
class SendObjects:
    """Sends configuration objects to a peer whose configuration is older."""

    # Name of the peer.
    proxy: str
    # Revision up to which the peer's configuration is complete once it has merged the objects.
    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """Ends the process; emitted when shutdown is complete."""


@unique
class Event(Enum):
    """Numbered log events, described in docs/EVENTS.md."""

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
    """Logs a numbered event and counts it in the metrics."""

    event: Event
    step: str
    # Instance, proxy or service concerned; empty for none.
    peer: str = ""
    # One sentence for operators; empty for none.
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
