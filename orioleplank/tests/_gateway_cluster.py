"""Gateways, callers, instances and the store on one fabric, and what is checked of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank.decision import Position
from orioleplank.decision.instances import (
    Consistency,
    DbRole,
    InstanceEntry,
    InstanceState,
    Route,
    RouteTable,
    ServiceLimits,
)
from orioleplank.decision.membership import ViewVersions
from orioleplank.decision.session import Failure, Reply, Statement
from orioleplank.gateway import (
    EventType,
    Gateway,
    GatewayDependencies,
    GatewaySettings,
    Metrics,
    StoreView,
    ViewUnavailableError,
    build_kernel,
)
from orioleplank.tests._node_reactor import DatagramNetwork, NodeReactor
from orioleplank.tests._simulated_channels import SimulatedChannels
from orioleplank.tests._simulated_dialer import SimulatedDialer, SimulatedPromotions
from orioleplank.tests._simulated_instances import SERVICE, SimulatedGroup, SimulatedInstance
from orioleplank.tests._simulated_store import STORE_NODE, SimulatedStore, SimulatedStoreClient
from orioleplank.tests._simulator import Node, Simulator

# Seconds for which an instance serves after it has said that it will end.
DRAIN_PERIOD_S = 7.0
QUOTES = "quotes"
CATALOGUE = "catalogue"
JOBS = "jobs"
ROUTES = (
    Route(QUOTES, Consistency.PRIMARY, SERVICE, 1.0, 0.0, 1),
    Route(CATALOGUE, Consistency.BOUNDED_STALENESS, SERVICE, 1.0, 1.5, 2),
    Route(JOBS, Consistency.READ_YOUR_WRITES, SERVICE, 1.0, 2.5, 2),
)


class MemoryJournal:
    """Keeps the lines that a gateway writes; stands in for its journal."""

    def __init__(self) -> None:
        self.lines: list[tuple[EventType, dict[str, Any]]] = []

    def log_event(self, topic: EventType, **fields: object) -> None:
        """Keep a line."""
        self.lines.append((topic, fields))

    def log_request(self, **fields: object) -> None:
        """Keep a line on a request."""
        self.log_event(EventType.REQUEST, **fields)

    def outcomes(self, topic: EventType) -> list[Any]:
        """Return the outcomes of a topic's lines."""
        return [fields.get("outcome") for noted, fields in self.lines if noted is topic]


@dataclass(slots=True)
class SimulatedCaller:
    """One caller's session; implements the gateway's `CallerLink`."""

    replies: list[Reply] = field(default_factory=list)
    refusal: Failure | None = None
    is_greeted: bool = False
    is_closed: bool = False
    session: Any = None
    # Called with each reply.
    on_reply: Callable[[Reply], None] = lambda reply: None
    # Called once when the session ends.
    on_close: Callable[[], None] = lambda: None

    def send_ready(self) -> None:
        """Note that the session is open."""
        self.is_greeted = True

    def reply(self, reply: Reply) -> None:
        """Keep a reply."""
        self.replies.append(reply)
        self.on_reply(reply)

    def refuse(self, failure: Failure) -> None:
        """Keep a refusal."""
        self.refusal = failure
        self.close()

    def resume_reading(self) -> None:
        """Nothing to do: requests come one by one."""

    def close(self) -> None:
        """Note the end and tell the session, as a connection would."""
        if not self.is_closed:
            self.is_closed = True
            if self.session is not None:
                self.session.handle_disconnect()
            self.on_close()

    def disconnect(self) -> None:
        """Note that the proxy's process has ended."""
        if not self.is_closed:
            self.is_closed = True
            self.on_close()


@dataclass(slots=True)
class GatewayNode(Node):
    """One proxy."""

    gateway: Gateway = field(init=False)
    journal: MemoryJournal = field(default_factory=MemoryJournal)
    dialer: SimulatedDialer = field(init=False)
    channels: SimulatedChannels = field(init=False)
    # Sessions of this run.
    callers: list[SimulatedCaller] = field(default_factory=list)
    # Seconds by which its machine was suspended.
    suspended_seconds: float = 0.0


