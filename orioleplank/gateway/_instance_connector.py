"""Connection paths to instances: own connections (direct or by tunnel), or forwarding to owners."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from twisted.internet.defer import Deferred, succeed

from orioleplank.decision.instances import InstanceEntry, ServiceLimits
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.decision.membership import Fleet, ProxyRecord
from orioleplank.decision.routing import (
    ConnectionPath,
    DirectPath,
    ForwardingPath,
    LoadReport,
    OwnerEstimate,
    choose_connection_path,
    choose_owner,
    direct_path,
    non_owner_connection_limit,
    order_by_account,
    select_owners,
)
from orioleplank.gateway._forwarding_client import ForwardingClient, ForwardingLink
from orioleplank.gateway._interfaces import Dialer, InstanceLink, TunnelRoute

# Takes the instance, a function to call when it is unreachable, and the name of the account.
Dial = Callable[[InstanceEntry, Callable[[], None], str], Deferred[InstanceLink]]
ConnectionLimit = Callable[[InstanceEntry], int]

# How long new connections to an instance use a tunnel before connections without one are tried
# again.
TUNNEL_USE_S = 6.0
# Concurrent forwarding links per instance; the owners hold the connections.
MAX_FORWARDING_LINKS = 64


class InstanceConnector:
    """Opens connections to instances by the path that follows from the fleet and the limits.

    In a small fleet every proxy has connections of its own. In a large one the connections of an
    instance belong to a few owners, and the other proxies forward their statements to them.
    """

    def __init__(
        self,
        own_record: ProxyRecord,
        dialer: Dialer,
        forwarding: ForwardingClient,
        now: Callable[[], float],
        mechanisms: MechanismSwitches = ALL_ON,
        random: Random | None = None,
    ) -> None:
        self._mechanisms = mechanisms
        self._random = random
        self._own_record = own_record
        self._dialer = dialer
        self._forwarding = forwarding
        self._now = now
        self._fleet = Fleet()
        self._services: Mapping[str, ServiceLimits] = {}
        self._paths: dict[str, ConnectionPath] = {}
        # Connection owners, by instance.
        self._owners: dict[str, tuple[str, ...]] = {}
        self._tunnel_routes: dict[str, tuple[TunnelRoute, float]] = {}

    def update_topology(self, fleet: Fleet, services: Mapping[str, ServiceLimits]) -> None:
        """Update the fleet and the services' limits, from which connection paths are chosen."""
        self._fleet, self._services = fleet, services
        self._paths.clear()
        self._owners.clear()
        self._forwarding.close_channels_except(
            {record.address for record in fleet.proxies.values()}
        )

    @property
    def _uses_owners(self) -> bool:
        return self._mechanisms.is_on(Mechanism.CONNECTION_OWNERS)

    def connection_path(self, entry: InstanceEntry) -> ConnectionPath:
        """Return the connection path to an instance; `DirectPath` if its service has no limits."""
        path = self._paths.get(entry.id)
        if path is None:
            limits = self._services.get(entry.service)
            active = self._fleet.active()
            if limits is None:
                path = DirectPath(1)
            elif not self._uses_owners:
                path = direct_path(limits.max_connections, active)
            else:
                path = choose_connection_path(
                    self._own_record.name, entry, limits.max_connections, active
                )
            self._paths[entry.id] = path
        return path

    def holds_connections(self, entry: InstanceEntry) -> bool:
        """Return whether this proxy has connections of its own, rather than forwarding links."""
        return isinstance(self.connection_path(entry), DirectPath)

    def connection_owners(self, entry: InstanceEntry) -> tuple[str, ...]:
        """Return the connection owners of an instance; empty if every proxy connects itself."""
        limits = self._services.get(entry.service)
        if limits is None or not self._uses_owners:
            return ()
        owners = self._owners.get(entry.id)
        if owners is None:
            owners = select_owners(entry, limits.max_connections, self._fleet.active())
            self._owners[entry.id] = owners
        return owners

    def connection_limit(self, entry: InstanceEntry) -> int:
        """Return how many connections or forwarding links to an instance this proxy may have."""
        match self.connection_path(entry):
            case DirectPath(connections):
                return connections
            case ForwardingPath():
                return MAX_FORWARDING_LINKS

    def non_owner_connection_limit(self, entry: InstanceEntry) -> int:
        """Return how many connections of its own to an instance this proxy may have.

        Where it normally forwards statements, that is the limit of a non-owner.
        """
        match self.connection_path(entry):
            case DirectPath(connections):
                return connections
            case ForwardingPath():
                limits = self._services.get(entry.service)
                return non_owner_connection_limit(limits.max_connections) if limits else 1

    def open(
        self, entry: InstanceEntry, on_unreachable: Callable[[], None], account: str
    ) -> Deferred[InstanceLink]:
        """Open a connection for an account to an instance, or a forwarding link to its owners.

        A forwarding link calls `on_unreachable` when no owner is left that reaches the instance.
        """
        match self.connection_path(entry):
            case DirectPath():
                return self.open_own_connection(entry, on_unreachable, account)
            case ForwardingPath():
                return succeed(self._build_forwarding_link(entry, on_unreachable))

    def open_own_connection(
        self, entry: InstanceEntry, on_unreachable: Callable[[], None], account: str
    ) -> Deferred[InstanceLink]:
        """Open a connection of this proxy's own to an instance, through a tunnel if one is in use.

        `on_unreachable` is not called: the returned Deferred fails instead.
        """
        return self._dialer.dial(entry, self._find_tunnel_route(entry.id), account)

    def _build_forwarding_link(
        self, entry: InstanceEntry, on_unreachable: Callable[[], None]
    ) -> InstanceLink:
        return ForwardingLink(
            entry,
            self._forwarding,
            lambda account: self.select_owner(entry, account, self._random),
            on_unreachable,
        )

    def select_owner(
        self, entry: InstanceEntry, account: str, random: Random | None
    ) -> ProxyRecord | None:
        """Return the owner for a forwarded statement, possibly this proxy; None if none is left."""
        path = self.connection_path(entry)
        owners = path.owners if isinstance(path, ForwardingPath) else ()
        if self._mechanisms.is_on(Mechanism.ACCOUNT_AFFINITY):
            owners = order_by_account(owners, account)
        return choose_owner(
            ForwardingPath((*owners, self._own_record)),
            lambda owner: self._forwarding.is_avoided(entry.id, owner),
            lambda owner: self._expected_wait(entry.id, owner),
            random,
        )

    def _expected_wait(self, instance: str, owner: ProxyRecord) -> float:
        """Return the expected wait at an owner by its load report, in seconds; 0 without one."""
        report = self._forwarding.owner_loads.report(instance, owner.name)
        if report is None or not self._mechanisms.is_on(Mechanism.OWNER_LOAD):
            return 0.0
        return report.expected_wait * report.weight(self._now())

    def owner_estimate(self, entry: InstanceEntry, account: str) -> OwnerEstimate:
        """Return the estimate for the owner to which a statement would be sent."""
        uses_reports = self._mechanisms.is_on(Mechanism.OWNER_LOAD)
        if not uses_reports or self.holds_connections(entry):
            return OwnerEstimate()
        owner = self.select_owner(entry, account, None)
        report = self._forwarding.owner_loads.report(entry.id, owner.name) if owner else None
        return report.estimate(self._now()) if report is not None else OwnerEstimate()

    def owner_load_report(self, entry: InstanceEntry, owner: str) -> LoadReport | None:
        """Return the newest load that an owner told of an instance; None without any."""
        return self._forwarding.owner_loads.report(entry.id, owner)

    # Tunnels.

    def use_tunnel(self, instance: str, tunnel_route: TunnelRoute) -> None:
        """Open new connections to an instance through a peer for `TUNNEL_USE_S`."""
        self._tunnel_routes[instance] = (tunnel_route, self._now() + TUNNEL_USE_S)

    def _find_tunnel_route(self, instance: str) -> TunnelRoute | None:
        tunnel_route, expires_at = self._tunnel_routes.get(instance, (None, 0.0))
        return tunnel_route if self._now() < expires_at else None
