"""A deployment on loopback: real proxies, and stand-ins of instances, store and callers."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from orioleplank.decision.instances import (
    DbRole,
    InstanceEntry,
    InstanceState,
    RouteTable,
    ServiceLimits,
)
from orioleplank.decision.session import Statement
from orioleplank.soak._callers import WireCaller
from orioleplank.soak._instances import InstanceFactory
from orioleplank.soak._link import FaultyLink
from orioleplank.soak._live import LiveFabric
from orioleplank.soak._processes import CALLERS_PORT, Addresses, ProxyProcess
from orioleplank.soak._store import (
    INSTANCES_KIND,
    ROUTES_KIND,
    PromotionResource,
    StoreResource,
    build_site,
    describe_instance,
    describe_routes,
)
from orioleplank.tests._site import ROUTES
from orioleplank.tests._site_instances import SERVICE, SiteGroup, SiteInstance
from orioleplank.tests._site_store import SiteStore

STORE_PORT, PROMOTIONS_PORT, LINK_PORT, INSTANCE_PORT = 9000, 9001, 9100, 9300
# An entry lapses this long after its instance has crashed, in seconds: three heartbeats.
LAPSE_S = 3.6


class LiveSite:
    """The deployment; what a drill needs of it is as on virtual time."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        directory: Path,
        network: str,
        proxies: int,
        connections: int,
    ) -> None:
        self._reactor = reactor
        self._network = network
        self._requests = 0
        self.connections = connections
        self.fabric = LiveFabric(reactor, random)
        self.store = SiteStore(self.fabric)
        self.instance_links: dict[str, FaultyLink] = {}
        self.factories: dict[str, InstanceFactory] = {}
        self._ports: list[Any] = []
        self.group = SiteGroup(self.fabric, self._publish)
        self._listen(STORE_PORT, build_site(StoreResource(self.store)))
        self._listen(PROMOTIONS_PORT, build_site(PromotionResource(self.group)))
        self.proxies = [self._build_proxy(number, directory) for number in range(1, proxies + 1)]
        for number, member in enumerate(self.group.members.values()):
            self._listen_as(member, number)
        limits = {SERVICE: ServiceLimits(connections)}
        self.routes = RouteTable(1, {route.database: route for route in ROUTES}, limits, 3.0)
        self._write_routes()
        for name in self.group.members:
            self.group.publish(name)

    def start(self) -> None:
        """Start all proxies."""
        for proxy in self.proxies:
            proxy.start()

    def stop(self) -> None:
        """End all proxies, and listen no more."""
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
        host = f"{self._network}.200"
        self._ports.append(self._reactor.listenTCP(port, factory, interface=host))

    def _build_proxy(self, number: int, directory: Path) -> ProxyProcess:
        host = f"{self._network}.200"
        link = FaultyLink(self._reactor, (host, LINK_PORT + number), (host, STORE_PORT))
        addresses = Addresses(
            f"{self._network}.{number}",
            f"zone-{'abc'[number % 3]}",
            link.text,
            f"{host}:{PROMOTIONS_PORT}",
        )
        proxy = ProxyProcess(self._reactor, f"entry-{number}", addresses, directory)
        proxy.store_link = link
        return proxy

    def _listen_as(self, member: SiteInstance, number: int) -> None:
        host = f"{self._network}.201"
        factory = InstanceFactory(self.group, member, self.connections)
        self.factories[member.name] = factory
        port = INSTANCE_PORT + number
        self._ports.append(self._reactor.listenTCP(port, factory, interface=host))
        link = FaultyLink(self._reactor, (f"{self._network}.202", port), (host, port))
        self.instance_links[member.name] = link

    def _publish(self, entry: InstanceEntry) -> None:
        shown = describe_instance(entry, self.instance_links[entry.id].text)
        self.store.put(INSTANCES_KIND, entry.id, shown)

    def _write_routes(self) -> None:
        self.store.put(ROUTES_KIND, "main", describe_routes(self.routes))

    def change_routes(self) -> None:
        """Put a new version of the configuration in force."""
        self.routes = replace(self.routes, version=self.routes.version + 1)
        self._write_routes()

    # Instances.

    def crash(self, member: SiteInstance) -> None:
        """End an instance; its connections break and its entry lapses after a while."""
        member.alive = False
        member.run += 1
        self.factories[member.name].lose_all()
        self.fabric.after(LAPSE_S, lambda: self._lapse(member))

    def _lapse(self, member: SiteInstance) -> None:
        if not member.alive:
            self.store.delete(INSTANCES_KIND, member.name)

    def bring_back(self, member: SiteInstance) -> None:
        """Start a crashed instance again with its log, as a replica if another one leads."""
        if member.alive:
            return
        member.alive = True
        member.entry = replace(member.entry, born=member.entry.born + 1)
        if self.group.primary() is not member:
            member.role = DbRole.REPLICA
            self.group.catch_up(member.name)
        self.group.publish(member.name, InstanceState.READY)

    # Callers.

    def open(self, node: ProxyProcess, database: str) -> WireCaller:
        """Open a session."""
        caller = WireCaller(self._reactor, database)
        endpoint = TCP4ClientEndpoint(self._reactor, node.addresses.ip, CALLERS_PORT, 2.0)
        connecting: Any = connectProtocol(endpoint, caller)
        connecting.addErrback(lambda _: caller.note_end())
        return caller

    def send(self, caller: WireCaller, statement: Statement) -> str:
        """Send a request; return its id."""
        self._requests += 1
        request = f"r{self._requests}"
        caller.ask(request, statement)
        return request
