"""A simulated cluster of proxies, instances and the platform that runs the real decision logic."""

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

TICK_INTERVAL_S = 0.025
REPORT_INTERVAL_S = 0.4
REPLICATION_INTERVAL_S = 0.01
CONNECT_DELAY_S = 0.012
STATEMENT_DURATION_S = 0.002
KEEPALIVE_TIMEOUT_S = 2.0
SLOTS_PER_INSTANCE = 5
CONNECTIONS_PER_INSTANCE = 30
WATCH_INTERVAL_S = 0.05
CLOCK_OFFSET_STEP_S = 1000.0

ReplyListener = Callable[[Reply], None]


class QuorumCluster:
    """All nodes of one simulation run; executes the effects of the proxies."""

    def __init__(
        self,
        seed: int,
        proxies: int = 3,
        disabled: frozenset[Safeguard] = frozenset(),
        lag: float = 0.003,
    ) -> None:
        self.simulator = Simulator(seed)
        self.safeguards = Safeguards(disabled)
        self.on_step: StepListener = lambda step, proxy, instance: None
        self.reply_listeners: dict[int, ReplyListener] = {}
        self.reconnect_listeners: dict[int, Callable[[], None]] = {}
        # Simulated time in seconds, name of the proxy, event.
        self.logged_events: list[tuple[float, str, LogEvent]] = []
        # Simulated time at which the reply left its proxy, in seconds, by request id.
        self.reply_times: dict[str, float] = {}
        self._connection_numbers: dict[ConnectionKey, int] = {}
        self.simulator.nodes[PLATFORM_NODE] = Node(PLATFORM_NODE)
        self.platform = SimulatedPlatform(
            self.simulator, self.handle_message, lambda *step: self.on_step(*step)
        )
        self.group = GroupLinks(
            self.simulator, self.safeguards, self.handle_message, lambda *step: self.on_step(*step)
        )
        self.peers = PeerLinks(self.simulator, self.handle_message)
        self.instances = [self._add_instance(f"db-{letter}", lag) for letter in "abc"]
        self.group.instances = self.instances
        self.proxies = [self._add_proxy(f"entry-{n}") for n in range(1, proxies + 1)]
        self.group.proxies = self.peers.proxies = self.proxies
        self._fill_platform()
        for proxy in self.proxies:
            self._start_proxy(proxy)
        self.simulator.call_every(REPLICATION_INTERVAL_S, self.group.replicate_all)
        self.simulator.call_every(REPORT_INTERVAL_S, self.group.push_reports)

    # Construction.

    def _add_instance(self, name: str, lag: float) -> InstanceNode:
        node = InstanceNode(name, lag=lag)
        node.instance = Instance(name, f"{name}-1")
        self.simulator.nodes[name] = node
        return node

    def _add_proxy(self, name: str) -> ProxyNode:
        node = ProxyNode(name, clock_offset=CLOCK_OFFSET_STEP_S * (len(self.simulator.nodes) + 1))
        self.simulator.nodes[name] = node
        return node

    def _start_proxy(self, node: ProxyNode) -> None:
        number = int(node.name.rsplit("-", 1)[1])
        incarnation = f"{node.name}-run-{node.generation}"
        seed = self.simulator.random.randrange(2**31)
        zone = f"zone-{number}"
        node.proxy = Proxy(ProxyIdentity(node.name, incarnation, zone, seed), self.safeguards)
        node.revision = 0
        generation = node.generation

        def repeat(seconds: float, call: Callable[[], None]) -> None:
            def call_and_reschedule() -> None:
                if node.alive and node.generation == generation and not node.stopped:
                    call()
                    self.simulator.call_later(seconds, call_and_reschedule)

            self.simulator.call_later(self.simulator.random.random() * seconds, call_and_reschedule)

        repeat(TICK_INTERVAL_S, lambda: self._tick(node))
        repeat(WATCH_INTERVAL_S, lambda: self.platform.deliver_changes(node))
        repeat(1.0, lambda: self.platform.deliver_vm_list(node, self.proxies, self.instances))

    def _tick(self, node: ProxyNode) -> None:
        if not node.paused:
            self.handle_message(node, Tick())

    def _fill_platform(self) -> None:
        instances = tuple(
            InstanceSpec(
                node.name, node.name, f"zone-{number}", SLOTS_PER_INSTANCE, CONNECTIONS_PER_INSTANCE
            )
            for number, node in enumerate(self.instances, 1)
        )
        kinds = (KindSpec("save", 10), KindSpec("read", 5), KindSpec("sync", 1))
        self.platform.put(ObjectKind.SERVICE, SERVICE, ServiceSpec(instances, kinds))
        self.platform.put(ObjectKind.PRESET, "ordinary", PresetSpec())
        self.platform.put(ObjectKind.PRESET, "maintenance", PresetSpec(refused_kinds=("sync",)))
        self.platform.put(ObjectKind.IN_FORCE, "preset", InForceSpec("ordinary"))

    # Proxies.

    def handle_message(self, node: ProxyNode, message: Message) -> None:
        """Pass a message to a proxy and execute its effects; no effect once it has stopped."""
        if node.stopped:
            return
        now = self.simulator.now + node.clock_offset
        for effect in node.proxy.handle(
            message, now, WALL_CLOCK_START_S + self.simulator.now + node.wall_clock_offset
        ):
            self._execute_effect(node, effect)

    def kill_proxy(self, node: ProxyNode) -> None:
        """Kill a proxy and break its connections."""
        node.alive = False
        self._drop_connections_of(node)

    def restart_proxy(self, node: ProxyNode) -> None:
        """Restart a proxy without any of its state; a running proxy is killed first."""
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
            for key in sorted(instance.open_connections):
                if key.proxy == node.name:
                    self._close_at_instance(node, instance, key)

    def _close_at_instance(
        self, node: ProxyNode, instance_node: InstanceNode, key: ConnectionKey
    ) -> None:
        def close() -> None:
            if key in instance_node.open_connections:
                instance_node.open_connections.discard(key)
                instance_node.instance.close_connection(self._connection_number(key))

        def arrive() -> None:
            self.simulator.call_later(
                STATEMENT_DURATION_S, lambda: self.simulator.call_on_node(instance_node, close)
            )

        self.simulator.deliver(node.name, instance_node.name, arrive)
        self.simulator.call_later(
            KEEPALIVE_TIMEOUT_S, lambda: self.simulator.call_on_node(instance_node, close)
        )

    def _connection_number(self, key: ConnectionKey) -> int:
        return self._connection_numbers.setdefault(key, len(self._connection_numbers) + 1)

    def _execute_effect(self, node: ProxyNode, effect: Effect) -> None:
        match effect:
            case Reply():
                self.on_step("reply", node.name, "")
                self._send_reply(node, effect)
            case SendReconnect(caller):
                listener = self.reconnect_listeners.get(caller)
                if listener is not None:
                    self.simulator.call_later(0.001, listener)
            case OpenConnection(connection, address):
                self._open_connection(node, self.instance(address), connection)
            case CloseConnection(connection):
                node.connections.discard(connection)
                key = ConnectionKey(node.name, node.generation, connection)
                self._close_at_instance(node, self.instance(connection.instance), key)
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
                self.logged_events.append((self.simulator.now, node.name, effect))
                self._report_step(node, effect)

    def _report_step(self, node: ProxyNode, logged: LogEvent) -> None:
        steps = {
            Event.PRIMARY_SUSPECTED: "promotion.suspected",
            Event.PROMOTION_SENT: "promotion.sealed",
            Event.PRIMARY_PROMOTED: "promotion.promoted",
            Event.CONFIGURATION_TAKEN: "configuration.taken",
        }
        if logged.event in steps:
            self.on_step(steps[logged.event], node.name, "")

    def _send_reply(self, node: ProxyNode, effect: Reply) -> None:
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

    def _open_connection(
        self, node: ProxyNode, instance_node: InstanceNode, connection: ConnectionId
    ) -> None:
        node.connections.add(connection)
        key = ConnectionKey(node.name, node.generation, connection)

        def opened() -> None:
            instance_node.open_connections.add(key)
            instance_node.most_connections = max(
                instance_node.most_connections, len(instance_node.open_connections)
            )
            self.group.send_to_proxy(instance_node, node, ConnectionOpened(connection))

        def arrive() -> None:
            self.simulator.call_later(CONNECT_DELAY_S, opened)

        if not instance_node.alive:
            self.simulator.call_later(0.002, lambda: self._close_at_proxy(node, connection))
            return
        self.simulator.deliver(node.name, instance_node.name, arrive)
        self.simulator.call_later(
            2.0, lambda: self._handle_open_timeout(node, instance_node, connection)
        )

    def _handle_open_timeout(
        self, node: ProxyNode, instance_node: InstanceNode, connection: ConnectionId
    ) -> None:
        if (
            ConnectionKey(node.name, node.generation, connection)
            not in instance_node.open_connections
        ):
            self._close_at_proxy(node, connection)

    def _close_at_proxy(self, node: ProxyNode, connection: ConnectionId) -> None:
        if connection in node.connections and node.alive:
            node.connections.discard(connection)
            self.simulator.call_on_node(
                node, lambda: self.handle_message(node, ConnectionClosed(connection))
            )

    def _send_statement(self, node: ProxyNode, effect: SendStatement) -> None:
        instance_node = self.instance(effect.connection.instance)
        step = _step_name(effect)
        key = ConnectionKey(node.name, node.generation, effect.connection)

        def execute() -> None:
            instance_node.busy -= 1
            if instance_node.alive and key in instance_node.open_connections:
                self._execute_statement(node, instance_node, effect, key)

        def arrive() -> None:
            instance_node.busy += 1
            instance_node.most_busy = max(instance_node.most_busy, instance_node.busy)
            self.simulator.call_later(
                STATEMENT_DURATION_S, lambda: self.simulator.call_on_node(instance_node, execute)
            )

        if instance_node.leaving_at and effect.boundary in (Boundary.AUTO, Boundary.BEGIN):
            instance_node.late_statement_times.append(self.simulator.now)
        self.on_step(f"{step}.sent", node.name, instance_node.name)
        self.simulator.deliver(node.name, instance_node.name, arrive)

    def _execute_statement(
        self,
        node: ProxyNode,
        instance_node: InstanceNode,
        effect: SendStatement,
        key: ConnectionKey,
    ) -> None:
        if instance_node.instance.leaving and effect.boundary in (Boundary.AUTO, Boundary.BEGIN):
            ended = StatementEnded(effect.connection, effect.statement, StatementStatus.LEAVING)
            self.group.send_to_proxy(instance_node, node, ended, True)
            return
        reply = instance_node.instance.execute(
            self._connection_number(key),
            effect.term,
            effect.ledger_id,
            effect.payload,
            effect.write,
            effect.boundary,
        )
        self.on_step(f"{_step_name(effect)}.executed", node.name, instance_node.name)
        ended = StatementEnded(
            effect.connection,
            effect.statement,
            reply.status,
            reply.position,
            reply.result,
            reply.detail,
        )
        self.group.send_to_proxy(instance_node, node, ended, True)

    def kill_instance(self, instance_node: InstanceNode) -> None:
        """Kill an instance, break its connections and notify the proxies."""
        instance_node.alive = False
        for node in self.proxies:
            for connection in sorted(node.connections):
                if connection.instance == instance_node.name:
                    self._break_connection(node, connection)
            unreachable = InstanceUnreachable(SERVICE, instance_node.name)
            self.simulator.deliver(
                instance_node.name, node.name, partial(self.handle_message, node, unreachable)
            )

    def restart_instance(self, instance_node: InstanceNode) -> None:
        """Restart an instance with an empty log, as a non-voting member."""
        self.kill_instance(instance_node)
        instance_node.generation += 1
        instance_node.alive = True
        instance_node.is_pulling = False
        instance_node.busy = 0
        instance_node.open_connections.clear()
        instance_node.instance = Instance(
            instance_node.name, f"{instance_node.name}-{instance_node.generation + 1}", voting=False
        )

    def _break_connection(self, node: ProxyNode, connection: ConnectionId) -> None:
        if (connection.instance, node.name) not in self.simulator.cut_links:
            self.simulator.call_later(0.002, lambda: self._close_at_proxy(node, connection))

    # Helpers for clients and checks.

    def end_caller_stream(self, node: ProxyNode, caller: int) -> None:
        """Report to a running proxy that a caller closed its stream."""
        if node.alive and not node.stopped:
            self.simulator.call_on_node(
                node, lambda: self.handle_message(node, CallerDisconnected(caller))
            )

    def primary(self) -> InstanceNode | None:
        """Return the live primary with the highest term, or None if there is no live primary."""
        primaries = [
            node for node in self.instances if node.alive and node.instance.role is Role.PRIMARY
        ]
        return max(primaries, key=lambda node: node.instance.term, default=None)


def _step_name(effect: SendStatement) -> str:
    match effect.boundary:
        case Boundary.AUTO:
            return "write" if effect.write else "read"
        case Boundary.BEGIN:
            return "begin"
        case Boundary.COMMIT:
            return "commit"
        case Boundary.STEP | Boundary.ROLLBACK:
            return "step"
