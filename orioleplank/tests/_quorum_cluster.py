"""Proxies, instances and the platform on a fabric; the decisions are the real ones."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from orioleplank.decision.quorum import (
    Boundary,
    CallerDisconnected,
    CloseConnection,
    ConnectionClosed,
    ConnectionId,
    ConnectionOpened,
    Effect,
    Event,
    ExitProcess,
    InForceSpec,
    InstanceSpec,
    InstanceUnreachable,
    KindSpec,
    LogEvent,
    Message,
    ObjectKind,
    OpenConnection,
    OpenControlStream,
    PresetSpec,
    ProbeInstance,
    Proxy,
    ProxyIdentity,
    QueryLedger,
    Reply,
    RequestSlots,
    Role,
    Safeguard,
    Safeguards,
    SendFollow,
    SendHeartbeat,
    SendObjects,
    SendPromote,
    SendReconnect,
    SendSeal,
    SendStatement,
    ServiceSpec,
    StatementEnded,
    StatementStatus,
    Tick,
    TransferSlots,
    UpdateObject,
)
from orioleplank.standin import Instance
from orioleplank.tests._group_links import SERVICE, GroupLinks
from orioleplank.tests._nodes import ConnectionKey, InstanceNode, ProxyNode
from orioleplank.tests._peer_links import PeerLinks
from orioleplank.tests._simulated_platform import (
    PLATFORM_NODE,
    WALL_CLOCK_START_S,
    SimulatedPlatform,
    StepListener,
)
from orioleplank.tests._simulator import Node, Simulator

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


class QuorumCluster:
    """All nodes of one run."""

    def __init__(
        self,
        seed: int,
        proxies: int = 3,
        off: frozenset[Safeguard] = frozenset(),
        lag: float = 0.003,
    ) -> None:
        self.simulator = Simulator(seed)
        self.mechanisms = Safeguards(off)
        self.on_step: StepListener = lambda step, proxy, instance: None
        self.reply_listeners: dict[int, ReplyListener] = {}
        self.move_listeners: dict[int, Callable[[], None]] = {}
        self.notes: list[tuple[float, str, LogEvent]] = []
        # When the reply to each request left its proxy, in seconds of the fabric.
        self.reply_times: dict[str, float] = {}
        self._socket_numbers: dict[ConnectionKey, int] = {}
        self.simulator.nodes[PLATFORM_NODE] = Node(PLATFORM_NODE)
        self.platform = SimulatedPlatform(
            self.simulator, self.handle_message, lambda *step: self.on_step(*step)
        )
        self.group = GroupLinks(
            self.simulator, self.mechanisms, self.handle_message, lambda *step: self.on_step(*step)
        )
        self.peers = PeerLinks(self.simulator, self.handle_message)
        self.instances = [self._add_instance(f"db-{letter}", lag) for letter in "abc"]
        self.group.instances = self.instances
        self.proxies = [self._add_proxy(f"entry-{n}") for n in range(1, proxies + 1)]
        self.group.proxies = self.peers.proxies = self.proxies
        self._fill_platform()
        for proxy in self.proxies:
            self._start_proxy(proxy)
        self.simulator.call_every(PULL_S, self.group.replicate_all)
        self.simulator.call_every(REPORT_S, self.group.push_reports)

    # Building.

    def _add_instance(self, name: str, lag: float) -> InstanceNode:
        node = InstanceNode(name, lag=lag)
        node.instance = Instance(name, f"{name}-1")
        self.simulator.nodes[name] = node
        return node

    def _add_proxy(self, name: str) -> ProxyNode:
        node = ProxyNode(name, clock_offset=EPOCH_S * (len(self.simulator.nodes) + 1))
        self.simulator.nodes[name] = node
        return node

    def _start_proxy(self, node: ProxyNode) -> None:
        number = int(node.name.rsplit("-", 1)[1])
        incarnation = f"{node.name}-run-{node.generation}"
        seed = self.simulator.random.randrange(2**31)
        zone = f"zone-{number}"
        node.proxy = Proxy(ProxyIdentity(node.name, incarnation, zone, seed), self.mechanisms)
        node.revision = 0
        run = node.generation

        def repeat(seconds: float, call: Callable[[], None]) -> None:
            def again() -> None:
                if node.alive and node.generation == run and not node.stopped:
                    call()
                    self.simulator.call_later(seconds, again)

            self.simulator.call_later(self.simulator.random.random() * seconds, again)

        repeat(TICK_S, lambda: self._tick(node))
        repeat(WATCH_S, lambda: self.platform.deliver_changes(node))
        repeat(1.0, lambda: self.platform.deliver_vm_list(node, self.proxies, self.instances))

    def _tick(self, node: ProxyNode) -> None:
        if not node.paused:
            self.handle_message(node, Tick())

    def _fill_platform(self) -> None:
        instances = tuple(
            InstanceSpec(node.name, node.name, f"zone-{place}", SLOTS, CONNECTIONS)
            for place, node in enumerate(self.instances, 1)
        )
        kinds = (KindSpec("save", 10), KindSpec("read", 5), KindSpec("sync", 1))
        self.platform.put(ObjectKind.SERVICE, SERVICE, ServiceSpec(instances, kinds))
        self.platform.put(ObjectKind.PRESET, "ordinary", PresetSpec())
        self.platform.put(ObjectKind.PRESET, "maintenance", PresetSpec(refused_kinds=("sync",)))
        self.platform.put(ObjectKind.IN_FORCE, "preset", InForceSpec("ordinary"))

    # Proxies.

    def handle_message(self, node: ProxyNode, message: Message) -> None:
        """Give a proxy a message and carry out what it wants."""
        if node.stopped:
            return
        now = self.simulator.now + node.clock_offset
        for effect in node.proxy.handle(
            message, now, WALL_CLOCK_START_S + self.simulator.now + node.wall_clock_offset
        ):
            self._carry_out(node, effect)

    def kill_proxy(self, node: ProxyNode) -> None:
        """End a proxy at once; its connections break."""
        node.alive = False
        self._drop_connections_of(node)

    def restart_proxy(self, node: ProxyNode) -> None:
        """Start a proxy again with nothing kept."""
        if node.alive:
            self.kill_proxy(node)
        node.generation += 1
        node.alive = True
        node.paused = False
        node.pending_calls.clear()
        node.connections.clear()
        node.watched_instances.clear()
        self._start_proxy(node)

    def _drop_connections_of(self, node: ProxyNode) -> None:
        for instance in self.instances:
            for socket in sorted(instance.open_connections):
                if socket.proxy == node.name:
                    self._close_at_instance(node, instance, socket)

    def _close_at_instance(
        self, node: ProxyNode, target: InstanceNode, socket: ConnectionKey
    ) -> None:
        def close() -> None:
            if socket in target.open_connections:
                target.open_connections.discard(socket)
                target.instance.close_connection(self._number(socket))

        def arrive() -> None:
            self.simulator.call_later(SERVICE_S, lambda: self.simulator.call_on_node(target, close))

        self.simulator.deliver(node.name, target.name, arrive)
        self.simulator.call_later(KEEPALIVE_S, lambda: self.simulator.call_on_node(target, close))

    def _number(self, socket: ConnectionKey) -> int:
        return self._socket_numbers.setdefault(socket, len(self._socket_numbers) + 1)

    def _carry_out(self, node: ProxyNode, effect: Effect) -> None:
        match effect:
            case Reply():
                self.on_step("reply", node.name, "")
                self._reply(node, effect)
            case SendReconnect(caller):
                listener = self.move_listeners.get(caller)
                if listener is not None:
                    self.simulator.call_later(0.001, listener)
            case OpenConnection(connection, address):
                self._open(node, self.instance(address), connection)
            case CloseConnection(connection):
                node.connections.discard(connection)
                socket = ConnectionKey(node.name, node.generation, connection)
                self._close_at_instance(node, self.instance(connection.instance), socket)
            case SendStatement():
                self._send_statement(node, effect)
            case OpenControlStream(instance=name):
                node.watched_instances.add(name)
            case ProbeInstance() | QueryLedger() | SendSeal() | SendPromote() | SendFollow():
                self.group.send_control(node, effect)
            case UpdateObject():
                self.platform.submit_update(node, effect)
            case SendHeartbeat() | SendObjects() | RequestSlots() | TransferSlots():
                self.peers.send(node, effect)
            case ExitProcess():
                node.stopped = True
                self._drop_connections_of(node)
            case LogEvent():
                self.notes.append((self.simulator.now, node.name, effect))
                self._note_step(node, effect)

    def _note_step(self, node: ProxyNode, note: LogEvent) -> None:
        steps = {
            Event.PRIMARY_SUSPECTED: "promotion.suspected",
            Event.PROMOTION_SENT: "promotion.sealed",
            Event.PRIMARY_PROMOTED: "promotion.promoted",
            Event.CONFIGURATION_TAKEN: "configuration.taken",
        }
        if note.event in steps:
            self.on_step(steps[note.event], node.name, "")

    def _reply(self, node: ProxyNode, effect: Reply) -> None:
        self.reply_times[effect.request.id] = self.simulator.now
        listener = self.reply_listeners.get(effect.caller)
        if listener is not None:
            client = f"client-{effect.caller // 1000}"
            self.simulator.deliver(node.name, client, lambda: listener(effect))

    # Connections.

    def proxy(self, name: str) -> ProxyNode:
        """Return the proxy called `name`."""
        return next(node for node in self.proxies if node.name == name)

    def instance(self, name: str) -> InstanceNode:
        """Return the instance called `name`."""
        return next(node for node in self.instances if node.name == name)

    def _open(self, node: ProxyNode, target: InstanceNode, connection: ConnectionId) -> None:
        node.connections.add(connection)
        socket = ConnectionKey(node.name, node.generation, connection)

        def opened() -> None:
            target.open_connections.add(socket)
            target.most_connections = max(target.most_connections, len(target.open_connections))
            self.group.send_to_proxy(target, node, ConnectionOpened(connection))

        def arrive() -> None:
            self.simulator.call_later(CONNECT_S, opened)

        if not target.alive:
            self.simulator.call_later(0.002, lambda: self._close_at_proxy(node, connection))
            return
        self.simulator.deliver(node.name, target.name, arrive)
        self.simulator.call_later(2.0, lambda: self._give_up_opening(node, target, connection))

    def _give_up_opening(
        self, node: ProxyNode, target: InstanceNode, connection: ConnectionId
    ) -> None:
        if ConnectionKey(node.name, node.generation, connection) not in target.open_connections:
            self._close_at_proxy(node, connection)

    def _close_at_proxy(self, node: ProxyNode, connection: ConnectionId) -> None:
        if connection in node.connections and node.alive:
            node.connections.discard(connection)
            self.simulator.call_on_node(
                node, lambda: self.handle_message(node, ConnectionClosed(connection))
            )

    def _send_statement(self, node: ProxyNode, effect: SendStatement) -> None:
        target = self.instance(effect.connection.instance)
        step = _step_of(effect)
        socket = ConnectionKey(node.name, node.generation, effect.connection)

        def execute() -> None:
            target.busy -= 1
            if target.alive and socket in target.open_connections:
                self._execute(node, target, effect, socket)

        def arrive() -> None:
            target.busy += 1
            target.most_busy = max(target.most_busy, target.busy)
            self.simulator.call_later(
                SERVICE_S, lambda: self.simulator.call_on_node(target, execute)
            )

        if target.leaving_at and effect.boundary in (Boundary.AUTO, Boundary.BEGIN):
            target.late_statement_times.append(self.simulator.now)
        self.on_step(f"{step}.sent", node.name, target.name)
        self.simulator.deliver(node.name, target.name, arrive)

    def _execute(
        self, node: ProxyNode, target: InstanceNode, effect: SendStatement, socket: ConnectionKey
    ) -> None:
        if target.instance.leaving and effect.boundary in (Boundary.AUTO, Boundary.BEGIN):
            ended = StatementEnded(effect.connection, effect.statement, StatementStatus.LEAVING)
            self.group.send_to_proxy(target, node, ended, True)
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
        self.group.send_to_proxy(target, node, ended, True)

    def kill_instance(self, target: InstanceNode) -> None:
        """End an instance at once; its connections break."""
        target.alive = False
        for node in self.proxies:
            for connection in sorted(node.connections):
                if connection.instance == target.name:
                    self._break(node, connection)
            lost = InstanceUnreachable(SERVICE, target.name)
            self.simulator.deliver(target.name, node.name, partial(self.handle_message, node, lost))

    def restart_instance(self, target: InstanceNode) -> None:
        """Start an instance again with an empty log."""
        self.kill_instance(target)
        target.generation += 1
        target.alive = True
        target.is_pulling = False
        target.busy = 0
        target.open_connections.clear()
        target.instance = Instance(
            target.name, f"{target.name}-{target.generation + 1}", voting=False
        )

    def _break(self, node: ProxyNode, connection: ConnectionId) -> None:
        if (connection.instance, node.name) not in self.simulator.cut_links:
            self.simulator.call_later(0.002, lambda: self._close_at_proxy(node, connection))

    # Helpers for clients and checks.

    def end_caller_stream(self, node: ProxyNode, caller: int) -> None:
        """End a caller's stream."""
        if node.alive and not node.stopped:
            self.simulator.call_on_node(
                node, lambda: self.handle_message(node, CallerDisconnected(caller))
            )

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
