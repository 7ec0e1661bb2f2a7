"""The cluster state of one proxy: routes, instances, leases and the other proxies.

Updates are logged, and wake the coroutines that wait on `ClusterState.changed`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from orioleplank.decision import era_of
from orioleplank.decision.accounts import ClientAccount, identify_caller
from orioleplank.decision.admission import ShutdownSchedule
from orioleplank.decision.group import (
    GroupPhase,
    Lease,
    LeaseTable,
    MoveTimes,
    VersionedGroupRecord,
)
from orioleplank.decision.instances import (
    InstanceDirectory,
    InstanceEntry,
    ListedInstances,
    Route,
    RouteChanges,
    RouteHistory,
    RouteTable,
)
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.decision.membership import (
    Fleet,
    FleetHistory,
    ProxyRecord,
    ViewVersions,
)
from orioleplank.decision.routing import OwnerEstimate
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._instance_connector import InstanceConnector
from orioleplank.gateway._instance_pools import InstancePools
from orioleplank.gateway._interfaces import TunnelRoute
from orioleplank.gateway._notifier import ChangeNotifier
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._position_tracker import PositionTracker
from orioleplank.gateway._primary_tracker import PrimaryTracker
from orioleplank.gateway._route_progress import RouteProgress
from orioleplank.gateway._transfer import Origin

# Log lines about individual proxies per change of the fleet; the rest is logged as one count.
MAX_FLEET_EVENT_LINES = 4
# Time for a new process to receive its first listings from the store: a few attempts at a slow
# store. Requests wait for this long before they are refused.
STARTUP_TIMEOUT_S = 1.5
# How long statements wait after a restore of the store until the group record is in force again.
RECORD_RECOVERY_TIMEOUT_S = 2.0


class ClusterState:
    """What the proxy currently knows of the cluster, and a connection pool for each known instance.

    The lease clock (`lease_clock`) also counts time while the VM is suspended; `now` is the
    reactor's monotonic clock. Both are in seconds.
    """

    def __init__(
        self,
        reactor: Any,
        connector: InstanceConnector,
        event_log: EventLog,
        seconds_since_boot: Callable[[], float],
        drain_time_s: float,
        mechanisms: MechanismSwitches = ALL_ON,
    ) -> None:
        self.mechanisms = mechanisms
        self.routes = RouteTable()
        # Store revision up to which the configuration is known.
        self.routes_revision = 0
        self._route_history = RouteHistory()
        self.directory = InstanceDirectory()
        # Store revision up to which all proxy and group records are known.
        self.records_revision = 0
        # Store revision up to which all instances are known.
        self.directory_revision = 0
        self.listed_instances = ListedInstances()
        self.leases = LeaseTable()
        self.fleet = Fleet()
        self.fleet_history = FleetHistory()
        self.instance_pools = InstancePools(
            connector, self.now, lambda instance: self.on_instance_problem(instance), mechanisms
        )
        # The pool of each known instance, by its id.
        self.pools = self.instance_pools.pools
        # Statements and transactions in progress that rely on a service's primary, by service.
        self.primary_in_flight: Counter[str] = Counter()
        # Promotions requested by this proxy that have not ended, by service.
        self.promotions_in_flight: Counter[str] = Counter()
        # When each retired incarnation was first seen as retired, on the lease clock.
        self.retired_at: dict[str, float] = {}
        # When the replacement of each primary in progress was first seen, by service.
        self.move_times = MoveTimes()
        self.primaries = PrimaryTracker(self.now)
        self.positions = PositionTracker(self.lease, self.now, mechanisms)
        # None until this proxy shuts down.
        self.shutdown: ShutdownSchedule | None = None
        # Newer versions of the configuration that other proxies have named.
        self.route_progress = RouteProgress(self.now)
        # Notified whenever the cluster state changes.
        self.changed = ChangeNotifier(reactor)
        # Called with the id of an instance that did not respond.
        self.on_instance_problem: Callable[[str], None] = lambda instance: None
        # Called when the known fleet has changed.
        self.on_fleet_changed: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._connector = connector
        # Seconds for which an instance still serves after it has announced its shutdown.
        self._drain_time_s = drain_time_s
        self._event_log = event_log
        self._seconds_since_boot = seconds_since_boot
        self._started_at = float(reactor.seconds())
        # When the store was first found restored, in seconds of the monotonic clock.
        self._era_entered_at = float("-inf")

    @property
    def versions(self) -> ViewVersions:
        """The versions up to which this proxy knows the store's contents."""
        return ViewVersions(
            self.records_revision, self.listed_instances.revision, self.routes.version
        )

    # Time.

    def now(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        return float(self._reactor.seconds())

    def lease_clock(self) -> float:
        """Return the time of the lease clock, suspended time included, in seconds."""
        return self._seconds_since_boot()

    @property
    def is_starting(self) -> bool:
        """True while first listings are missing and the startup timeout has not expired."""
        if not self.mechanisms.is_on(Mechanism.STARTUP_WAIT):
            return False
        knows_groups = self.leases.leases_start_at > float("-inf")
        is_complete = self.routes.version > 0 and knows_groups and self.directory_revision > 0
        return not is_complete and self.now() - self._started_at < STARTUP_TIMEOUT_S

    # Shutdown.

    def accepts_request(self, timeout: float) -> bool:
        """Return whether a request that takes at most `timeout` seconds ends before a shutdown."""
        return self.shutdown is None or self.shutdown.accepts_request(self.now(), timeout)

    def accepts_transaction(self) -> bool:
        """Return whether a transaction may begin."""
        return self.shutdown is None or self.shutdown.accepts_transaction(self.now())

    # Routes.

    def identify(self, key: str, route: Route) -> ClientAccount | None:
        """Return the account of a caller with this key on a route; None if it is not allowed."""
        return identify_caller(self.routes.accounts, key, route.is_public)

    def route(self, database: str) -> Route | None:
        """Return the route of a database; None when none is configured."""
        return self.routes.routes.get(database)

    # The fleet.

    def apply_proxy_records(self, listed: Mapping[str, ProxyRecord]) -> None:
        """Apply all records of proxies, by name, as of `records_revision`."""
        self.fleet_history, fleet = self.fleet_history.apply(
            listed, self.fleet, era_of(self.records_revision), self.lease_clock()
        )
        self._update_fleet(fleet)

    def _update_fleet(self, fleet: Fleet) -> None:
        """Replace the known fleet; an equal one has no effect."""
        if fleet == self.fleet:
            return
        previous, self.fleet = self.fleet, fleet
        names = sorted(previous.proxies.keys() | fleet.proxies.keys())
        changed = [name for name in names if previous.proxies.get(name) != fleet.proxies.get(name)]
        for name in changed[:MAX_FLEET_EVENT_LINES]:
            self._log_proxy_change(name, fleet.proxies.get(name))
        if len(changed) > MAX_FLEET_EVENT_LINES:
            omitted = len(changed) - MAX_FLEET_EVENT_LINES
            self._event_log.log_event(
                EventType.FLEET, outcome="changed", more=omitted, proxies=len(fleet.proxies)
            )
        retired = {r.incarnation for r in fleet.proxies.values() if r.retired}
        now = self.lease_clock()
        self.retired_at = {
            incarnation: self.retired_at.get(incarnation, now) for incarnation in retired
        }
        self.on_fleet_changed()
        self._update_connection_paths()
        self.changed.notify_all()

    def _log_proxy_change(self, name: str, record: ProxyRecord | None) -> None:
        self._event_log.log_event(
            EventType.FLEET,
            outcome="seen" if record else "gone",
            peer=name,
            incarnation=record.incarnation if record else "",
            retired=record.retired if record else False,
            stopping=record.stopping if record else False,
        )

    # Routes.

    def route_changes_since(self, version: int) -> RouteChanges | None:
        """Return what differs between `version` and the routes in force; None if not newer."""
        if version >= self.routes.version:
            return None
        return self._route_history.changes_since(version, self.routes)

    def apply_route_changes(self, changes: RouteChanges, origin: Origin) -> None:
        """Apply the changes to a version of the configuration; an older one has no effect.

        Raises `ChangesMismatchError` if they do not follow the version in force.
        """
        if changes.version > self.routes.version:
            self.update_routes(changes.apply_to(self.routes), origin)

    def record_routes_revision(self, revision: int) -> None:
        """Record that the routes in force are those of a revision of the store."""
        self.routes_revision = max(self.routes_revision, revision)

    def update_routes(self, table: RouteTable, origin: Origin) -> None:
        """Apply a version of the configuration; one that is not newer has no effect."""
        newest = self.routes.select_newer(table)
        if newest is self.routes:
            return
        self._route_history = self._route_history.record(self.routes, newest)
        previous, self.routes = self.routes.version, newest
        announcement = self.route_progress.complete(newest.version)
        self._event_log.log_event(
            EventType.ROUTES,
            version=newest.version,
            before=previous,
            routes=len(newest.routes),
            way=origin.way.value,
            peer=origin.peer,
            bytes=origin.transfer.size_bytes,
            took=round(origin.transfer.seconds, 3),
            heard_from=announcement.peer if announcement else "",
            after=round(self.now() - announcement.heard_at, 3) if announcement else 0.0,
        )
        self._update_connection_paths()
        self.changed.notify_all()

    # Instances.

    def update_directory(self, directory: InstanceDirectory) -> None:
        """Replace the known instances, and open, update or close their pools to match.

        They are those of `directory_revision`, which the caller has set before.
        The pool of an instance that was removed or replaced under the same id is closed.
        """
        previous, self.directory = self.directory, directory
        self.listed_instances = self.listed_instances.update(
            directory.listed_entries(), self.directory_revision
        )
        for name in previous.instances.keys() | directory.instances.keys():
            self._update_instance(previous.entry(name), directory.entry(name))
        self.changed.notify_all()

    def _update_instance(
        self, previous: InstanceEntry | None, current: InstanceEntry | None
    ) -> None:
        if previous == current:
            return
        entry = current or previous
        assert entry is not None
        self.instance_pools.update(entry.id, current)
        self._event_log.log_event(
            EventType.INSTANCE,
            instance=entry.id,
            service=entry.service,
            zone=entry.zone,
            state=current.state.value if current else "gone",
            role=entry.role.value,
            address=entry.address,
            born=entry.born,
        )

    def primary_accepts_work(self, instance: str) -> bool:
        """Return whether new work may be sent to an instance that is a primary."""
        return self.directory.accepts_work_as_primary(instance, self.now(), self._drain_time_s)

    def drains_for_at_least(self, instance: str, seconds: float) -> bool:
        """Return whether a primary is draining and still accepts work `seconds` from now."""
        deadline = self.directory.drain_deadline(instance, self._drain_time_s)
        return deadline is not None and self.now() + seconds < deadline

    # Connections to instances.

    def own_connection_pool(self, instance: str) -> InstancePool | None:
        """Return the pool of this proxy's own connections to an instance.

        None when the instance is unknown. Where this proxy normally forwards statements to
        connection owners, this is a pool besides the one of the forwarding links.
        """
        entry = self.directory.entry(instance)
        return self.instance_pools.own_connection_pool(entry) if entry else None

    def connection_owners(self, instance: str) -> tuple[str, ...]:
        """Return the connection owners of an instance; empty if every proxy connects itself."""
        entry = self.directory.entry(instance)
        return self._connector.connection_owners(entry) if entry else ()

    def owner_estimate(self, entry: InstanceEntry, account: str) -> OwnerEstimate:
        """Return what the connection owner of an instance that would be used has told."""
        return self._connector.owner_estimate(entry, account)

    def use_tunnel(self, instance: str, tunnel_route: TunnelRoute, peer: str) -> None:
        """Open connections to an instance through a tunnel of a peer for a limited time."""
        self._connector.use_tunnel(instance, tunnel_route)
        pool = self.own_connection_pool(instance)
        if pool is not None:
            pool.reset_backoff()
        self._event_log.log_event(
            EventType.SUSPICION, instance=instance, outcome="detour", peer=peer
        )

    def _update_connection_paths(self) -> None:
        """Choose connection paths again; invalidate connections whose kind of path changed."""
        previous = {
            name: self._connector.connection_path(pool.entry) for name, pool in self.pools.items()
        }
        self._connector.update_topology(self.fleet, self.routes.services)
        for name, pool in self.pools.items():
            if type(self._connector.connection_path(pool.entry)) is not type(previous[name]):
                pool.invalidate_connections()

    # Primaries.

    def lease(self, service: str) -> Lease | None:
        """Return the latest lease on a service's primary, which may have expired, or None."""
        return self.leases.lease(service)

    def update_leases(self, lease_table: LeaseTable) -> None:
        """Replace the lease table, and log the group records that changed."""
        previous, self.leases = self.leases, lease_table
        if lease_table.era != previous.era:
            self._era_entered_at = self.now()
        for service, versioned_record in lease_table.group_records.items():
            if previous.group_records.get(service) == versioned_record:
                continue
            self._log_group_record(versioned_record)
            if versioned_record.is_in_force:
                self.primaries.apply(versioned_record.record)
                self.move_times = self.move_times.apply(versioned_record.record, self.lease_clock())
                self._clear_primary_role_denial(versioned_record)
        self.changed.notify_all()

    def _clear_primary_role_denial(self, versioned_record: VersionedGroupRecord) -> None:
        """Clear the mark that the primary named by a new record denied its role earlier."""
        pool = self.pools.get(versioned_record.record.primary)
        if pool is not None and versioned_record.record.phase is GroupPhase.STABLE:
            pool.denies_primary_role = False

    def _log_group_record(self, versioned_record: VersionedGroupRecord) -> None:
        record = versioned_record.record
        self._event_log.log_event(
            EventType.GROUP,
            service=record.service,
            phase=record.phase.value,
            primary=record.primary,
            term=record.term,
            holder=record.holder,
            in_force=versioned_record.is_in_force,
            revision=versioned_record.revision,
            lease_asked_at=round(self.leases.leases_start_at, 3),
        )

    def expects_primary(self, service: str) -> bool:
        """Return whether a primary is likely to become available within a statement's timeout.

        This is the case while this process is starting, just after a restore of the store, at the
        beginning of a failover, while responsive proxies release their leases, and once a promotion
        has been requested. It is not the case while the leases of unresponsive proxies have to
        expire, or while no instance can be promoted without the loss of acknowledged commits.
        """
        versioned_record = self.leases.group_records.get(service)
        if self.is_starting:
            return True
        if versioned_record is not None and not self.leases.is_in_force(service):
            return self.now() - self._era_entered_at < RECORD_RECOVERY_TIMEOUT_S
        if versioned_record is None or versioned_record.record.phase is not GroupPhase.MOVING:
            return False
        if versioned_record.record.awaited:
            return False
        return self.primaries.expects_promotion(versioned_record.record)
