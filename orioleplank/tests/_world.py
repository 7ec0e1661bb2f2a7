"""Proxies, instances and the platform on a fabric; the decisions are the real ones."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from orioleplank.decision.quorum import (
    AskLedger,
    AskRound,
    AskSlots,
    AskToMove,
    Boundary,
    CallerGone,
    CloseConnection,
    ConnectionClosed,
    ConnectionId,
    ConnectionOpened,
    Effect,
    Event,
    GiveSlots,
    Heartbeat,
    Identity,
    InForceSpec,
    InstanceSpec,
    InstanceUnreachable,
    Kind,
    KindSpec,
    Mechanisms,
    Message,
    Note,
    OpenConnection,
    PresetSpec,
    Proxy,
    Reply,
    Role,
    SendFollow,
    SendObjects,
    SendPromote,
    SendSeal,
    SendStatement,
    ServiceSpec,
    StatementEnded,
    StatementStatus,
    Stopped,
    Switch,
    Tick,
    UpdateObject,
    WatchInstance,
)
from orioleplank.standin import Instance
from orioleplank.tests._fabric import Fabric, Node
from orioleplank.tests._group_links import SERVICE, GroupLinks
from orioleplank.tests._nodes import InstanceNode, ProxyNode, Socket
from orioleplank.tests._peer_links import PeerLinks
from orioleplank.tests._store import PLATFORM, WALL_S, StepListener, Store

TICK_S = 0.025
REPORT_S = 0.4
PULL_S = 0.01
CONNECT_S = 0.012
SERVICE_S = 0.002
KEEPALIVE_S = 2.0
SLOTS = 5
CONNECTIONS = 30
WATCH_S = 0.05
EPOCH_S = 1000.0

ReplyListener = Callable[[Reply], None]


class World:
    """All nodes of one run."""

    def __init__(
        self, seed: int, proxies: int = 3, off: frozenset[Switch] = frozenset(), lag: float = 0.003
    ) -> None:
        self.fabric = Fabric(seed)
        self.mechanisms = Mechanisms(off)
        self.on_step: StepListener = lambda step, proxy, instance: None
        self.reply_listeners: dict[int, ReplyListener] = {}
        self.move_listeners: dict[int, Callable[[], None]] = {}
        self.notes: list[tuple[float, str, Note]] = []
        # When the reply to each request left its proxy, in seconds of the fabric.
        self.released: dict[str, float] = {}
        self._socket_numbers: dict[Socket, int] = {}
        self.fabric.nodes[PLATFORM] = Node(PLATFORM)
        self.store = Store(self.fabric, self.tell, lambda *step: self.on_step(*step))
        self.group = GroupLinks(
            self.fabric, self.mechanisms, self.tell, lambda *step: self.on_step(*step)
        )
        self.peers = PeerLinks(self.fabric, self.tell)
        self.instances = [self._add_instance(f"db-{letter}", lag) for letter in "abc"]
        self.group.instances = self.instances
        self.proxies = [self._add_proxy(f"entry-{n}") for n in range(1, proxies + 1)]
        self.group.proxies = self.peers.proxies = self.proxies
        self._fill_platform()
        for proxy in self.proxies:
            self._start_proxy(proxy)
        self.fabric.every(PULL_S, self.group.pull_all)
        self.fabric.every(REPORT_S, self.group.report_all)

    # Building.

    def _add_instance(self, name: str, lag: float) -> InstanceNode:
        node = InstanceNode(name, lag=lag)
        node.instance = Instance(name, f"{name}-1")
        self.fabric.nodes[name] = node
        return node

    def _add_proxy(self, name: str) -> ProxyNode:
        node = ProxyNode(name, clock=EPOCH_S * (len(self.fabric.nodes) + 1))
        self.fabric.nodes[name] = node
        return node

    def _start_proxy(self, node: ProxyNode) -> None:
        number = int(node.name.rsplit("-", 1)[1])
        incarnation = f"{node.name}-run-{node.run}"
        seed = self.fabric.random.randrange(2**31)
        zone = f"zone-{number}"
        node.proxy = Proxy(Identity(node.name, incarnation, zone, seed), self.mechanisms)
        node.revision = 0
        run = node.run

        def repeat(seconds: float, call: Callable[[], None]) -> None:
            def again() -> None:
                if node.alive and node.run == run and not node.ended:
                    call()
                    self.fabric.after(seconds, again)

            self.fabric.after(self.fabric.random.random() * seconds, again)

        repeat(TICK_S, lambda: self._tick(node))
        repeat(WATCH_S, lambda: self.store.watch(node))
        repeat(1.0, lambda: self.store.list_vms(node, self.proxies, self.instances))

    def _tick(self, node: ProxyNode) -> None:
        if not node.frozen:
            self.tell(node, Tick())

    def _fill_platform(self) -> None:
        instances = tuple(
            InstanceSpec(node.name, node.name, f"zone-{place}", SLOTS, CONNECTIONS)
            for place, node in enumerate(self.instances, 1)
        )
        kinds = (KindSpec("save", 10), KindSpec("read", 5), KindSpec("sync", 1))
        self.store.put(Kind.SERVICE, SERVICE, ServiceSpec(instances, kinds))
        self.store.put(Kind.PRESET, "ordinary", PresetSpec())
        self.store.put(Kind.PRESET, "maintenance", PresetSpec(refused_kinds=("sync",)))
        self.store.put(Kind.IN_FORCE, "preset", InForceSpec("ordinary"))

    # Proxies.

    def tell(self, node: ProxyNode, message: Message) -> None:
        """Give a proxy a message and carry out what it wants."""
        if node.ended:
            return
        now = self.fabric.now + node.clock
        for effect in node.proxy.handle(message, now, WALL_S + self.fabric.now + node.wall):
            self._carry_out(node, effect)

    def kill_proxy(self, node: ProxyNode) -> None:
        """End a proxy at once; its connections break."""
        node.alive = False
        self._drop_connections_of(node)

    def restart_proxy(self, node: ProxyNode) -> None:
        """Start a proxy again with nothing kept."""
        if node.alive:
            self.kill_proxy(node)
        node.run += 1
        node.alive = True
        node.frozen = False
        node.backlog.clear()
        node.connections.clear()
        node.watched.clear()
        self._start_proxy(node)

    def _drop_connections_of(self, node: ProxyNode) -> None:
        for instance in self.instances:
            for socket in sorted(instance.sockets):
                if socket.proxy == node.name:
                    self._close_at_instance(node, instance, socket)

    def _close_at_instance(self, node: ProxyNode, target: InstanceNode, socket: Socket) -> None:
        def close() -> None:
            if socket in target.sockets:
                target.sockets.discard(socket)
                target.instance.close_connection(self._number(socket))

        def arrive() -> None:
            self.fabric.after(SERVICE_S, lambda: self.fabric.enter(target, close))

        self.fabric.deliver(node.name, target.name, arrive)
        self.fabric.after(KEEPALIVE_S, lambda: self.fabric.enter(target, close))

    def _number(self, socket: Socket) -> int:
        return self._socket_numbers.setdefault(socket, len(self._socket_numbers) + 1)

    def _carry_out(self, node: ProxyNode, effect: Effect) -> None:
        match effect:
            case Reply():
                self.on_step("reply", node.name, "")
                self._reply(node, effect)
            case AskToMove(caller):
                listener = self.move_listeners.get(caller)
                if listener is not None:
                    self.fabric.after(0.001, listener)
            case OpenConnection(connection, address):
                self._open(node, self.instance(address), connection)
            case CloseConnection(connection):
                node.connections.discard(connection)
                socket = Socket(node.name, node.run, connection)
                self._close_at_instance(node, self.instance(connection.instance), socket)
            case SendStatement():
                self._send_statement(node, effect)
            case WatchInstance(instance=name):
                node.watched.add(name)
            case AskRound() | AskLedger() | SendSeal() | SendPromote() | SendFollow():
                self.group.send_control(node, effect)
            case UpdateObject():
                self.store.update(node, effect)
            case Heartbeat() | SendObjects() | AskSlots() | GiveSlots():
                self.peers.send(node, effect)
            case Stopped():
                node.ended = True
                self._drop_connections_of(node)
            case Note():
                self.notes.append((self.fabric.now, node.name, effect))
                self._note_step(node, effect)

    def _note_step(self, node: ProxyNode, note: Note) -> None:
        steps = {
            Event.PRIMARY_SUSPECTED: "promotion.suspected",
            Event.PROMOTION_SENT: "promotion.sealed",
            Event.PRIMARY_PROMOTED: "promotion.promoted",
            Event.CONFIGURATION_TAKEN: "configuration.taken",
        }
        if note.event in steps:
            self.on_step(steps[note.event], node.name, "")

    def _reply(self, node: ProxyNode, effect: Reply) -> None:
        self.released[effect.request.id] = self.fabric.now
        listener = self.reply_listeners.get(effect.caller)
        if listener is not None:
            client = f"client-{effect.caller // 1000}"
            self.fabric.deliver(node.name, client, lambda: listener(effect))

    # Connections.

    def proxy(self, name: str) -> ProxyNode:
        """Return the proxy called `name`."""
        return next(node for node in self.proxies if node.name == name)

    def instance(self, name: str) -> InstanceNode:
        """Return the instance called `name`."""
        return next(node for node in self.instances if node.name == name)

    def _open(self, node: ProxyNode, target: InstanceNode, connection: ConnectionId) -> None:
        node.connections.add(connection)
        socket = Socket(node.name, node.run, connection)

        def opened() -> None:
            target.sockets.add(socket)
            target.most_connections = max(target.most_connections, len(target.sockets))
            self.group.answer(target, node, ConnectionOpened(connection))

        def arrive() -> None:
            self.fabric.after(CONNECT_S, opened)

        if not target.alive:
            self.fabric.after(0.002, lambda: self._close_at_proxy(node, connection))
            return
        self.fabric.deliver(node.name, target.name, arrive)
        self.fabric.after(2.0, lambda: self._give_up_opening(node, target, connection))

    def _give_up_opening(
        self, node: ProxyNode, target: InstanceNode, connection: ConnectionId
    ) -> None:
        if Socket(node.name, node.run, connection) not in target.sockets:
            self._close_at_proxy(node, connection)

    def _close_at_proxy(self, node: ProxyNode, connection: ConnectionId) -> None:
        if connection in node.connections and node.alive:
            node.connections.discard(connection)
            self.fabric.enter(node, lambda: self.tell(node, ConnectionClosed(connection)))

    def _send_statement(self, node: ProxyNode, effect: SendStatement) -> None:
        target = self.instance(effect.connection.instance)
        step = _step_of(effect)
        socket = Socket(node.name, node.run, effect.connection)

        def execute() -> None:
            target.busy -= 1
            if target.alive and socket in target.sockets:
                self._execute(node, target, effect, socket)

        def arrive() -> None:
            target.busy += 1
            target.most_busy = max(target.most_busy, target.busy)
            self.fabric.after(SERVICE_S, lambda: self.fabric.enter(target, execute))

        if target.leaving_at and effect.boundary in (Boundary.AUTO, Boundary.BEGIN):
            target.late_work.append(self.fabric.now)
        self.on_step(f"{step}.sent", node.name, target.name)
        self.fabric.deliver(node.name, target.name, arrive)

    def _execute(
        self, node: ProxyNode, target: InstanceNode, effect: SendStatement, socket: Socket
    ) -> None:
        if target.instance.leaving and effect.boundary in (Boundary.AUTO, Boundary.BEGIN):
            ended = StatementEnded(effect.connection, effect.statement, StatementStatus.LEAVING)
            self.group.answer(target, node, ended, True)
            return
        reply = target.instance.execute(
            self._number(socket),
            effect.term,
            effect.ledger_id,
            effect.payload,
            effect.write,
            effect.boundary,
        )
        self.on_step(f"{_step_of(effect)}.executed", node.name, target.name)
        ended = StatementEnded(
            effect.connection,
            effect.statement,
            reply.status,
            reply.position,
            reply.result,
            reply.detail,
        )
        self.group.answer(target, node, ended, True)

    def kill_instance(self, target: InstanceNode) -> None:
        """End an instance at once; its connections break."""
        target.alive = False
        for node in self.proxies:
            for connection in sorted(node.connections):
                if connection.instance == target.name:
                    self._break(node, connection)
            lost = InstanceUnreachable(SERVICE, target.name)
            self.fabric.deliver(target.name, node.name, partial(self.tell, node, lost))

    def restart_instance(self, target: InstanceNode) -> None:
        """Start an instance again with an empty log."""
        self.kill_instance(target)
        target.run += 1
        target.alive = True
        target.pulling = False
        target.busy = 0
        target.sockets.clear()
        target.instance = Instance(target.name, f"{target.name}-{target.run + 1}", voting=False)

    def _break(self, node: ProxyNode, connection: ConnectionId) -> None:
        if (connection.instance, node.name) not in self.fabric.cuts:
            self.fabric.after(0.002, lambda: self._close_at_proxy(node, connection))

    # Helpers for clients and checks.

    def leave_caller(self, node: ProxyNode, caller: int) -> None:
        """End a caller's stream."""
        if node.alive and not node.ended:
            self.fabric.enter(node, lambda: self.tell(node, CallerGone(caller)))

    def primary(self) -> InstanceNode | None:
        """Return the primary of the highest term that is alive."""
        primaries = [
            node for node in self.instances if node.alive and node.instance.role is Role.PRIMARY
        ]
        return max(primaries, key=lambda node: node.instance.term, default=None)


def _step_of(effect: SendStatement) -> str:
    match effect.boundary:
        case Boundary.AUTO:
            return "write" if effect.write else "read"
        case Boundary.BEGIN:
            return "begin"
        case Boundary.COMMIT:
            return "commit"
        case Boundary.STEP | Boundary.ROLLBACK:
            return "step"
