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
from orioleplank.gateway._beliefs import Beliefs
from orioleplank.gateway._carrier import Carrier
from orioleplank.gateway._channels import PORT_OFFSET as CHANNEL_OFFSET
from orioleplank.gateway._channels import ChannelFactory, Channels
from orioleplank.gateway._clock import boot_seconds
from orioleplank.gateway._feed import ASK_S, Feed
from orioleplank.gateway._forwarding import Forwarding, OwnerChannel
from orioleplank.gateway._gate import Gate
from orioleplank.gateway._inspection import Inspection
from orioleplank.gateway._journal import Journal, Topic
from orioleplank.gateway._liveness import PING_S, Liveness
from orioleplank.gateway._local_channel import LocalChannels
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._moves import Moves
from orioleplank.gateway._peers import PeerSocket
from orioleplank.gateway._platform_view import PlatformView
from orioleplank.gateway._ports import Dialer, Promotions, Store
from orioleplank.gateway._positions import PositionExchange
from orioleplank.gateway._registry import Registry
from orioleplank.gateway._relay import Relay
from orioleplank.gateway._release import Releases
from orioleplank.gateway._session_table import SessionTable
from orioleplank.gateway._settings import GatewaySettings
from orioleplank.gateway._signal import sleep
from orioleplank.gateway._statements import Statements
from orioleplank.gateway._tunnel import PORT_OFFSET as TUNNEL_OFFSET
from orioleplank.gateway._tunnel import TunnelFactory
from orioleplank.gateway._views import StoreView, Views
from orioleplank.gateway._watch import LOOK_S, Watch
from orioleplank.gateway._ways import Ways
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
class Outside:
    """What the gateway reaches outside the process."""

    # The platform's store.
    store: Store
    # Opens connections to instances.
    dialer: Dialer
    # Orders promotions.
    promotions: Promotions
    # Fetches other proxies' views of the store.
    views: Views
    # Opens channels to other proxies.
    channels: Channels


