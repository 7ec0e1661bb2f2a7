"""Entry point to the decision logic of one proxy. Performs no I/O."""

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
    """State of one service, as seen by a proxy."""

    view: GroupView
    # Connections by instance.
    pools: dict[str, ConnectionPool]
    # Number of queued requests.
    queued: int


@dataclass(frozen=True, slots=True)
class ProxyStatus:
    """Snapshot of the state of a proxy, for operators."""

    identity: ProxyIdentity
    configuration: Configuration
    # Names of the proxies that are alive, including this one.
    alive_proxies: tuple[str, ...]
    # Services by name.
    services: dict[str, ServiceStatus]
    # True when the load balancer may route new callers to this proxy.
    ready: bool
    # True while a request or a transaction is in progress.
    busy: bool


class Proxy:
    """The decision logic of one proxy.

    Messages are passed to `handle`, which returns the effects to carry out. This is the only
    input: the class uses no clock, socket or thread. The process that runs it sends a `Tick`
    about every 20 ms.
    """

    def __init__(self, identity: ProxyIdentity, safeguards: Safeguards = ALL_SAFEGUARDS) -> None:
        membership = Membership(identity.name, identity.incarnation)
        self._proxy_state = ProxyState(
            identity, membership, safeguards, random=Random(identity.seed)
        )
        self._group_monitor = GroupMonitor(self._proxy_state)
        self._slot_manager = SlotManager(self._proxy_state)
        self._request_manager = RequestManager(self._proxy_state, self._slot_manager)
        self._failover_manager = FailoverManager(self._proxy_state, self._slot_manager)
        self._peer_manager = PeerManager(self._proxy_state)
        self._shutdown = Shutdown()
        self._callers: set[int] = set()
        self._was_ready = False

    def handle(self, message: Message, now: float, wall: float = 0.0) -> tuple[Effect, ...]:
        """Process a message and return the effects to carry out, in order.

        `now` is the time of a monotonic clock, in seconds. `wall`, in seconds since the epoch, is
        used only to date the changes that this proxy writes.
        """
        self._proxy_state.now = now
        self._proxy_state.wall_time = wall
        self._handle_message(message)
        self._group_monitor.send_requested_rounds()
        self._slot_manager.request_needed_slots()
        effects = tuple(self._proxy_state.effects)
        self._proxy_state.effects.clear()
        return effects

    @property
    def is_ready(self) -> bool:
        """True when the load balancer may route new callers to this proxy.

        False before the first configuration arrives, during shutdown, and while callers of a
        service are redirected to another proxy.
        """
        if not self._shutdown.is_ready or self._proxy_state.configuration.revision == 0:
            return False
        return not self._request_manager.is_redirecting

    @property
    def is_busy(self) -> bool:
        """True while a request or a transaction is in progress."""
        return self._request_manager.is_busy

    def status(self) -> ProxyStatus:
        """Return a snapshot of the state of the proxy, for operators."""
        proxy_state = self._proxy_state
        services = {
            name: ServiceStatus(
                proxy_state.group_views[name],
                dict(proxy_state.pools[name]),
                self._request_manager.queue_length(name),
            )
            for name in proxy_state.configuration.service_names()
        }
        return ProxyStatus(
            proxy_state.identity,
            proxy_state.configuration,
            proxy_state.membership.alive_proxies(proxy_state.now),
            services,
            self.is_ready,
            self.is_busy,
        )

    def _handle_message(self, message: Message) -> None:
        match message:
            case RequestArrived():
                self._shutdown.record_activity()
                self._request_manager.handle_request(message, self._shutdown.accepts_requests)
            case CallerConnected(caller):
                self._handle_caller_connected(caller)
            case CallerDisconnected(caller):
                self._callers.discard(caller)
                self._request_manager.handle_caller_disconnected(caller)
            case InstanceReported():
                self._group_monitor.handle_report(message)
                self._recheck_service(message.service)
            case InstanceUnreachable():
                self._group_monitor.handle_instance_unreachable(message)
            case ConnectionOpened():
                self._request_manager.handle_connection_opened(message)
            case ConnectionClosed():
                self._request_manager.handle_connection_closed(message)
            case StatementEnded():
                self._request_manager.handle_statement_ended(message)
            case LedgerAnswered():
                self._request_manager.handle_ledger_answer(message)
            case SealAnswered() | PromoteAnswered():
                self._failover_manager.handle_answer(message)
                self._apply_attached_report(message)
            case ObjectsReceived():
                self._apply_objects(message)
            case UpdateEnded():
                self._failover_manager.handle_update_ended(message)
            case VmsListed():
                self._peer_manager.handle_vm_list(message)
            case HeartbeatReceived():
                self._peer_manager.handle_heartbeat(message)
            case SlotsRequested():
                self._slot_manager.handle_slot_request(message)
            case SlotsReceived():
                self._slot_manager.handle_slots_received(message)
                self._recheck_service(message.service)
            case StopRequested(grace):
                self._request_stop(grace)
            case Tick():
                self._handle_tick()

    def _handle_caller_connected(self, caller: int) -> None:
        self._callers.add(caller)
        if not self._shutdown.is_ready:
            self._proxy_state.emit(SendReconnect(caller))

    def _recheck_service(self, service: str) -> None:
        if service in self._proxy_state.group_views:
            self._request_manager.recheck_service(service)

    def _apply_attached_report(self, message: SealAnswered | PromoteAnswered) -> None:
        """Process the instance report that comes with the answer to a seal or promotion."""
        self._group_monitor.handle_report(InstanceReported(message.service, message.report))
        self._recheck_service(message.service)

    def _apply_objects(self, message: ObjectsReceived) -> None:
        if not self._peer_manager.apply_objects(message):
            return
        self._group_monitor.apply_configuration()
        self._slot_manager.apply_configuration()
        if self.is_ready and not self._was_ready:
            self._was_ready = True
            self._proxy_state.log_event(Event.READY, "take objects")

    def _request_stop(self, grace: float) -> None:
        if self._shutdown.is_ready:
            self._proxy_state.log_event(Event.STOPPING, "stop", detail=f"grace {grace:.1f} s")
        grace_enabled = self._proxy_state.safeguards.is_enabled(Safeguard.GRACE)
        self._shutdown.start_shutdown(self._proxy_state.now, grace if grace_enabled else 0.0)
        self._request_manager.ask_callers_to_reconnect()
        for caller in sorted(self._callers):
            self._proxy_state.emit(SendReconnect(caller))

    def _handle_tick(self) -> None:
        proxy_state = self._proxy_state
        headless = self._group_monitor.headless_services()
        unreachable = self._group_monitor.unreachable_services()
        holdings = self._slot_manager.holdings()
        self._peer_manager.tick(not self._shutdown.is_ready, unreachable, headless, holdings)
        self._slot_manager.tick()
        self._request_manager.redirect_callers(
            headless + self._slot_manager.services_without_slots()
        )
        self._group_monitor.tick()
        self._failover_manager.tick()
        self._request_manager.tick()
        has_work = self._request_manager.is_busy or (
            self._shutdown.accepts_requests and bool(self._callers)
        )
        busy = has_work and proxy_state.safeguards.is_enabled(Safeguard.GRACE)
        self._shutdown.tick(proxy_state.now, busy)
        if self._shutdown.is_ended:
            proxy_state.log_event(Event.STOPPED, "stop")
            proxy_state.emit(ExitProcess())
