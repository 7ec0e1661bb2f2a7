"""How this proxy reaches each instance: itself, by way of a peer, or through an owner."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from twisted.internet.defer import Deferred, succeed

from orioleplank.decision.instances import InstanceEntry, ServiceLimits
from orioleplank.decision.membership import Fleet, ProxyRecord
from orioleplank.decision.routing import (
    ConnectionPath,
    DirectPath,
    ForwardingPath,
    backup_owner_connection_limit,
    choose_connection_path,
    choose_owner,
    select_owners,
)
from orioleplank.gateway._forwarding_client import ForwardingClient, ForwardingLink
from orioleplank.gateway._interfaces import Dialer, InstanceLink, TunnelRoute

Dial = Callable[[InstanceEntry, Callable[[], None]], Deferred[InstanceLink]]
ConnectionLimit = Callable[[InstanceEntry], int]

# How long new connections to an instance go through a peer before the direct way is tried again.
DETOUR_S = 6.0
# Uses of an instance through its owners at once; the owners hold the connections.
OWNED_LINKS = 64


class InstanceConnector:
    """Opens connections to instances by the way that fits the fleet's size."""

    def __init__(
        self,
        me: ProxyRecord,
        dialer: Dialer,
        forwarding: ForwardingClient,
        now: Callable[[], float],
    ) -> None:
        self._me = me
        self._dialer = dialer
        self._forwarding = forwarding
        self._now = now
        self._fleet = Fleet()
        self._services: Mapping[str, ServiceLimits] = {}
        self._found: dict[str, ConnectionPath] = {}
        # Owners by instance.
        self._owners: dict[str, tuple[str, ...]] = {}
        self._detours: dict[str, tuple[TunnelRoute, float]] = {}

    def update_topology(self, fleet: Fleet, services: Mapping[str, ServiceLimits]) -> None:
        """Take the proxies and the services' limits, by which ways are chosen."""
        self._fleet, self._services = fleet, services
        self._found.clear()
        self._owners.clear()
        self._forwarding.close_channels_except(
            {record.address for record in fleet.proxies.values()}
        )

    def connection_path(self, entry: InstanceEntry) -> ConnectionPath:
        """Return the way to an instance."""
        way = self._found.get(entry.id)
        if way is None:
            limits = self._services.get(entry.service)
            active = self._fleet.active()
            way = (
                choose_connection_path(self._me.name, entry, limits.max_connections, active)
                if limits
                else DirectPath(1)
            )
            self._found[entry.id] = way
        return way

    def connection_owners(self, entry: InstanceEntry) -> tuple[str, ...]:
        """Return who owns an instance's connections; nobody where every proxy has some."""
        limits = self._services.get(entry.service)
        if limits is None:
            return ()
        owners = self._owners.get(entry.id)
        if owners is None:
            owners = select_owners(entry, limits.max_connections, self._fleet.active())
            self._owners[entry.id] = owners
        return owners

    def connection_limit(self, entry: InstanceEntry) -> int:
        """Return the connections that this proxy may hold to an instance."""
        match self.connection_path(entry):
            case DirectPath(connections):
                return connections
            case ForwardingPath():
                return OWNED_LINKS

    def backup_connection_limit(self, entry: InstanceEntry) -> int:
        """Return the connections that this proxy may hold for others."""
        match self.connection_path(entry):
            case DirectPath(connections):
                return connections
            case ForwardingPath():
                limits = self._services.get(entry.service)
                return backup_owner_connection_limit(limits.max_connections) if limits else 1

    def open(
        self, entry: InstanceEntry, on_unreachable: Callable[[], None]
    ) -> Deferred[InstanceLink]:
        """Open a connection to an instance, or begin to use it through its owners."""
        match self.connection_path(entry):
            case DirectPath():
                return self.open_directly(entry, on_unreachable)
            case ForwardingPath():
                return succeed(self._build_owned(entry, on_unreachable))

    def open_directly(
        self, entry: InstanceEntry, on_unreachable: Callable[[], None]
    ) -> Deferred[InstanceLink]:
        """Open a connection to an instance, perhaps by way of a peer; failures tell enough."""
        return self._dialer.dial(entry, self._find_detour(entry.id))

    def _build_owned(
        self, entry: InstanceEntry, on_unreachable: Callable[[], None]
    ) -> InstanceLink:
        def choose() -> ProxyRecord | None:
            way = self.connection_path(entry)
            owners = way.owners if isinstance(way, ForwardingPath) else ()
            candidates = ForwardingPath((*owners, self._me))
            return choose_owner(
                candidates, lambda owner: self._forwarding.is_avoided(entry.id, owner)
            )

        return ForwardingLink(entry, self._forwarding, choose, on_unreachable)

    # Detours.

    def use_tunnel(self, instance: str, detour: TunnelRoute) -> None:
        """Reach an instance by way of a peer for a while."""
        self._detours[instance] = (detour, self._now() + DETOUR_S)

    def _find_detour(self, instance: str) -> TunnelRoute | None:
        detour, until = self._detours.get(instance, (None, 0.0))
        return detour if self._now() < until else None
