"""Proxies, instances and the platform on a fabric; the decisions are the real ones."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from orioleplank.decision import (
    AskLedger,
    AskRound,
    AskSlots,
    AskToMove,
    Boundary,
    CallerGone,
    Change,
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
    InstanceReported,
    InstanceSpec,
    InstanceUnreachable,
    Kind,
    KindSpec,
    LedgerAnswered,
    LedgerState,
    Mechanisms,
    Message,
    Note,
    ObjectKey,
    ObjectsReceived,
    OpenConnection,
    PeerHeard,
    PresetSpec,
    PromoteAnswered,
    Proxy,
    Reply,
    Report,
    Role,
    SealAnswered,
    SendFollow,
    SendObjects,
    SendPromote,
    SendSeal,
    SendStatement,
    ServiceSpec,
    SlotsGiven,
    SlotsWanted,
    Spec,
    StatementEnded,
    StatementStatus,
    Stopped,
    StoredObject,
    Switch,
    Tick,
    UpdateEnded,
    UpdateObject,
    UpdateVerdict,
    Vm,
    VmsListed,
    WatchInstance,
    dump_body,
    judge_update,
)
from orioleplank.standin import Instance, PlatformState
from orioleplank.tests._fabric import Fabric, Node

SERVICE = "books"
PLATFORM = "platform"
TICK_S = 0.025
REPORT_S = 0.4
PULL_S = 0.01
CONNECT_S = 0.012
SERVICE_S = 0.002
KEEPALIVE_S = 2.0
SLOTS = 5
CONNECTIONS = 30
WATCH_S = 0.05
SLOW_S = 2.0
SETTLE_S = 0.25
WALL_S = 1_800_000_000.0
EPOCH_S = 1000.0

StepListener = Callable[[str, str, str], None]
ReplyListener = Callable[[Reply], None]


@dataclass(frozen=True, slots=True, order=True)
class Socket:
    """A connection as its instance knows it."""

    # Name of the proxy.
    proxy: str
    # Run of the proxy.
    run: int
    # The connection.
    connection: ConnectionId


@dataclass(slots=True)
class ProxyNode(Node):
    """One proxy."""

    # Its decisions.
    proxy: Proxy = field(init=False)
    # Added to the fabric's time for its monotonic clock, in seconds.
    clock: float = 0.0
    # Added to its wall clock, in seconds.
    wall: float = 0.0
    # Instances it watches.
    watched: set[str] = field(default_factory=set)
    # Connections it has open.
    connections: set[ConnectionId] = field(default_factory=set)
    # Revision up to which it has read the platform.
    revision: int = 0
    # True once it has stopped gracefully.
    ended: bool = False


@dataclass(slots=True)
class InstanceNode(Node):
    """One instance."""

    # Its log, role and data.
    instance: Instance = field(init=False)
    # Seconds by which it applies entries late.
    lag: float = 0.003
    # When it last heard its primary, in seconds of the fabric.
    heard: float = 0.0
    # Open connections.
    sockets: set[Socket] = field(default_factory=set)
    # True while a batch of entries is under way.
    pulling: bool = False
    # When statements were sent to it after it was marked as leaving.
    late_work: list[float] = field(default_factory=list)
    # Statements that run now.
    busy: int = 0
    # Most statements that ran at once.
    most_busy: int = 0
    # Most connections open at once.
    most_connections: int = 0
    # When it was marked as leaving, in seconds of the fabric; 0 before.
    leaving_at: float = 0.0


class World:
    """All nodes of one run."""

    def __init__(
        self, seed: int, proxies: int = 3, off: frozenset[Switch] = frozenset(), lag: float = 0.003
    ) -> None:
        self.fabric = Fabric(seed)
        self.mechanisms = Mechanisms(off)
        self.platform = PlatformState()
        self.platform_mode = "normal"
        self.vms_frozen = False
        self.on_step: StepListener = lambda step, proxy, instance: None
        self.reply_listeners: dict[int, ReplyListener] = {}
        self.move_listeners: dict[int, Callable[[], None]] = {}
        self.notes: list[tuple[float, str, Note]] = []
        self.verdicts: dict[str, UpdateVerdict | None] = {}
        # When the reply to each request left its proxy, in seconds of the fabric.
        self.released: dict[str, float] = {}
        self._socket_numbers: dict[Socket, int] = {}
        self._seen_vms: tuple[Vm, ...] = ()
        self.fabric.nodes[PLATFORM] = Node(PLATFORM)
        self.instances = [self._add_instance(f"db-{letter}", lag) for letter in "abc"]
        self.proxies = [self._add_proxy(f"entry-{n}") for n in range(1, proxies + 1)]
        self._fill_platform()
        for proxy in self.proxies:
            self._start_proxy(proxy)
        self.fabric.every(PULL_S, self._pull_all)
        self.fabric.every(REPORT_S, self._report_all)

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
        repeat(WATCH_S, lambda: self._watch(node))
        repeat(1.0, lambda: self._list_vms(node))

    def _tick(self, node: ProxyNode) -> None:
        if not node.frozen:
            self.tell(node, Tick())

    def _fill_platform(self) -> None:
        instances = tuple(
            InstanceSpec(node.name, node.name, f"zone-{place}", SLOTS, CONNECTIONS)
            for place, node in enumerate(self.instances, 1)
        )
        kinds = (KindSpec("save", 10), KindSpec("read", 5), KindSpec("sync", 1))
        self.put(Kind.SERVICE, SERVICE, ServiceSpec(instances, kinds))
        self.put(Kind.PRESET, "ordinary", PresetSpec())
        self.put(Kind.PRESET, "maintenance", PresetSpec(refused_kinds=("sync",)))
        self.put(Kind.IN_FORCE, "preset", InForceSpec("ordinary"))

    def put(self, kind: Kind, name: str, spec: Spec) -> None:
        """Put an object into the platform as its operator."""
        held = self.platform.objects.get((kind.value, name))
        change = Change(f"setup-{kind.value}-{name}", "ana", WALL_S)
        version = held.version if held else 0
        self.platform.put(kind.value, name, version, dump_body(change, spec))

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
                self._send_control(node, effect)
            case UpdateObject():
                self._update(node, effect)
            case Heartbeat():
                self._heartbeat(node, effect)
            case SendObjects():
                self._send_objects(node, effect)
            case AskSlots(peer, service, name, epoch, count):
                wanted = SlotsWanted(node.name, service, name, epoch, count)
                self._to_peer(node, self.proxy(peer), wanted)
            case GiveSlots(peer, service, name, epoch, count):
                given = SlotsGiven(service, name, epoch, count)
                self._to_peer(node, self.proxy(peer), given)
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
            self._answer(target, node, ConnectionOpened(connection))

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

    def _answer(
        self, source: InstanceNode, node: ProxyNode, message: Message, reply: bool = False
    ) -> None:
        if source.alive:
            self.fabric.deliver(source.name, node.name, lambda: self.tell(node, message), reply)

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
            self._answer(target, node, ended, True)
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
        self._answer(target, node, ended, True)

    # Control.

    def _send_control(
        self,
        node: ProxyNode,
        effect: AskRound | AskLedger | SendSeal | SendPromote | SendFollow,
    ) -> None:
        target = self.instance(effect.instance)

        def arrive() -> None:
            message = self._control(target, effect)
            if isinstance(effect, SendSeal):
                self.on_step("promotion.sealing", node.name, target.name)
            if message is not None:
                self._answer(target, node, message)

        if target.alive:
            self.fabric.deliver(node.name, target.name, arrive)
        elif isinstance(effect, AskLedger):
            state = LedgerState.UNREACHABLE
            answer = LedgerAnswered(effect.service, effect.instance, effect.query, state)
            self.fabric.after(0.002, lambda: self.tell(node, answer))

    def _control(
        self,
        target: InstanceNode,
        effect: AskRound | AskLedger | SendSeal | SendPromote | SendFollow,
    ) -> Message | None:
        instance = target.instance
        match effect:
            case AskRound():
                return InstanceReported(SERVICE, self._report(target), effect.round)
            case AskLedger():
                state, entry = instance.look_up(effect.ledger_id, effect.term, effect.tombstone)
                outcome = instance.outcome(effect.ledger_id)
                return LedgerAnswered(
                    SERVICE, target.name, effect.query, state, entry.position, outcome
                )
            case SendSeal():
                granted = instance.seal(effect.term)
                return SealAnswered(SERVICE, effect.term, granted, self._report(target))
            case SendPromote():
                if self.mechanisms.on(Switch.SEALING):
                    granted = instance.promote(effect.term)
                else:
                    granted = instance.promote_unsealed(effect.term)
                return PromoteAnswered(SERVICE, effect.term, granted, self._report(target))
            case SendFollow():
                target.heard = self.fabric.now
                instance.follow(effect.term, effect.primary)
                return InstanceReported(SERVICE, self._report(target))

    def _report(self, target: InstanceNode) -> Report:
        return target.instance.report(self.fabric.now - target.heard)

    def _report_all(self) -> None:
        for target in self.instances:
            if target.alive and not target.frozen:
                self.push_report(target)

    def push_report(self, target: InstanceNode) -> None:
        """Send an instance's report to all that watch it."""
        message = InstanceReported(SERVICE, self._report(target))
        for node in self.proxies:
            if target.name in node.watched:
                self._answer(target, node, message)

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

    # Replication.

    def _pull_all(self) -> None:
        for replica in self.instances:
            if replica.instance.role is Role.REPLICA and replica.alive and not replica.frozen:
                self._pull(replica)

    def _pull(self, replica: InstanceNode) -> None:
        primary = self.instance(replica.instance.following)
        if replica.pulling or not primary.alive or primary.frozen:
            return
        cuts = self.fabric.cuts
        if (replica.name, primary.name) in cuts or (primary.name, replica.name) in cuts:
            return
        if primary.instance.role is not Role.PRIMARY:
            return
        if primary.instance.term != replica.instance.term:
            return
        keep = primary.instance.agree(replica.instance.lineage)
        entries = list(primary.instance.log[keep:])
        term = primary.instance.term
        if not entries and keep == len(replica.instance.log):
            replica.heard = self.fabric.now
            return
        replica.pulling = True

        def apply() -> None:
            replica.pulling = False
            replica.heard = self.fabric.now
            if replica.alive and replica.instance.take_entries(term, keep, entries):
                self.push_report(replica)

        def arrive() -> None:
            self.fabric.enter(replica, apply)

        self.fabric.after(replica.lag + self.fabric.delay, arrive)

    # The platform.

    def _watch(self, node: ProxyNode) -> None:
        if node.frozen or self._is_platform_cut(node) or node.revision >= self.platform.revision:
            return
        objects = tuple(
            StoredObject(ObjectKey(Kind(held.kind), held.name), held.version, held.body)
            for held in self.platform.since(node.revision)
        )
        revision = node.revision = self.platform.revision

        def arrive() -> None:
            self.tell(node, ObjectsReceived(revision, objects))

        late = self.platform_mode in ("slow", "reads-late")
        delay = SLOW_S * self.fabric.random.random() if late else 0.002
        run = node.run
        self.fabric.after(
            delay, lambda: self.fabric.enter(node, arrive) if node.run == run else None
        )

    def _is_platform_cut(self, node: ProxyNode) -> bool:
        if self.platform_mode == "down":
            return True
        cuts = self.fabric.cuts
        return (node.name, PLATFORM) in cuts or (PLATFORM, node.name) in cuts

    def _list_vms(self, node: ProxyNode) -> None:
        if node.frozen or self._is_platform_cut(node):
            return
        if not self.vms_frozen:
            entries = [Vm(p.name, p.name, "zone", p.ended) for p in self.proxies if p.alive]
            upstreams = [
                Vm(i.name, i.name, "zone", bool(i.leaving_at), False) for i in self.instances
            ]
            self._seen_vms = (*entries, *upstreams)
        self.tell(node, VmsListed(self._seen_vms))

    def _update(self, node: ProxyNode, effect: UpdateObject) -> None:
        self.on_step("configuration.sent", node.name, "")
        delay = SLOW_S if self.platform_mode == "slow" else 0.003
        self.fabric.after(delay, lambda: self._take_update(node, effect))

    def _take_update(self, node: ProxyNode, effect: UpdateObject) -> None:
        if self._is_platform_cut(node):
            self._settle(node, effect, 0)
            return
        key = effect.key
        body = dump_body(effect.change, effect.spec)
        held = self.platform.put(key.kind.value, key.name, effect.version, body)
        self.on_step("configuration.effect", node.name, "")
        if self.platform_mode == "lose-answers":
            self._settle(node, effect, 0)
            return
        verdict = UpdateVerdict.ACCEPTED if held else UpdateVerdict.SUPERSEDED
        self._end_update(node, effect, verdict)
        if held is not None and node.alive:
            stored = StoredObject(key, held.version, held.body)
            taken = ObjectsReceived(0, (stored,))
            self.fabric.enter(node, lambda: self.tell(node, taken))

    def _settle(self, node: ProxyNode, effect: UpdateObject, tries: int) -> None:
        def read() -> None:
            if self._is_platform_cut(node):
                if tries < 60:
                    self._settle(node, effect, tries + 1)
                else:
                    self._end_update(node, effect, None)
                return
            held = self.platform.objects.get((effect.key.kind.value, effect.key.name))
            found = StoredObject(effect.key, held.version, held.body) if held else None
            verdict = judge_update(effect.change.id, effect.version, found)
            self._end_update(node, effect, verdict)

        self.fabric.after(SETTLE_S, read)

    def _end_update(
        self, node: ProxyNode, effect: UpdateObject, verdict: UpdateVerdict | None
    ) -> None:
        self.verdicts[effect.change.id] = verdict
        if node.alive:
            ended = UpdateEnded(effect.change.id, verdict)
            self.fabric.enter(node, lambda: self.tell(node, ended))

    def change_preset(self, node: ProxyNode, preset: str, author: str, change_id: str) -> None:
        """Let an operator put a preset in force through a proxy."""
        key = ObjectKey(Kind.IN_FORCE, "preset")
        accepted = node.proxy.status().configuration.objects.get(key)
        change = Change(change_id, author, WALL_S + self.fabric.now)
        version = accepted.stored.version if accepted else 0
        self._update(node, UpdateObject(key, version, change, InForceSpec(preset)))

    # Peers.

    def _heartbeat(self, node: ProxyNode, effect: Heartbeat) -> None:
        heard = PeerHeard(
            node.name,
            f"{node.name}-run-{node.run}",
            effect.revision,
            effect.newest,
            effect.stopping,
            effect.unreachable_services,
            effect.headless_services,
            effect.number,
            effect.echoes,
            effect.holdings,
        )
        for peer in self.proxies:
            if peer is not node and peer.alive:
                self._to_peer(node, peer, heard)

    def _to_peer(self, node: ProxyNode, peer: ProxyNode, message: Message) -> None:
        self.fabric.deliver(node.name, peer.name, lambda: self.tell(peer, message))

    def _send_objects(self, node: ProxyNode, effect: SendObjects) -> None:
        peer = self.fabric.nodes[effect.proxy]
        assert isinstance(peer, ProxyNode)
        if peer.alive:
            self._to_peer(node, peer, ObjectsReceived(effect.revision, effect.objects))

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
