"""All decisions of one proxy behind one method, free of I/O."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from orioleplank.decision.quorum._allotments import Allotments
from orioleplank.decision.quorum._configuration import Configuration
from orioleplank.decision.quorum._effect import AskToMove, Effect, Event, Stopped
from orioleplank.decision.quorum._group import GroupView
from orioleplank.decision.quorum._groups import Groups
from orioleplank.decision.quorum._keepers import Keepers
from orioleplank.decision.quorum._mechanism import ALL_MECHANISMS, Mechanisms, Switch
from orioleplank.decision.quorum._membership import Membership
from orioleplank.decision.quorum._message import (
    CallerArrived,
    CallerGone,
    ConnectionClosed,
    ConnectionOpened,
    InstanceReported,
    InstanceUnreachable,
    LedgerAnswered,
    Message,
    ObjectsReceived,
    PeerHeard,
    PromoteAnswered,
    RequestArrived,
    SealAnswered,
    SlotsGiven,
    SlotsWanted,
    StatementEnded,
    StopRequested,
    Tick,
    UpdateEnded,
    VmsListed,
)
from orioleplank.decision.quorum._node import Identity, Node
from orioleplank.decision.quorum._peers import Peers
from orioleplank.decision.quorum._pool import Pool
from orioleplank.decision.quorum._requests import Requests
from orioleplank.decision.quorum._stop import Stop


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """What a proxy knows of one service."""

    # Its group.
    view: GroupView
    # Connections by instance.
    pools: dict[str, Pool]
    # Requests that wait.
    queued: int


@dataclass(frozen=True, slots=True)
class ProxyStatus:
    """What a proxy knows, for people."""

    # Who it is.
    identity: Identity
    # The configuration in force.
    configuration: Configuration
    # Proxies that are alive, this one included.
    alive: tuple[str, ...]
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

    def __init__(self, identity: Identity, mechanisms: Mechanisms = ALL_MECHANISMS) -> None:
        membership = Membership(identity.name, identity.incarnation)
        self._node = Node(identity, membership, mechanisms, random=Random(identity.seed))
        self._groups = Groups(self._node)
        self._allotments = Allotments(self._node)
        self._requests = Requests(self._node, self._allotments)
        self._keepers = Keepers(self._node, self._allotments)
        self._peers = Peers(self._node)
        self._stop = Stop()
        self._callers: set[int] = set()
        self._was_ready = False

    def handle(self, message: Message, now: float, wall: float = 0.0) -> tuple[Effect, ...]:
        """Take a message at `now`, in seconds of a monotonic clock; return what is to be done.

        `wall`, in seconds since the epoch, only dates the changes this proxy makes.
        """
        self._node.now = now
        self._node.wall = wall
        self._take(message)
        self._groups.send_wanted_rounds()
        self._allotments.ask_for_wanted()
        effects = tuple(self._node.effects)
        self._node.effects.clear()
        return effects

    @property
    def is_ready(self) -> bool:
        """True when the balancer should send new callers."""
        if not self._stop.is_ready or self._node.configuration.revision == 0:
            return False
        return not self._requests.handed_on

    @property
    def is_busy(self) -> bool:
        """True while a request or a transaction is in progress."""
        return self._requests.busy

    def status(self) -> ProxyStatus:
        """Return what the proxy knows, for people."""
        node = self._node
        services = {
            name: ServiceStatus(
                node.views[name], dict(node.pools[name]), self._requests.queue_length(name)
            )
            for name in node.configuration.services()
        }
        return ProxyStatus(
            node.identity,
            node.configuration,
            node.membership.alive(node.now),
            services,
            self.is_ready,
            self.is_busy,
        )

    def _take(self, message: Message) -> None:
        match message:
            case RequestArrived():
                self._stop.note_activity()
                self._requests.arrive(message, self._stop.admits)
            case CallerArrived(caller):
                self._take_caller(caller)
            case CallerGone(caller):
                self._callers.discard(caller)
                self._requests.leave(caller)
            case InstanceReported():
                self._groups.take_report(message)
                self._take_news(message.service)
            case InstanceUnreachable():
                self._groups.lose_instance(message)
            case ConnectionOpened():
                self._requests.open_connection(message)
            case ConnectionClosed():
                self._requests.close_connection(message)
            case StatementEnded():
                self._requests.end_statement(message)
            case LedgerAnswered():
                self._requests.answer_ledger(message)
            case SealAnswered() | PromoteAnswered():
                self._keepers.take(message)
                self._take_promotion(message)
            case ObjectsReceived():
                self._take_objects(message)
            case UpdateEnded():
                self._keepers.end_update(message)
            case VmsListed():
                self._peers.list_vms(message)
            case PeerHeard():
                self._peers.hear(message)
            case SlotsWanted():
                self._allotments.take_wanted(message)
            case SlotsGiven():
                self._allotments.take_given(message)
                self._take_news(message.service)
            case StopRequested(grace):
                self._request_stop(grace)
            case Tick():
                self._pass_time()

    def _take_caller(self, caller: int) -> None:
        self._callers.add(caller)
        if not self._stop.is_ready:
            self._node.emit(AskToMove(caller))

    def _take_news(self, service: str) -> None:
        if service in self._node.views:
            self._requests.take_news(service)

    def _take_promotion(self, message: SealAnswered | PromoteAnswered) -> None:
        """An answer to a seal or promotion is a report too."""
        self._groups.take_report(InstanceReported(message.service, message.report))
        self._take_news(message.service)

    def _take_objects(self, message: ObjectsReceived) -> None:
        if not self._peers.take_objects(message):
            return
        self._groups.take_configuration()
        self._allotments.take_configuration()
        if self.is_ready and not self._was_ready:
            self._was_ready = True
            self._node.note(Event.READY, "take objects")

    def _request_stop(self, grace: float) -> None:
        if self._stop.is_ready:
            self._node.note(Event.STOPPING, "stop", detail=f"grace {grace:.1f} s")
        patient = self._node.mechanisms.on(Switch.GRACE)
        self._stop.request(self._node.now, grace if patient else 0.0)
        self._requests.ask_to_move()
        for caller in sorted(self._callers):
            self._node.emit(AskToMove(caller))

    def _pass_time(self) -> None:
        node = self._node
        headless = self._groups.headless_services()
        unreachable = self._groups.unreachable_services()
        holdings = self._allotments.holdings()
        self._peers.pass_time(not self._stop.is_ready, unreachable, headless, holdings)
        self._allotments.pass_time()
        self._requests.hand_on(headless + self._allotments.starving_services())
        self._groups.pass_time()
        self._keepers.pass_time()
        self._requests.pass_time()
        waits = self._requests.busy or (self._stop.admits and bool(self._callers))
        busy = waits and node.mechanisms.on(Switch.GRACE)
        self._stop.pass_time(node.now, busy)
        if self._stop.is_ended:
            node.note(Event.STOPPED, "stop")
            node.emit(Stopped())
