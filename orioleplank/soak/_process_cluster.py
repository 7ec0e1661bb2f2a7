"""A deployment on loopback: real proxies, with stand-ins for instances, store and callers."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from msgspec.structs import replace
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from orioleplank.decision.accounts import AccountTable
from orioleplank.decision.instances import (
    DbRole,
    InstanceEntry,
    InstanceState,
    RouteTable,
    ServiceLimits,
)
from orioleplank.decision.session import Statement
from orioleplank.soak._callers import TcpCaller
from orioleplank.soak._faulty_link import FaultyLink
from orioleplank.soak._instances import InstanceFactory
from orioleplank.soak._processes import CALLERS_PORT, ProxyAddresses, ProxyProcess
from orioleplank.soak._real_time_simulator import RealTimeSimulator
from orioleplank.soak._store import (
    INSTANCES_KIND,
    ROUTES_KIND,
    PromotionResource,
    StoreResource,
    build_http_site,
    instance_to_json,
    routes_to_json,
)
from orioleplank.tests._gateway_cluster import ROUTES
from orioleplank.tests._simulated_instances import SERVICE, SimulatedGroup, SimulatedInstance
from orioleplank.tests._simulated_store import SimulatedStore

STORE_PORT, PROMOTIONS_PORT, LINK_PORT, INSTANCE_PORT = 9000, 9001, 9100, 9300
# A directory entry expires this long after its instance has crashed: three heartbeats.
ENTRY_EXPIRY_S = 3.6
# Size of the largest configuration, in routes.
MAX_ROUTES = 4000


class ProcessCluster:
    """The deployment, with the interface of the simulated cluster that audited runs use."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        directory: Path,
        subnet: str,
        proxies: int,
        connection_limit: int,
    ) -> None:
        self._reactor = reactor
        self._subnet = subnet
        self._request_count = 0
        self.connection_limit = connection_limit
        self.simulator = RealTimeSimulator(reactor, random)
        self.store = SimulatedStore(self.simulator)
        self.instance_links: dict[str, FaultyLink] = {}
        self.instance_factories: dict[str, InstanceFactory] = {}
        self._ports: list[Any] = []
        self.group = SimulatedGroup(self.simulator, self._publish)
        self._listen(STORE_PORT, build_http_site(StoreResource(self.store)))
        self._listen(PROMOTIONS_PORT, build_http_site(PromotionResource(self.group)))
        self.proxies = [self._build_proxy(number, directory) for number in range(1, proxies + 1)]
        for number, member in enumerate(self.group.members.values()):
            self._listen_for_instance(member, number)
        limits = {SERVICE: ServiceLimits(connection_limit)}
        self.routes = RouteTable(1, {route.database: route for route in ROUTES}, limits, 3.0)
        self._write_routes()
        for name in self.group.members:
            self.group.publish(name)

    def start(self) -> None:
        """Start all proxy processes."""
        for proxy in self.proxies:
            proxy.start()

    def stop(self) -> None:
        """Kill all proxies, close all links and stop listening."""
        for proxy in self.proxies:
            proxy.stop()
        links = [proxy.store_link for proxy in self.proxies] + list(self.instance_links.values())
        for link in links:
            assert link is not None
            link.close()
        for port in self._ports:
            port.stopListening()

    # The platform.

    def _listen(self, port: int, factory: Any) -> None:
        host = f"{self._subnet}.200"
        self._ports.append(self._reactor.listenTCP(port, factory, interface=host))

    def _build_proxy(self, number: int, directory: Path) -> ProxyProcess:
        host = f"{self._subnet}.200"
        link = FaultyLink(self._reactor, (host, LINK_PORT + number), (host, STORE_PORT))
        addresses = ProxyAddresses(
            f"{self._subnet}.{number}",
            f"zone-{'abc'[number % 3]}",
            link.host_port,
            f"{host}:{PROMOTIONS_PORT}",
        )
        proxy = ProxyProcess(self._reactor, f"entry-{number}", addresses, directory)
        proxy.store_link = link
        return proxy

    def _listen_for_instance(self, member: SimulatedInstance, instance_number: int) -> None:
        host = f"{self._subnet}.201"
        factory = InstanceFactory(self.group, member, self.connection_limit)
        self.instance_factories[member.name] = factory
        port = INSTANCE_PORT + instance_number
        self._ports.append(self._reactor.listenTCP(port, factory, interface=host))
        link = FaultyLink(self._reactor, (f"{self._subnet}.202", port), (host, port))
        self.instance_links[member.name] = link

    def _publish(self, entry: InstanceEntry) -> None:
        entry_json = instance_to_json(entry, self.instance_links[entry.id].host_port)
        self.store.put(INSTANCES_KIND, entry.id, entry_json)

    def _write_routes(self) -> None:
        self.store.put(ROUTES_KIND, "main", routes_to_json(self.routes))

    def change_routes(self) -> None:
        """Publish the routes under a new configuration version."""
        self.routes = replace(self.routes, version=self.routes.version + 1)
        self._write_routes()

    def grow_routes(self, count: int) -> None:
        """Publish a configuration with `count` more routes, up to `MAX_ROUTES`."""
        known = self.routes.routes
        names = [
            f"db-{number}" for number in range(len(known), min(len(known) + count, MAX_ROUTES))
        ]
        added = {name: replace(ROUTES[-1], database=name) for name in names}
        self.routes = replace(
            self.routes, version=self.routes.version + 1, routes={**known, **added}
        )
        self._write_routes()

    def change_accounts(self, accounts: AccountTable | None) -> None:
        """Publish these accounts under a new configuration version."""
        version = self.routes.version + 1
        self.routes = replace(self.routes, version=version, accounts=accounts)
        self._write_routes()

    @property
    def now(self) -> float:
        """Return the time of the deployment in seconds."""
        return float(self.simulator.now)

    def restore_store(self, seconds: float, rewrite_delay_s: float) -> None:
        """Restore the store from a copy that is `seconds` old.

        The routes and the instances are written again `rewrite_delay_s` later.
        """
        self.store.restore(seconds)
        self.simulator.call_later(rewrite_delay_s, self._write_again)

    def _write_again(self) -> None:
        self._write_routes()
        for member in self.group.members.values():
            if member.alive:
                self.group.publish(member.name)
            else:
                self.simulator.call_later(ENTRY_EXPIRY_S, partial(self._expire_entry, member))

    # Instances.

    def crash_instance(self, member: SimulatedInstance) -> None:
        """Crash an instance: its connections are aborted and its entry expires after a while."""
        member.alive = False
        member.generation += 1
        self.instance_factories[member.name].abort_connections()
        self.simulator.call_later(ENTRY_EXPIRY_S, lambda: self._expire_entry(member))

    def _expire_entry(self, member: SimulatedInstance) -> None:
        if not member.alive:
            self.store.delete(INSTANCES_KIND, member.name)

    def restart_instance(self, member: SimulatedInstance) -> None:
        """Restart a crashed instance with its log, as a replica if another one is the primary."""
        if member.alive:
            return
        member.alive = True
        member.directory_entry = replace(
            member.directory_entry, born=member.directory_entry.born + 1
        )
        if self.group.primary() is not member:
            member.role = DbRole.REPLICA
            self.group.catch_up(member.name)
        self.group.publish(member.name, InstanceState.READY)

    # Callers.

    def open_session(self, node: ProxyProcess, database: str, key: str = "") -> TcpCaller:
        """Open a session at a proxy; the caller is marked closed when the connection fails."""
        caller = TcpCaller(self._reactor, database, key)
        endpoint = TCP4ClientEndpoint(self._reactor, node.addresses.ip, CALLERS_PORT, 2.0)
        connecting: Any = connectProtocol(endpoint, caller)
        connecting.addErrback(lambda _: caller.mark_closed())
        return caller

    def send_request(self, caller: TcpCaller, statement: Statement) -> str:
        """Send a statement under a new request id; return the id."""
        self._request_count += 1
        request_id = f"r{self._request_count}"
        caller.send_request(request_id, statement)
        return request_id