class SimulatedViews:
    """Fetches other proxies' views; implements the gateway's `ViewFetcher`."""

    def __init__(self, site: GatewayCluster, node: GatewayNode) -> None:
        self._site = site
        self._node = node

    def fetch(self, address: str, known: ViewVersions) -> Deferred[StoreView]:
        """Return what the proxy at an address knows beyond `known`."""
        fabric, result = self._site.simulator, Deferred[StoreView]()
        peer = next(p for p in self._site.proxies if p.gateway.peer_address == address)

        def look() -> None:
            view = peer.gateway.build_view(known)

            def arrive() -> None:
                if not result.called:
                    result.callback(view)

            fabric.deliver(peer.name, self._node.name, arrive, is_reply=True)

        def expire() -> None:
            if not result.called:
                result.errback(ViewUnavailableError("fetch view", address, "no answer"))

        if peer.alive:
            fabric.deliver(self._node.name, peer.name, look)
        fabric.call_later(0.7, lambda: fabric.call_on_node(self._node, expire))
        return result


class GatewayCluster:
    """A small deployment: proxies, one service of three instances, the store."""

    def __init__(self, seed: int = 1, proxies: int = 3, connection_limit: int = 30) -> None:
        self.simulator = Simulator(seed)
        self.network = DatagramNetwork(self.simulator)
        self.simulator.nodes[STORE_NODE] = Node(STORE_NODE)
        self.store = SimulatedStore(self.simulator)
        self.group = SimulatedGroup(self.simulator, self._publish)
        self.routes = RouteTable(
            1,
            {route.database: route for route in ROUTES},
            {SERVICE: ServiceLimits(connection_limit)},
            3.0,
        )
        self.store.put("routes", "main", self.routes)
        for name in self.group.members:
            self.group.publish(name)
        self.proxies: list[GatewayNode] = []
        for number in range(1, proxies + 1):
            self.add_proxy(f"entry-{number}")
        self._requests = 0

    # Proxies.

    def add_proxy(self, name: str) -> GatewayNode:
        """Start one more proxy."""
        node = GatewayNode(name)
        self.simulator.nodes[name] = node
        self.proxies.append(node)
        self.start_proxy(node)
        return node

    def start_proxy(self, node: GatewayNode) -> None:
        """Start a proxy's process, perhaps again."""
        node.alive, node.paused = True, False
        node.pending_calls.clear()
        node.generation += 1
        number = int(node.name.rsplit("-", 1)[1])
        reactor = NodeReactor(self.network, node)
        settings = GatewaySettings(
            node.name,
            f"zone-{'abc'[number % 3]}",
            "10.1.0.1:1",
            "10.1.0.1:2",
            f"10.1.1.{node.name.rsplit('-', 1)[1]}:7440",
            "10.1.0.1:7441",
            "10.9.0.1:1",
            "10.9.0.2:1",
            6.0,
            DRAIN_PERIOD_S,
        )
        node.dialer = SimulatedDialer(self.group, node, self._find_proxy)
        store: Any = SimulatedStoreClient(self.store, node)
        promotions = SimulatedPromotions(self.group, node)
        node.channels = SimulatedChannels(self.simulator, node, self._find_proxy)
        views = SimulatedViews(self, node)
        outside = GatewayDependencies(store, node.dialer, promotions, views, node.channels)
        journal: Any = node.journal
        node.gateway = Gateway(
            reactor,
            settings,
            outside,
            journal,
            Metrics(),
            lease_clock=lambda: self.simulator.now + node.suspended_seconds,
            random=Random(f"{self.simulator.random.random()}"),
        )
        kernel = build_kernel(reactor, node.gateway, journal)
        kernel.start()

    def _find_proxy(self, address: str) -> GatewayNode:
        """Return the proxy that takes tunnels at an address."""
        host = address.rpartition(":")[0]
        return next(p for p in self.proxies if p.gateway.peer_address.startswith(f"{host}:"))

    def kill_proxy(self, node: GatewayNode) -> None:
        """End a proxy's process without a word; its connections break."""
        node.alive = False
        node.generation += 1
        for _, link in node.dialer.links:
            link.close()
        node.channels.break_channels()
        callers, node.callers = node.callers, []
        for caller in callers:
            caller.disconnect()

    # Instances.

    def crash_instance(self, name: str) -> None:
        """End an instance; its connections break and its entry lapses after a while."""
        member = self.group.members[name]
        member.alive = False
        member.generation += 1
        for node in self.proxies:
            node.dialer.break_connections(name)
        self.simulator.call_later(3.6, lambda: self._lapse(name))

    def replace_primary(self, name: str, successor: str) -> None:
        """End a primary; an instance of another id takes over its log, lead and address."""
        old = self.group.members.pop(name)
        new = SimulatedInstance(successor, role=old.role, term=old.term, log=list(old.log))
        new.directory_entry = replace(
            old.directory_entry, id=successor, born=old.directory_entry.born + 1
        )
        self.group.members[successor] = new
        self.simulator.nodes[successor] = new
        old.alive = False
        old.generation += 1
        for node in self.proxies:
            node.dialer.break_connections(name)
        self.store.delete("instances", name)
        self.group.publish(successor)

    def restart_instance(self, name: str) -> None:
        """Start a crashed instance again with its log, as a replica if another one leads."""
        member = self.group.members[name]
        member.alive = True
        primary = self.group.primary()
        if primary is not member:
            member.role = DbRole.REPLICA
            self.group.catch_up(name)
        self.group.publish(name, InstanceState.READY)

    def drain_instance(self, name: str) -> None:
        """Let an instance announce that it will end."""
        self.group.publish(name, InstanceState.DRAINING)

    def _lapse(self, name: str) -> None:
        if not self.group.members[name].alive:
            self.store.delete("instances", name)

    def _publish(self, entry: InstanceEntry) -> None:
        self.store.put("instances", entry.id, entry)

    def change_routes(self, *routes: Route) -> None:
        """Put a new version of the configuration in force."""
        version = self.routes.version + 1
        table = {route.database: route for route in routes}
        self.routes = replace(self.routes, version=version, routes=table)
        self.store.put("routes", "main", self.routes)

    # Callers.

    def open_session(self, node: GatewayNode, database: str) -> SimulatedCaller:
        """Open a session."""
        caller = SimulatedCaller()
        caller.session = node.gateway.sessions.open(caller, database)
        node.callers.append(caller)
        return caller

    def send_request(self, caller: SimulatedCaller, statement: Statement) -> str:
        """Send a request; return its id."""
        self._requests += 1
        request = f"r{self._requests}"
        caller.session.submit_request(request, statement)
        return request

    def send_and_wait(
        self, caller: SimulatedCaller, statement: Statement, limit: float = 3.0
    ) -> Reply:
        """Send a request and let time pass until it is answered; fail without an answer."""
        answered = len(caller.replies)
        self.send_request(caller, statement)
        end = self.simulator.now + limit
        while len(caller.replies) == answered and self.simulator.now < end:
            self.simulator.run_until(self.simulator.now + 0.001)
        if len(caller.replies) == answered:
            raise AssertionError(f"{statement} was not answered in {limit} s")
        return caller.replies[-1]

    def run_for(self, seconds: float) -> None:
        """Let time pass."""
        self.simulator.run_until(self.simulator.now + seconds)

    # What is checked.

    def promoted_terms(self) -> list[int]:
        """Return the terms that were begun by promotions."""
        return sorted(term for term in self.group.term_started_at if term > 1)

    def committed_after(self, term: int) -> Position | None:
        """Return the first position of a term, None without one."""
        found = [e.position for e in self.group.primary().log if e.position.term == term]
        return found[0] if found else None
