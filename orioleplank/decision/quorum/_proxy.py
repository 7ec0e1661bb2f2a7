"""All decisions of one proxy behind one method, free of I/O."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from orioleplank.decision.quorum._configuration import Configuration
from orioleplank.decision.quorum._connection_pool import ConnectionPool
from orioleplank.decision.quorum._effect import Effect, Event, ExitProcess, SendReconnect
from orioleplank.decision.quorum._failover_manager import FailoverManager
from orioleplank.decision.quorum._group_monitor import GroupMonitor
from orioleplank.decision.quorum._group_view import GroupView
from orioleplank.decision.quorum._membership import Membership
from orioleplank.decision.quorum._message import (
    CallerConnected,
    CallerDisconnected,
    ConnectionClosed,
    ConnectionOpened,
    HeartbeatReceived,
    InstanceReported,
    InstanceUnreachable,
    LedgerAnswered,
    Message,
    ObjectsReceived,
    PromoteAnswered,
    RequestArrived,
    SealAnswered,
    SlotsReceived,
    SlotsRequested,
    StatementEnded,
    StopRequested,
    Tick,
    UpdateEnded,
    VmsListed,
)
from orioleplank.decision.quorum._peer_manager import PeerManager
from orioleplank.decision.quorum._proxy_state import ProxyIdentity, ProxyState
from orioleplank.decision.quorum._request_manager import RequestManager
from orioleplank.decision.quorum._safeguards import ALL_SAFEGUARDS, Safeguard, Safeguards
from orioleplank.decision.quorum._shutdown import Shutdown
from orioleplank.decision.quorum._slot_manager import SlotManager


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """What a proxy knows of one service."""

    # Its group.
    view: GroupView
    # Connections by instance.
    pools: dict[str, ConnectionPool]
    # Requests that wait.
    queued: int


@dataclass(frozen=True, slots=True)
class ProxyStatus:
    """What a proxy knows, for people."""

    # Who it is.
    identity: ProxyIdentity
    # The configuration in force.
    configuration: Configuration
    # Proxies that are alive, this one included.
    alive_proxies: tuple[str, ...]
    # Services by name.
    services: dict[str, ServiceStatus]
    # True when the balancer should send new callers.
    ready: bool
    # True while a request or a transaction is in progress.
    busy: bool


class Proxy:
    """The decisions of one proxy.

    Messages go in through `handle`, which returns what is to be done. There is no other way in:
    no clock, socket or thread. Whoever drives it sends `Tick` about every 20 ms.
    """

    def __init__(self, identity: ProxyIdentity, mechanisms: Safeguards = ALL_SAFEGUARDS) -> None:
        membership = Membership(identity.name, identity.incarnation)
        self._node = ProxyState(identity, membership, mechanisms, random=Random(identity.seed))
        self._groups = GroupMonitor(self._node)
        self._allotments = SlotManager(self._node)
        self._requests = RequestManager(self._node, self._allotments)
        self._keepers = FailoverManager(self._node, self._allotments)
        self._peers = PeerManager(self._node)
        self._stop = Shutdown()
        self._callers: set[int] = set()
        self._was_ready = False

    def handle(self, message: Message, now: float, wall: float = 0.0) -> tuple[Effect, ...]:
        """Take a message at `now`, in seconds of a monotonic clock; return what is to be done.

        `wall`, in seconds since the epoch, only dates the changes this proxy makes.
        """
        self._node.now = now
        self._node.wall_time = wall
        self._take(message)
        self._groups.send_requested_rounds()
        self._allotments.request_needed_slots()
        effects = tuple(self._node.effects)
        self._node.effects.clear()
        return effects

    @property
    def is_ready(self) -> bool:
        """True when the balancer should send new callers."""
        if not self._stop.is_ready or self._node.configuration.revision == 0:
            return False
        return not self._requests.is_redirecting

    @property
    def is_busy(self) -> bool:
        """True while a request or a transaction is in progress."""
        return self._requests.is_busy

    def status(self) -> ProxyStatus:
        """Return what the proxy knows, for people."""
        node = self._node
        services = {
            name: ServiceStatus(
                node.group_views[name], dict(node.pools[name]), self._requests.queue_length(name)
            )
            for name in node.configuration.service_names()
        }
        return ProxyStatus(
            node.identity,
            node.configuration,
            node.membership.alive_proxies(node.now),
            services,
            self.is_ready,
            self.is_busy,
        )

    def _take(self, message: Message) -> None:
        match message:
            case RequestArrived():
                self._stop.record_activity()
                self._requests.handle_request(message, self._stop.accepts_requests)
            case CallerConnected(caller):
                self._take_caller(caller)
            case CallerDisconnected(caller):
                self._callers.discard(caller)
                self._requests.handle_caller_disconnected(caller)
            case InstanceReported():
                self._groups.handle_report(message)
                self._take_news(message.service)
            case InstanceUnreachable():
                self._groups.handle_instance_unreachable(message)
            case ConnectionOpened():
                self._requests.handle_connection_opened(message)
            case ConnectionClosed():
                self._requests.handle_connection_closed(message)
            case StatementEnded():
                self._requests.handle_statement_ended(message)
            case LedgerAnswered():
                self._requests.handle_ledger_answer(message)
            case SealAnswered() | PromoteAnswered():
                self._keepers.handle_answer(message)
                self._take_promotion(message)
            case ObjectsReceived():
                self._take_objects(message)
            case UpdateEnded():
                self._keepers.handle_update_ended(message)
            case VmsListed():
                self._peers.handle_vm_list(message)
            case HeartbeatReceived():
                self._peers.handle_heartbeat(message)
            case SlotsRequested():
                self._allotments.handle_slot_request(message)
            case SlotsReceived():
                self._allotments.handle_slots_received(message)
                self._take_news(message.service)
            case StopRequested(grace):
                self._request_stop(grace)
            case Tick():
                self._pass_time()

    def _take_caller(self, caller: int) -> None:
        self._callers.add(caller)
        if not self._stop.is_ready:
            self._node.emit(SendReconnect(caller))

    def _take_news(self, service: str) -> None:
        if service in self._node.group_views:
            self._requests.recheck_service(service)

    def _take_promotion(self, message: SealAnswered | PromoteAnswered) -> None:
        """An answer to a seal or promotion is a report too."""
        self._groups.handle_report(InstanceReported(message.service, message.report))
        self._take_news(message.service)

    def _take_objects(self, message: ObjectsReceived) -> None:
        if not self._peers.apply_objects(message):
            return
        self._groups.apply_configuration()
        self._allotments.apply_configuration()
        if self.is_ready and not self._was_ready:
            self._was_ready = True
            self._node.log_event(Event.READY, "take objects")

    def _request_stop(self, grace: float) -> None:
        if self._stop.is_ready:
            self._node.log_event(Event.STOPPING, "stop", detail=f"grace {grace:.1f} s")
        patient = self._node.safeguards.is_enabled(Safeguard.GRACE)
        self._stop.start_shutdown(self._node.now, grace if patient else 0.0)
        self._requests.ask_callers_to_reconnect()
        for caller in sorted(self._callers):
            self._node.emit(SendReconnect(caller))

    def _pass_time(self) -> None:
        node = self._node
        headless = self._groups.headless_services()
        unreachable = self._groups.unreachable_services()
        holdings = self._allotments.holdings()
        self._peers.tick(not self._stop.is_ready, unreachable, headless, holdings)
        self._allotments.tick()
        self._requests.redirect_callers(headless + self._allotments.services_without_slots())
        self._groups.tick()
        self._keepers.tick()
        self._requests.tick()
        waits = self._requests.is_busy or (self._stop.accepts_requests and bool(self._callers))
        busy = waits and node.safeguards.is_enabled(Safeguard.GRACE)
        self._stop.tick(node.now, busy)
        if self._stop.is_ended:
            node.log_event(Event.STOPPED, "stop")
            node.emit(ExitProcess())
