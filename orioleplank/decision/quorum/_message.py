"""Messages that a proxy's decisions take."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from orioleplank.decision._position import ZERO_POSITION, Position
from orioleplank.decision.quorum._configuration import StoredObject, UpdateVerdict
from orioleplank.decision.quorum._group_view import Report
from orioleplank.decision.quorum._request import Request


@dataclass(frozen=True, slots=True, order=True)
class ConnectionId:
    """Names one connection of this proxy to an instance; numbers are never used twice."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # Ascending number.
    number: int


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request."""

    # Number of the caller's stream.
    caller: int
    # The request.
    request: Request


@dataclass(frozen=True, slots=True)
class CallerConnected:
    """A caller opened a stream."""

    # Number of the stream.
    caller: int


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller's stream ended."""

    # Number of the stream.
    caller: int


@dataclass(frozen=True, slots=True)
class InstanceReported:
    """An instance reported its state."""

    # Name of the service.
    service: str
    # The report.
    report: Report
    # The round it answers; 0 for a pushed report.
    round_number: int = 0


@dataclass(frozen=True, slots=True)
class InstanceUnreachable:
    """The control stream to an instance broke."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is ready."""

    # The connection.
    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """A connection failed to open, or ended."""

    # The connection.
    connection: ConnectionId


@unique
class StatementStatus(Enum):
    """How a statement ended."""

    DONE = "done"
    REPEATED = "repeated"
    STALE_TERM = "stale-term"
    NO_SLOT = "no-slot"
    LEAVING = "leaving"
    FAILED = "failed"
    TOMBSTONED = "tombstoned"


@dataclass(frozen=True, slots=True)
class StatementEnded:
    """An upstream answered a statement."""

    # The connection it came on.
    connection: ConnectionId
    # Number of the statement on that connection.
    statement: int
    # How it ended.
    status: StatementStatus
    # Position of its log entry, or the position its data shows.
    position: Position = ZERO_POSITION
    # What it returned, not read by the proxy.
    result: bytes = b""
    # One sentence on a failure.
    detail: str = ""


@unique
class LedgerState(Enum):
    """What a ledger holds under an id."""

    ABSENT = "absent"
    FOUND = "found"
    TOMBSTONED = "tombstoned"
    STALE_TERM = "stale-term"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class LedgerAnswered:
    """A primary answered a look-up or tombstone."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # Number of the question.
    query_number: int
    # What the ledger holds.
    state: LedgerState
    # Position of the ledger entry.
    position: Position = ZERO_POSITION
    # The first outcome, for FOUND.
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class SealAnswered:
    """An instance answered a seal."""

    # Name of the service.
    service: str
    # Term of the seal.
    term: int
    # True when it takes part in no lower term any more.
    granted: bool
    # Its state after the seal.
    report: Report


@dataclass(frozen=True, slots=True)
class PromoteAnswered:
    """An instance answered a promotion."""

    # Name of the service.
    service: str
    # Term of the promotion.
    term: int
    # True when it is the primary of that term.
    granted: bool
    # Its state after the promotion.
    report: Report


@dataclass(frozen=True, slots=True)
class ObjectsReceived:
    """The platform or a peer sent objects."""

    # Revision up to which the receiver is complete with them.
    revision: int
    # The objects.
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class UpdateEnded:
    """A conditional update of this proxy ended."""

    # Id of the change.
    change_id: str
    # What became of it; None while the platform cannot tell.
    verdict: UpdateVerdict | None


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM on the platform's lagging list."""

    # Name of the VM, which is the name of the proxy or instance on it.
    name: str
    # HOST:PORT for peers.
    address: str
    # Availability zone.
    zone: str
    # True when the platform is taking it away.
    leaving: bool = False
    # True for an entry VM of the system, False for an upstream VM.
    entry: bool = True


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's list of VMs was read."""

    # All VMs on it.
    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The last heartbeat that a peer has had from a proxy."""

    # Run of the proxy that sent it.
    incarnation: str
    # Number of the heartbeat.
    number: int


@dataclass(frozen=True, slots=True)
class SlotHolding:
    """What a proxy holds of a service's slots."""

    # Name of the service.
    service: str
    # Epoch of the allotment that it has given everything up for.
    released_epoch: int
    # Slots held or gained, over all instances.
    slots: int


@dataclass(frozen=True, slots=True)
class SlotsRequested:
    """Another proxy has statements waiting for a slot."""

    # Name of the other proxy.
    proxy: str
    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # Epoch of its allotment.
    epoch: int
    # How many it may take, at least 1.
    count: int


@dataclass(frozen=True, slots=True)
class SlotsReceived:
    """Another proxy handed slots over."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str
    # Epoch of the allotment they belong to.
    epoch: int
    # How many.
    count: int


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """Another proxy sent a heartbeat."""

    # Name of the proxy.
    proxy: str
    # Its run.
    incarnation: str
    # Revision up to which its configuration is complete.
    revision: int
    # Version of its newest object, which may be above that revision.
    newest_version: int = 0
    # True when it is stopping.
    stopping: bool = False
    # Services whose groups it cannot reach by majority.
    unreachable_services: tuple[str, ...] = ()
    # Services whose primary it cannot reach.
    headless_services: tuple[str, ...] = ()
    # Number of the heartbeat, ascending in a run.
    number: int = 0
    # What it has had from others.
    acks: tuple[HeartbeatAck, ...] = ()
    # What it holds.
    holdings: tuple[SlotHolding, ...] = ()


@dataclass(frozen=True, slots=True)
class StopRequested:
    """An operator or the platform asked for a graceful shutdown."""

    # Seconds after which new requests are refused.
    grace: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Message = (
    RequestArrived
    | CallerConnected
    | CallerDisconnected
    | InstanceReported
    | InstanceUnreachable
    | ConnectionOpened
    | ConnectionClosed
    | StatementEnded
    | LedgerAnswered
    | SealAnswered
    | PromoteAnswered
    | ObjectsReceived
    | UpdateEnded
    | VmsListed
    | HeartbeatReceived
    | SlotsRequested
    | SlotsReceived
    | StopRequested
    | Tick
)
