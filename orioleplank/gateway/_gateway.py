"""Builds a gateway's parts, and starts and stops them."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from traceback import format_exc
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank.decision.membership import PeerMessage, ProxyRecord, ViewVersions
from orioleplank.gateway._channels import CHANNEL_PORT_OFFSET, ChannelDialer, ChannelFactory
from orioleplank.gateway._clock import seconds_since_boot
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._failover import FailoverCoordinator
from orioleplank.gateway._failure_detector import PING_INTERVAL_S, FailureDetector
from orioleplank.gateway._fleet_membership import FleetMembership
from orioleplank.gateway._forwarding_client import ForwardingClient, OwnerChannel
from orioleplank.gateway._forwarding_server import ForwardingServer
from orioleplank.gateway._instance_connector import InstanceConnector
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._interfaces import Dialer, PromotionService, Store
from orioleplank.gateway._lease_release import LeaseReleaseCoordinator
from orioleplank.gateway._loopback_channel import LoopbackChannelDialer
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._platform_watcher import PlatformWatcher
from orioleplank.gateway._position_exchange import PositionExchange
from orioleplank.gateway._primary_monitor import PRIMARY_CHECK_INTERVAL_S, PrimaryMonitor
from orioleplank.gateway._session_table import SessionTable
from orioleplank.gateway._settings import GatewaySettings
from orioleplank.gateway._statements import StatementExecutor
from orioleplank.gateway._store_read_gate import StoreReadGate
from orioleplank.gateway._store_view import StoreView, ViewFetcher
from orioleplank.gateway._tunnel import TUNNEL_PORT_OFFSET, TunnelFactory
from orioleplank.gateway._view_publisher import ViewPublisher
from orioleplank.gateway._view_subscriber import VIEW_POLL_INTERVAL_S, ViewSubscriber
from orioleplank.kernel import Kernel, Service, Timer, TimerTick

# Time for the balancer to notice that no new sessions are wanted, in seconds: two of its questions
# and a little.
NOTICE_S = 2.3
# Share of the grace for which open transactions may go on.
TRANSACTION_SHARE = 0.5
# Share of the grace after which the process ends whatever is open.
END_SHARE = 0.9
# Pause between looks whether all sessions have ended, in seconds.
LEAVE_LOOK_S = 0.05
HOUSEKEEPING_S = 0.5
# Pause before a loop that failed is run again, in seconds.
LOOP_AGAIN_S = 1.0


@dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """What the gateway reaches outside the process."""

    # The platform's store.
    store: Store
    # Opens connections to instances.
    dialer: Dialer
    # Orders promotions.
    promotions: PromotionService
    # Fetches other proxies' views of the store.
    views: ViewFetcher
    # Opens channels to other proxies.
    channels: ChannelDialer


class Gateway(Service):
    """One proxy before the platform's databases."""

    def __init__(
        self,
        reactor: Any,
        settings: GatewaySettings,
        outside: GatewayDependencies,
        journal: EventLog,
        metrics: Metrics,
        lease_clock: Callable[[], float] = seconds_since_boot,
        random: Random | None = None,
    ) -> None:
        super().__init__("gateway")
        self._reactor = reactor
        self._settings = settings
        self._journal = journal
        self._random = random or Random()
        self._is_stopping = False
        self._was_ready = False
        # Closes the port for callers; called once when nobody is left.
        self.stop_accepting: Callable[[], object] = lambda: None
        self.metrics = metrics
        me = ProxyRecord(
            settings.name,
            f"{settings.name}-{uuid.uuid4().hex[:12]}",
            settings.peer_address,
            settings.zone,
        )
        self.forwarding_client = forwarding = ForwardingClient(
            settings.name, outside.channels, reactor.seconds
        )
        ways = InstanceConnector(me, outside.dialer, forwarding, reactor.seconds)
        self.cluster_state = ClusterState(
            reactor, ways, journal, lease_clock, settings.instance_drain_time
        )
        self.cluster_state.on_instance_problem = self._take_trouble
        gate = StoreReadGate(reactor)
        self._view = PlatformWatcher(
            reactor, outside.store, self.cluster_state, journal, self._random, gate
        )
        self._fleet_membership = FleetMembership(
            reactor,
            outside.store.records,
            self.cluster_state,
            journal,
            me,
            self._view.record_store_reachability,
            self._random,
            gate,
        )
        self._relay = ViewPublisher(self.cluster_state, self._fleet_membership, settings.name)
        self._view_subscriber = ViewSubscriber(
            self.cluster_state,
            self._fleet_membership,
            journal,
            me,
            self._random,
            outside.views,
            gate,
            self._view.record_store_reachability,
        )
        self._positions = PositionExchange(self.cluster_state, settings.name, self._random)
        self._inspection = InstanceProber(reactor, self.cluster_state, settings.name)
        self._liveness = FailureDetector(
            self.cluster_state,
            outside.store.records,
            journal,
            me,
            self._fleet_membership.proxy_revision,
            self._random,
        )
        self._releases = LeaseReleaseCoordinator(reactor, self.cluster_state, journal, me)
        self._moves = FailoverCoordinator(
            reactor,
            self.cluster_state,
            journal,
            outside.store.records,
            outside.promotions,
            self._inspection,
            self._releases,
            me,
        )
        self._watch = PrimaryMonitor(
            reactor, self.cluster_state, journal, self._inspection, self._moves, me
        )
        statements = StatementExecutor(self.cluster_state, reactor, settings.zone)
        self.forwarding_server = ForwardingServer(
            self.cluster_state, statements, self._inspection, journal
        )
        own = LoopbackChannelDialer(self.forwarding_server.accept)
        forwarding.loopback_channel = OwnerChannel(settings.peer_address, own, reactor.seconds)
        self.sessions = SessionTable(self.cluster_state, statements, journal, self.metrics)
        self._me = me

    @property
    def is_ready(self) -> bool:
        """True when new sessions are welcome."""
        if self._is_stopping:
            return False
        return self.cluster_state.routes.version > 0 and bool(
            self.cluster_state.directory.instances
        )

    @property
    def peer_address(self) -> str:
        """Return where other proxies reach this one, HOST:PORT."""
        return self._settings.peer_address

    @property
    def zone(self) -> str:
        """Return its availability zone."""
        return self._settings.zone

    def build_view(self, known: ViewVersions) -> StoreView:
        """Return what this proxy knows from the store beyond `known`."""
        return self._relay.build_view(known)

    # The kernel's side.

    def start(self) -> None:
        """Begin to follow the store and to watch primaries."""
        socket = PeerSocket(self._take_peer_message)
        host, _, port = self._settings.peer_address.rpartition(":")
        self._reactor.listenUDP(int(port), socket, interface=host)
        self._reactor.listenTCP(int(port), self._relay.build_site(), interface=host)
        tunnels = TunnelFactory(self._reactor, self._find_address)
        self._reactor.listenTCP(int(port) + TUNNEL_PORT_OFFSET, tunnels, interface=host)
        channels = ChannelFactory(self.forwarding_server.accept)
        self._reactor.listenTCP(int(port) + CHANNEL_PORT_OFFSET, channels, interface=host)
        host, _, port = self._settings.metrics_address.rpartition(":")
        self._reactor.listenTCP(int(port), self.metrics.build_site(), interface=host)
        for part in (
            self._inspection,
            self._releases,
            self._liveness,
            self._relay,
            self._view_subscriber,
            self._positions,
        ):
            part.socket = socket
        timer = self.kernel.get_service("timer")
        assert isinstance(timer, Timer)
        timer.subscribe(self, "look", PRIMARY_CHECK_INTERVAL_S)
        timer.subscribe(self, "housekeeping", HOUSEKEEPING_S)
        timer.subscribe(self, "ping", PING_INTERVAL_S)
        timer.subscribe(self, "feed", VIEW_POLL_INTERVAL_S)
        for loop in (
            self._fleet_membership.run,
            self._fleet_membership.renew_leases,
            self._view.route_watcher.run,
            self._view.instance_watcher.run,
            self._relay.publish_changes,
        ):
            self._run(self._keep_running(loop))
        self._journal.log_event(
            EventType.STARTED, incarnation=self._me.incarnation, zone=self._me.zone
        )

    def receive(self, message: object) -> None:
        """Let time pass."""
        match message:
            case TimerTick("look"):
                self._watch.check_primaries()
                self._note_ready()
            case TimerTick("ping") if not self._is_stopping:
                self._run(self._liveness.check_peers())
            case TimerTick("feed"):
                self._view_subscriber.poll_source()
                source = self._view_subscriber.source
                self._positions.request_positions(
                    (source,) if source else self._relay.subscribers()
                )
            case TimerTick("housekeeping"):
                self._view.expire_instances()
                self.cluster_state.close_unused_connections()
                if self._view.is_store_unreachable:
                    self._view_subscriber.fetch_from_any_peer()
                idle = self.cluster_state.routes.transaction_idle
                self.sessions.abort_idle_transactions(self.cluster_state.now(), idle)

    def _note_ready(self) -> None:
        if self.is_ready and not self._was_ready:
            self._was_ready = True
            self._journal.log_event(EventType.READY, routes=self.cluster_state.routes.version)

    def _find_address(self, instance: str) -> str | None:
        entry = self.cluster_state.directory.entry(instance)
        return entry.address if entry else None

    def _take_trouble(self, instance: str) -> None:
        self.kernel.call_soon(self._watch.check_primaries)

    def _take_peer_message(self, message: PeerMessage) -> None:
        self._inspection.handle_message(message)
        self._releases.handle_message(message)
        self._liveness.handle_message(message)
        self._relay.handle_message(message)
        self._view_subscriber.handle_message(message)
        self._positions.handle_message(message)

    async def _keep_running(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop to its end; after a fault of this program run it again."""
        while not self._is_stopping:
            try:
                await loop()
                return
            except Exception:
                self._journal.log_event(
                    EventType.ERROR, step=loop.__qualname__, detail=format_exc()
                )
                await sleep(self._reactor, LOOP_AGAIN_S)

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        Deferred.fromCoroutine(work).addErrback(self._fail)

    def _fail(self, failure: Any) -> None:
        self._journal.log_event(EventType.ERROR, step="run", detail=failure.getTraceback())

    # The end.

    @property
    def _is_working(self) -> bool:
        """True while callers, or proxies for which this one holds connections, need it."""
        return bool(len(self.sessions) or self.forwarding_server.in_flight)

    async def _let_work_end(self, began: float) -> None:
        """Return once nothing is in progress, or at the end of the grace that began at `began`."""
        grace = self._settings.shutdown_grace
        while self._is_working and self.cluster_state.now() < began + grace * END_SHARE:
            if self.cluster_state.now() >= began + grace * TRANSACTION_SHARE:
                self.sessions.abort_transactions()
            await sleep(self._reactor, LEAVE_LOOK_S)

    async def shut_down(self) -> None:
        """Stop gracefully: answer what runs, close what rests, and end within the grace."""
        if self._is_stopping:
            return
        self._is_stopping = True
        began = self.cluster_state.now()
        grace = self._settings.shutdown_grace
        self._journal.log_event(EventType.STOPPING, sessions=len(self.sessions), grace=grace)
        self._moves.is_stopped = True
        self._run(self._fleet_membership.mark_stopping())
        await sleep(self._reactor, min(NOTICE_S, grace * TRANSACTION_SHARE))
        self.sessions.close_when_idle()
        await self._let_work_end(began)
        self.stop_accepting()
        # Whoever came just before is served too.
        await self._let_work_end(began)
        self._journal.log_event(EventType.STOPPED, sessions=len(self.sessions))
        remove = Deferred.fromCoroutine(self._fleet_membership.deregister())
        await remove.addTimeout(0.3, self._reactor, onTimeoutCancel=lambda *_: None)


def build_kernel(reactor: Any, gateway: Gateway, journal: EventLog) -> Kernel:
    """Return a kernel with a timer and the gateway."""

    def report(service: str, message: object, error: Exception) -> None:
        journal.log_event(
            EventType.ERROR, step=f"{service} {type(message).__name__}", detail=repr(error)
        )

    kernel = Kernel(reactor, report)
    kernel.add(Timer())
    kernel.add(gateway)
    return kernel
