"""Messages: the inputs of a proxy's decision logic."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from orioleplank.decision._position import ZERO_POSITION, Position
from orioleplank.decision.quorum._configuration import StoredObject, UpdateVerdict
from orioleplank.decision.quorum._group_view import Report
from orioleplank.decision.quorum._request import Request


@dataclass(frozen=True, slots=True, order=True)
class ConnectionId:
    """Identifies one connection of this proxy to an instance; numbers are never reused."""

    service: str
    instance: str
    number: int


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request."""

    # Number of the caller's stream.
    caller: int
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

    service: str
    report: Report
    # Number of the probe round that it answers; 0 for an unsolicited report.
    round_number: int = 0


@dataclass(frozen=True, slots=True)
class InstanceUnreachable:
    """The control stream to an instance was lost."""

    service: str
    instance: str


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection is ready."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """A connection could not be opened, or was closed."""

    connection: ConnectionId


@unique
class StatementStatus(Enum):
    """Result of a statement."""

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

    connection: ConnectionId
    # Number of the statement on that connection.
    statement: int
    status: StatementStatus
    # Log position of a write's entry, or the position up to which a read reflects the log.
    position: Position = ZERO_POSITION
    # Result data, opaque to the proxy.
    result: bytes = b""
    # One sentence about a failure; empty for none.
    detail: str = ""


@unique
class LedgerState(Enum):
    """State of a request id in the ledger, or the reason why it is unknown."""

    ABSENT = "absent"
    FOUND = "found"
    TOMBSTONED = "tombstoned"
    STALE_TERM = "stale-term"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class LedgerAnswered:
    """An instance answered a ledger query."""

    service: str
    instance: str
    # Number of the query.
    query_number: int
    state: LedgerState
    # Log position of the ledger entry.
    position: Position = ZERO_POSITION
    # Result of the first execution, for `FOUND`.
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class SealAnswered:
    """An instance answered a seal."""

    service: str
    # Term of the seal.
    term: int
    # True when the instance no longer participates in lower terms.
    granted: bool
    # State of the instance after the seal.
    report: Report


@dataclass(frozen=True, slots=True)
class PromoteAnswered:
    """An instance answered a promotion."""

    service: str
    # Term of the promotion.
    term: int
    # True when the instance is the primary of that term.
    granted: bool
    # State of the instance after the promotion.
    report: Report


@dataclass(frozen=True, slots=True)
class ObjectsReceived:
    """The platform or a peer sent configuration objects."""

    # Revision up to which this proxy's configuration is complete once they are merged.
    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class UpdateEnded:
    """A conditional update of this proxy ended."""

    # Id of the change.
    change_id: str
    # Result; None when it could not be determined.
    verdict: UpdateVerdict | None


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM on the platform's list, which may be out of date."""

    # Name of the VM, which is also the name of the proxy or instance on it.
    name: str
    # HOST:PORT for connections from other proxies.
    address: str
    zone: str
    # True when the platform is about to remove the VM.
    leaving: bool = False
    # True for the VM of a proxy, False for that of an upstream instance.
    entry: bool = True


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform's list of VMs was read."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Acknowledges the last heartbeat received from a proxy."""

    # Incarnation of the proxy that sent the heartbeat.
    incarnation: str
    # Number of the heartbeat.
    number: int


@dataclass(frozen=True, slots=True)
class SlotHolding:
    """Slots of a service that a proxy holds."""

    service: str
    # Last epoch for which the proxy has released everything that the epoch takes from it.
    released_epoch: int
    # Slots held or pending, over all instances.
    slots: int


@dataclass(frozen=True, slots=True)
class SlotsRequested:
    """Another proxy requests slots because it has statements waiting for one."""

    # Name of the other proxy.
    proxy: str
    service: str
    instance: str
    # Epoch of the allotment on the other proxy.
    epoch: int
    # Maximum number of slots that it can take, at least 1.
    count: int


@dataclass(frozen=True, slots=True)
class SlotsReceived:
    """Another proxy transferred slots to this one."""

    service: str
    instance: str
    # Epoch of the allotment to which the slots belong.
    epoch: int
    count: int


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """Another proxy sent a heartbeat; the fields describe that proxy."""

    proxy: str
    incarnation: str
    # Revision up to which its configuration is complete.
    revision: int
    # Version of its newest object, which may be higher than `revision`.
    newest_version: int = 0
    # True when it is stopping.
    stopping: bool = False
    # Services of which it cannot reach a majority of the instances.
    unreachable_services: tuple[str, ...] = ()
    # Services whose primary it cannot reach, or that have no confirmed primary.
    headless_services: tuple[str, ...] = ()
    # Number of the heartbeat, ascending within an incarnation.
    number: int = 0
    # Last heartbeats that it has received from its peers.
    acks: tuple[HeartbeatAck, ...] = ()
    # Slots that it holds, for each service.
    holdings: tuple[SlotHolding, ...] = ()


@dataclass(frozen=True, slots=True)
class StopRequested:
    """An operator or the platform requested a graceful shutdown."""

    # Seconds after which new requests are refused.
    grace: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Sent at regular intervals so that timers can expire."""


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