class Gateway(Service):
    """One proxy before the platform's databases."""

    def __init__(
        self,
        reactor: Any,
        settings: GatewaySettings,
        outside: Outside,
        journal: Journal,
        metrics: Metrics,
        boot_now: Callable[[], float] = boot_seconds,
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
            settings.name, f"{settings.name}-{uuid.uuid4().hex[:12]}", settings.peers, settings.zone
        )
        self.forwarding = forwarding = Forwarding(settings.name, outside.channels, reactor.seconds)
        ways = Ways(me, outside.dialer, forwarding, reactor.seconds)
        self.beliefs = Beliefs(reactor, ways, journal, boot_now, settings.drain)
        self.beliefs.on_trouble = self._take_trouble
        gate = Gate(reactor)
        self._view = PlatformView(reactor, outside.store, self.beliefs, journal, self._random, gate)
        self._registry = Registry(
            reactor,
            outside.store.records,
            self.beliefs,
            journal,
            me,
            self._view.note_contact,
            self._random,
            gate,
        )
        self._relay = Relay(self.beliefs, self._registry, settings.name)
        self._feed = Feed(
            self.beliefs,
            self._registry,
            journal,
            me,
            self._random,
            outside.views,
            gate,
            self._view.note_contact,
        )
        self._positions = PositionExchange(self.beliefs, settings.name, self._random)
        self._inspection = Inspection(reactor, self.beliefs, settings.name)
        self._liveness = Liveness(
            self.beliefs,
            outside.store.records,
            journal,
            me,
            self._registry.find_revision,
            self._random,
        )
        self._releases = Releases(reactor, self.beliefs, journal, me)
        self._moves = Moves(
            reactor,
            self.beliefs,
            journal,
            outside.store.records,
            outside.promotions,
            self._inspection,
            self._releases,
            me,
        )
        self._watch = Watch(reactor, self.beliefs, journal, self._inspection, self._moves, me)
        statements = Statements(self.beliefs, reactor, settings.zone)
        self.carrier = Carrier(self.beliefs, statements, self._inspection, journal)
        own = LocalChannels(self.carrier.accept)
        forwarding.own = OwnerChannel(settings.peers, own, reactor.seconds)
        self.sessions = SessionTable(self.beliefs, statements, journal, self.metrics)
        self._me = me

    @property
    def is_ready(self) -> bool:
        """True when new sessions are welcome."""
        if self._is_stopping:
            return False
        return self.beliefs.routes.version > 0 and bool(self.beliefs.directory.instances)

    @property
    def address(self) -> str:
        """Return where other proxies reach this one, HOST:PORT."""
        return self._settings.peers

    @property
    def zone(self) -> str:
        """Return its availability zone."""
        return self._settings.zone

    def describe_view(self, known: ViewVersions) -> StoreView:
        """Return what this proxy knows from the store beyond `known`."""
        return self._relay.describe(known)

    # The kernel's side.

    def start(self) -> None:
        """Begin to follow the store and to watch primaries."""
        socket = PeerSocket(self._take_peer_message)
        host, _, port = self._settings.peers.rpartition(":")
        self._reactor.listenUDP(int(port), socket, interface=host)
        self._reactor.listenTCP(int(port), self._relay.build_site(), interface=host)
        tunnels = TunnelFactory(self._reactor, self._find_address)
        self._reactor.listenTCP(int(port) + TUNNEL_OFFSET, tunnels, interface=host)
        channels = ChannelFactory(self.carrier.accept)
        self._reactor.listenTCP(int(port) + CHANNEL_OFFSET, channels, interface=host)
        host, _, port = self._settings.metrics.rpartition(":")
        self._reactor.listenTCP(int(port), self.metrics.build_site(), interface=host)
        for part in (
            self._inspection,
            self._releases,
            self._liveness,
            self._relay,
            self._feed,
            self._positions,
        ):
            part.socket = socket
        timer = self.kernel.find("timer")
        assert isinstance(timer, Timer)
        timer.subscribe(self, "look", LOOK_S)
        timer.subscribe(self, "housekeeping", HOUSEKEEPING_S)
        timer.subscribe(self, "ping", PING_S)
        timer.subscribe(self, "feed", ASK_S)
        for loop in (
            self._registry.run,
            self._registry.renew,
            self._view.routes.run,
            self._view.instances.run,
            self._relay.tell_changes,
        ):
            self._run(self._keep_running(loop))
        self._journal.note(Topic.STARTED, incarnation=self._me.incarnation, zone=self._me.zone)

    def receive(self, message: object) -> None:
        """Let time pass."""
        match message:
            case TimerTick("look"):
                self._watch.look()
                self._note_ready()
            case TimerTick("ping") if not self._is_stopping:
                self._run(self._liveness.watch())
            case TimerTick("feed"):
                self._feed.look()
                source = self._feed.source
                self._positions.ask((source,) if source else self._relay.listeners())
            case TimerTick("housekeeping"):
                self._view.expire_instances()
                self.beliefs.close_unused_connections()
                if self._view.is_away:
                    self._feed.ask_anybody()
                idle = self.beliefs.routes.transaction_idle
                self.sessions.end_resting_transactions(self.beliefs.now(), idle)

    def _note_ready(self) -> None:
        if self.is_ready and not self._was_ready:
            self._was_ready = True
            self._journal.note(Topic.READY, routes=self.beliefs.routes.version)

    def _find_address(self, instance: str) -> str | None:
        entry = self.beliefs.directory.entry(instance)
        return entry.address if entry else None

    def _take_trouble(self, instance: str) -> None:
        self.kernel.schedule(self._watch.look)

    def _take_peer_message(self, message: PeerMessage) -> None:
        self._inspection.take(message)
        self._releases.take(message)
        self._liveness.take(message)
        self._relay.take(message)
        self._feed.take(message)
        self._positions.take(message)

    async def _keep_running(self, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop to its end; after a fault of this program run it again."""
        while not self._is_stopping:
            try:
                await loop()
                return
            except Exception:
                self._journal.note(Topic.ERROR, step=loop.__qualname__, detail=format_exc())
                await sleep(self._reactor, LOOP_AGAIN_S)

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        Deferred.fromCoroutine(work).addErrback(self._fail)

    def _fail(self, failure: Any) -> None:
        self._journal.note(Topic.ERROR, step="run", detail=failure.getTraceback())

    # The end.

    @property
    def _is_working(self) -> bool:
        """True while callers, or proxies for which this one holds connections, need it."""
        return bool(len(self.sessions) or self.carrier.in_use)

    async def _let_work_end(self, began: float) -> None:
        """Return once nothing is in progress, or at the end of the grace that began at `began`."""
        grace = self._settings.grace
        while self._is_working and self.beliefs.now() < began + grace * END_SHARE:
            if self.beliefs.now() >= began + grace * TRANSACTION_SHARE:
                self.sessions.abort_transactions()
            await sleep(self._reactor, LEAVE_LOOK_S)

    async def leave(self) -> None:
        """Stop gracefully: answer what runs, close what rests, and end within the grace."""
        if self._is_stopping:
            return
        self._is_stopping = True
        began = self.beliefs.now()
        grace = self._settings.grace
        self._journal.note(Topic.STOPPING, sessions=len(self.sessions), grace=grace)
        self._moves.is_stopped = True
        self._run(self._registry.leave())
        await sleep(self._reactor, min(NOTICE_S, grace * TRANSACTION_SHARE))
        self.sessions.leave()
        await self._let_work_end(began)
        self.stop_accepting()
        # Whoever came just before is served too.
        await self._let_work_end(began)
        self._journal.note(Topic.STOPPED, sessions=len(self.sessions))
        remove = Deferred.fromCoroutine(self._registry.remove())
        await remove.addTimeout(0.3, self._reactor, onTimeoutCancel=lambda *_: None)


def build_kernel(reactor: Any, gateway: Gateway, journal: Journal) -> Kernel:
    """Return a kernel with a timer and the gateway."""

    def report(service: str, message: object, error: Exception) -> None:
        journal.note(Topic.ERROR, step=f"{service} {type(message).__name__}", detail=repr(error))

    kernel = Kernel(reactor, report)
    kernel.add(Timer())
    kernel.add(gateway)
    return kernel
