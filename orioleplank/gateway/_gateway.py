"""The gateway service: builds the components of a proxy, starts them and shuts them down."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Coroutine
from random import Random
from traceback import format_exc
from typing import Any

from msgspec import Struct
from twisted.internet.defer import Deferred, DeferredLock

from orioleplank.decision.membership import PeerMessage, ProxyRecord, ViewVersions
from orioleplank.gateway._channels import CHANNEL_PORT_OFFSET, ChannelDialer, ChannelFactory
from orioleplank.gateway._clock import seconds_since_boot
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._failover import FailoverCoordinator
from orioleplank.gateway._failure_detector import PING_INTERVAL_S, FailureDetector
from orioleplank.gateway._fleet_membership import FleetMembership
from orioleplank.gateway._forwarding_client import ForwardingClient
from orioleplank.gateway._forwarding_server import ForwardingServer
from orioleplank.gateway._instance_connector import InstanceConnector
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._intake import Intake, LimitSide
from orioleplank.gateway._interfaces import Dialer, PromotionService, Store
from orioleplank.gateway._lease_release import LeaseReleaseCoordinator
from orioleplank.gateway._limit_reports import LimitReports
from orioleplank.gateway._loopback_channel import LoopbackChannelDialer
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._owner_channel import OwnerChannel
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._placement_view import PlacementView
from orioleplank.gateway._platform_watcher import PlatformWatcher
from orioleplank.gateway._position_exchange import PositionExchange
from orioleplank.gateway._primary_monitor import PRIMARY_CHECK_INTERVAL_S, PrimaryMonitor
from orioleplank.gateway._rate_limiter import RateLimiter
from orioleplank.gateway._route_reports import RouteReports
from orioleplank.gateway._session_table import SessionTable
from orioleplank.gateway._settings import GatewaySettings
from orioleplank.gateway._shutdown import GracefulShutdown
from orioleplank.gateway._statements import StatementExecutor
from orioleplank.gateway._store_read_gate import StoreReadGate
from orioleplank.gateway._store_view import StoreView, ViewFetcher
from orioleplank.gateway._tunnel import TUNNEL_PORT_OFFSET, TunnelFactory
from orioleplank.gateway._view_publisher import ViewPublisher
from orioleplank.gateway._view_subscriber import VIEW_POLL_INTERVAL_S, ViewSubscriber
from orioleplank.kernel import Kernel, Service, Timer, TimerTick

HOUSEKEEPING_INTERVAL_S = 0.5
# Pause before a background loop that raised an exception is restarted.
LOOP_RESTART_DELAY_S = 1.0


class GatewayDependencies(Struct, frozen=True):
    """The interfaces through which the proxy reaches systems outside its process."""

    store: Store
    dialer: Dialer
    promotions: PromotionService
    # Fetches other proxies' views of the store.
    views: ViewFetcher
    # Opens channels to other proxies.
    channels: ChannelDialer


class Gateway(Service):
    """The service that runs one proxy: it owns the components and passes timer ticks to them.

    Other proxies reach it at its peer address: messages by UDP, views by HTTP on the same port,
    tunnels and channels on ports at a fixed offset from it.
    """

    def __init__(
        self,
        reactor: Any,
        settings: GatewaySettings,
        dependencies: GatewayDependencies,
        event_log: EventLog,
        metrics: Metrics,
        lease_clock: Callable[[], float] = seconds_since_boot,
        random: Random | None = None,
        intake: Intake | None = None,
    ) -> None:
        super().__init__("gateway")
        self._reactor = reactor
        self._settings = settings
        self._event_log = event_log
        self._random = random or Random()
        self._is_stopping = False
        # Held until the shutdown has ended.
        self._shutdown_lock = DeferredLock()
        self._was_ready = False
        # Closes the listening port for callers; called once during shutdown, after work has ended.
        self.stop_accepting: Callable[[], object] = lambda: None
        self.metrics = metrics
        self.intake = intake or Intake(
            settings.caller_limits, metrics.limits.increment, event_log.log_limit
        )
        own_record = ProxyRecord(
            settings.name,
            f"{settings.name}-{uuid.uuid4().hex[:12]}",
            settings.peer_address,
            settings.zone,
            link_mbps=settings.link_mbps,
        )
        self.forwarding_client = forwarding = ForwardingClient(
            settings.name, dependencies.channels, reactor.seconds
        )
        # A random generator of its own, so that the choices of instances and owners do not change
        # the random times of periodic work; it differs by proxy.
        placement_random = Random(settings.name)
        connector = InstanceConnector(
            own_record,
            dependencies.dialer,
            forwarding,
            reactor.seconds,
            settings.mechanisms,
            placement_random,
        )
        self.cluster_state = ClusterState(
            reactor,
            connector,
            event_log,
            lease_clock,
            settings.instance_drain_time,
            settings.mechanisms,
        )
        self.cluster_state.on_instance_problem = self._handle_instance_problem
        gate = StoreReadGate(reactor)
        self._platform_watcher = PlatformWatcher(
            reactor, dependencies.store, self.cluster_state, event_log, self._random, gate
        )
        self._fleet_membership = FleetMembership(
            reactor,
            dependencies.store.records,
            self.cluster_state,
            event_log,
            own_record,
            self._platform_watcher.record_store_reachability,
            self._random,
            gate,
        )
        self._view_publisher = ViewPublisher(self.cluster_state, self._fleet_membership, own_record)
        self._view_subscriber = ViewSubscriber(
            self.cluster_state,
            self._fleet_membership,
            event_log,
            own_record,
            self._random,
            dependencies.views,
            gate,
            self._platform_watcher.record_store_reachability,
        )
        self._position_exchange = PositionExchange(self.cluster_state, settings.name, self._random)
        self._prober = InstanceProber(reactor, self.cluster_state, settings.name)
        self._failure_detector = FailureDetector(
            self.cluster_state,
            dependencies.store.records,
            event_log,
            own_record,
            self._fleet_membership.proxy_revision,
            self._random,
        )
        self._lease_releases = LeaseReleaseCoordinator(
            reactor, self.cluster_state, event_log, own_record
        )
        self._failovers = FailoverCoordinator(
            reactor,
            self.cluster_state,
            event_log,
            dependencies.store.records,
            dependencies.promotions,
            self._prober,
            self._lease_releases,
            own_record,
        )
        self._primary_monitor = PrimaryMonitor(
            reactor, self.cluster_state, event_log, self._prober, self._failovers, own_record
        )
        statements = StatementExecutor(self.cluster_state, reactor, settings.zone, placement_random)
        statements.reads.on_wait_ended = self.metrics.replica_waits.increment
        self.forwarding_server = ForwardingServer(
            self.cluster_state, statements, self._prober, event_log
        )
        loopback_dialer = LoopbackChannelDialer(self.forwarding_server.accept)
        forwarding.loopback_channel = OwnerChannel(
            settings.peer_address, loopback_dialer, reactor.seconds
        )
        self._limit_reports = LimitReports(self.cluster_state, event_log, self.metrics)
        self._route_reports = RouteReports(self.cluster_state, event_log, self.metrics)
        self._rate_limiter = RateLimiter(reactor, self.cluster_state, own_record, metrics)
        self.placement_view = PlacementView(
            settings.name, statements, connector, self._rate_limiter
        )
        self.sessions = SessionTable(
            self.cluster_state,
            statements,
            event_log,
            self.metrics,
            self._rate_limiter,
            self.intake,
        )
        self._shutdown = GracefulShutdown(
            reactor, self.cluster_state, self.sessions, self.forwarding_server
        )
        self._own_record = own_record

    @property
    def is_ready(self) -> bool:
        """True when routes and instances are known and the proxy is not shutting down."""
        if self._is_stopping:
            return False
        return self.cluster_state.routes.version > 0 and bool(
            self.cluster_state.directory.instances
        )

    @property
    def is_stopping(self) -> bool:
        """True once a shutdown has begun."""
        return self._is_stopping

    @property
    def peer_address(self) -> str:
        """The address at which other proxies reach this one, HOST:PORT."""
        return self._settings.peer_address

    @property
    def zone(self) -> str:
        """The availability zone of this proxy."""
        return self._settings.zone

    def build_view(self, known: ViewVersions) -> StoreView:
        """Return the contents of the store that are newer than `known`."""
        return self._view_publisher.build_view(known)

    # Interface to the kernel.

    def start(self) -> None:
        """Open the ports, subscribe to timers, and start the background loops."""
        socket = PeerSocket(self._dispatch_peer_message)
        host, _, port = self._settings.peer_address.rpartition(":")
        self._reactor.listenUDP(int(port), socket, interface=host)
        views = self._view_publisher.build_site(self._reactor)
        views.guard = self.intake.build_peer_guard(LimitSide.HTTP)
        self._reactor.listenTCP(int(port), views, interface=host)
        tunnels = TunnelFactory(
            self._reactor,
            self._find_address,
            self.intake.build_peer_guard(LimitSide.TUNNEL),
        )
        self._reactor.listenTCP(int(port) + TUNNEL_PORT_OFFSET, tunnels, interface=host)
        channels = ChannelFactory(self.forwarding_server.accept, self.intake)
        self._reactor.listenTCP(int(port) + CHANNEL_PORT_OFFSET, channels, interface=host)
        host, _, port = self._settings.metrics_address.rpartition(":")
        metrics = self.placement_view.build_site(self._reactor, self.metrics.render)
        metrics.guard = self.intake.build_peer_guard(LimitSide.HTTP)
        self._reactor.listenTCP(int(port), metrics, interface=host)
        for component in (
            self._prober,
            self._lease_releases,
            self._failure_detector,
            self._view_publisher,
            self._view_subscriber,
            self._position_exchange,
            self._rate_limiter,
            self._rate_limiter.server,
        ):
            component.socket = socket
        # The names of the ticks are fixed: "look" is for checks of the primaries, "feed" for polls
        # of the view source and requests for log positions.
        timer = self.kernel.get_service("timer")
        assert isinstance(timer, Timer)
        timer.subscribe(self, "look", PRIMARY_CHECK_INTERVAL_S)
        timer.subscribe(self, "housekeeping", HOUSEKEEPING_INTERVAL_S)
        timer.subscribe(self, "ping", PING_INTERVAL_S)
        timer.subscribe(self, "feed", VIEW_POLL_INTERVAL_S)
        for loop in (
            self._fleet_membership.run,
            self._fleet_membership.renew_leases,
            self._platform_watcher.route_watcher.run,
            self._platform_watcher.instance_watcher.run,
            self._view_publisher.publish_changes,
        ):
            self._run(self._keep_running(loop))
        self._event_log.log_event(
            EventType.STARTED, incarnation=self._own_record.incarnation, zone=self._own_record.zone
        )

    def receive(self, message: object) -> None:
        """Run the periodic work of a timer tick."""
        match message:
            case TimerTick("look"):
                self._primary_monitor.check_primaries()
                self._log_first_readiness()
            case TimerTick("ping") if not self._is_stopping:
                self._run(self._failure_detector.check_peers())
            case TimerTick("feed"):
                self._view_subscriber.poll_source()
                source = self._view_subscriber.source
                self._position_exchange.request_positions(
                    (source,) if source else self._view_publisher.subscribers()
                )
            case TimerTick("housekeeping"):
                self._platform_watcher.expire_instances()
                self._fleet_membership.expire_lost_proxies()
                self._rate_limiter.forget_idle_accounts()
                self.cluster_state.instance_pools.close_unused_connections()
                self.cluster_state.instance_pools.serve_waiters()
                self._limit_reports.update()
                self._route_reports.update()
                self.cluster_state.instance_pools.serve_held_back_transactions()
                if self._platform_watcher.is_store_unreachable:
                    self._view_subscriber.fetch_from_any_peer()
                idle_limit_s = self.cluster_state.routes.transaction_idle
                self.sessions.abort_idle_transactions(self.cluster_state.now(), idle_limit_s)

    def _log_first_readiness(self) -> None:
        if self.is_ready and not self._was_ready:
            self._was_ready = True
            self._event_log.log_event(EventType.READY, routes=self.cluster_state.routes.version)

    def _find_address(self, instance: str) -> str | None:
        entry = self.cluster_state.directory.entry(instance)
        return entry.address if entry else None

    def _handle_instance_problem(self, instance: str) -> None:
        self.kernel.call_soon(self._primary_monitor.check_primaries)

    def _dispatch_peer_message(self, message: PeerMessage) -> None:
        self._prober.handle_message(message)
        self._lease_releases.handle_message(message)
        self._failure_detector.handle_message(message)
        self._view_publisher.handle_message(message)
        self._view_subscriber.handle_message(message)
        self._position_exchange.handle_message(message)
        self._rate_limiter.handle_message(message)
        self._rate_limiter.server.handle_message(message)

    async def _keep_running(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop until it returns; log an exception and restart the loop after it."""
        while not self._is_stopping:
            try:
                await loop()
                return
            except Exception:
                self._event_log.log_event(
                    EventType.ERROR, step=loop.__qualname__, detail=format_exc()
                )
                await sleep(self._reactor, LOOP_RESTART_DELAY_S)

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        Deferred.fromCoroutine(work).addErrback(self._log_failure)

    def _log_failure(self, failure: Any) -> None:
        self._event_log.log_event(EventType.ERROR, step="run", detail=failure.getTraceback())

    # Shutdown.

    async def shut_down(self) -> None:
        """Stop gracefully within the grace period.

        Every request that was read is answered, sessions are closed, and the proxy is deregistered.
        A further call changes nothing and returns when the first one does.
        """
        await self._shutdown_lock.run(lambda: Deferred.fromCoroutine(self._shut_down_once()))

    async def _shut_down_once(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        grace = self._settings.shutdown_grace
        schedule = self._shutdown.begin(grace)
        self._event_log.log_event(EventType.STOPPING, sessions=len(self.sessions), grace=grace)
        self._failovers.stop()
        self._run(self._fleet_membership.mark_stopping())
        await self._shutdown.end_work(schedule, lambda: self.stop_accepting())
        self._event_log.log_event(EventType.STOPPED, sessions=len(self.sessions))
        # If the store does not respond within 0.3 s, the proxy stops without having removed its
        # record.
        deregistration = Deferred.fromCoroutine(self._fleet_membership.deregister())
        await deregistration.addTimeout(0.3, self._reactor, onTimeoutCancel=lambda *_: None)


def build_kernel(reactor: Any, gateway: Gateway, event_log: EventLog) -> Kernel:
    """Return a kernel with a timer and the gateway; exceptions of services are logged."""

    def log_service_error(service: str, message: object, error: Exception) -> None:
        event_log.log_event(
            EventType.ERROR, step=f"{service} {type(message).__name__}", detail=repr(error)
        )

    kernel = Kernel(reactor, log_service_error)
    kernel.add(Timer())
    kernel.add(gateway)
    return kernel
