"""What one proxy believes of routes, instances, primaries and other proxies."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from orioleplank.decision import Position
from orioleplank.decision.group import (
    GroupPhase,
    Lease,
    LeaseTable,
    ObservedPosition,
    PositionHistory,
    VersionedGroupRecord,
)
from orioleplank.decision.instances import InstanceDirectory, InstanceEntry, Route, RouteTable
from orioleplank.decision.membership import Fleet, PrimaryPosition, ProxyRecord, ViewVersions
from orioleplank.decision.routing import DirectPath
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._instance_connector import ConnectionLimit, Dial, InstanceConnector
from orioleplank.gateway._interfaces import TunnelRoute
from orioleplank.gateway._notifier import ChangeNotifier
from orioleplank.gateway._pool import InstancePool

# How long a connection held for other proxies is kept unused, in seconds.
UNUSED_S = 3.0
# Lines about single proxies for one change of the fleet; more are summed up.
FLEET_LINES = 4
# Time in which the words of proxies that live come in, in seconds: two rounds between regions, and
# the end of the work at a primary that is left on purpose.
WORDS_S = 1.0
# Time for a new process to have its first listing from the store, in seconds: a few tries of a slow
# store. Requests wait that long before they are refused.
START_LIMIT_S = 1.5
# Time in which an ordered promotion takes effect, in seconds.
PROMOTION_S = 2.0


class ClusterState:
    """The proxy's beliefs, and a pool of connections for each instance it believes in."""

    def __init__(
        self,
        reactor: Any,
        ways: InstanceConnector,
        journal: EventLog,
        boot_now: Callable[[], float],
        drain: float,
    ) -> None:
        self.routes = RouteTable()
        self.directory = InstanceDirectory()
        # The store's revision up to which the product's own records are known completely.
        self.records_revision = 0
        # The store's revision of the newest listing of instances.
        self.directory_revision = 0
        self.leases = LeaseTable()
        self.fleet = Fleet()
        self.pools: dict[str, InstancePool] = {}
        # Statements and transactions that rely on a service's primary now.
        self.primary_in_flight: Counter[str] = Counter()
        # When runs of proxies were first seen as retired, in seconds of the clock of leases.
        self.retired_at: dict[str, float] = {}
        # When a read wanted a position of a service last, in seconds, by its name.
        self.position_requested_at: dict[str, float] = {}
        # Fires whenever a belief changes.
        self.changed = ChangeNotifier(reactor)
        # Called with an instance's id whenever it did not answer.
        self.on_instance_problem: Callable[[str], None] = lambda instance: None
        self._reactor = reactor
        self._ways = ways
        # Seconds for which an instance serves after it has said that it will end.
        self._drain = drain
        # Connections held for other proxies to instances that this one uses through owners.
        self._carrier_pools: dict[str, InstancePool] = {}
        self._journal = journal
        self._boot_now = boot_now
        self._started_at = float(reactor.seconds())
        self._moving_since: dict[str, tuple[bool, float]] = {}
        self._positions: dict[str, tuple[int, PositionHistory]] = {}

    @property
    def versions(self) -> ViewVersions:
        """How new this proxy's view of the store is."""
        return ViewVersions(self.records_revision, self.directory_revision, self.routes.version)

    # Time.

    def now(self) -> float:
        """Return the steady clock, in seconds."""
        return float(self._reactor.seconds())

    def lease_clock(self) -> float:
        """Return the clock of leases, which also counts suspended time, in seconds."""
        return self._boot_now()

    @property
    def is_starting(self) -> bool:
        """True while the first listings from the store are likely to come soon."""
        knows_groups = self.leases.listing_requested_at > float("-inf")
        is_complete = self.routes.version > 0 and knows_groups and self.directory_revision > 0
        return not is_complete and self.now() - self._started_at < START_LIMIT_S

    # Routes.

    def route(self, database: str) -> Route | None:
        """Return the route of a database, or None."""
        return self.routes.routes.get(database)

    # The fleet.

    def update_fleet(self, fleet: Fleet) -> None:
        """Take the registered proxies."""
        if fleet == self.fleet:
            return
        before, self.fleet = self.fleet, fleet
        names = sorted(before.proxies.keys() | fleet.proxies.keys())
        changed = [n for n in names if before.proxies.get(n) != fleet.proxies.get(n)]
        for name in changed[:FLEET_LINES]:
            self._note_proxy(name, fleet.proxies.get(name))
        if len(changed) > FLEET_LINES:
            more = len(changed) - FLEET_LINES
            self._journal.log_event(
                EventType.FLEET, outcome="changed", more=more, proxies=len(fleet.proxies)
            )
        retired = {r.incarnation for r in fleet.proxies.values() if r.retired}
        now = self.lease_clock()
        self.retired_at = {run: self.retired_at.get(run, now) for run in retired}
        self._follow_ways()
        self.changed.notify_all()

    def _note_proxy(self, name: str, record: ProxyRecord | None) -> None:
        self._journal.log_event(
            EventType.FLEET,
            outcome="seen" if record else "gone",
            peer=name,
            incarnation=record.incarnation if record else "",
            retired=record.retired if record else False,
            stopping=record.stopping if record else False,
        )

    # Routes.

    def update_routes(self, table: RouteTable) -> None:
        """Take a version of the configuration; an older one changes nothing."""
        newest = self.routes.select_newer(table)
        if newest is self.routes:
            return
        before, self.routes = self.routes.version, newest
        self._journal.log_event(
            EventType.ROUTES, version=newest.version, before=before, routes=len(newest.routes)
        )
        self._follow_ways()
        self.changed.notify_all()

    # Instances.

    def update_directory(self, directory: InstanceDirectory) -> None:
        """Take what is known of the instances; pools follow it."""
        before, self.directory = self.directory, directory
        for name in before.instances.keys() | directory.instances.keys():
            self._follow_entry(before.entry(name), directory.entry(name))
        self.changed.notify_all()

    def _follow_entry(self, before: InstanceEntry | None, after: InstanceEntry | None) -> None:
        if before == after:
            return
        entry = after or before
        assert entry is not None
        for pools in (self.pools, self._carrier_pools):
            pool = pools.get(entry.id)
            if pool is not None and (after is None or _is_other_life(pool.entry, after)):
                del pools[entry.id]
                pool.close()
            elif pool is not None and after is not None:
                pool.entry = after
        if after is not None and after.id not in self.pools:
            self.pools[after.id] = self._build_pool(
                after, self._ways.open, self._ways.connection_limit
            )
        self._journal.log_event(
            EventType.INSTANCE,
            instance=entry.id,
            service=entry.service,
            zone=entry.zone,
            state=after.state.value if after else "gone",
            role=entry.role.value,
            address=entry.address,
            born=entry.born,
        )

    def _build_pool(self, entry: InstanceEntry, dial: Dial, share: ConnectionLimit) -> InstancePool:
        def tell_trouble(instance: str) -> None:
            self.on_instance_problem(instance)

        return InstancePool(entry, dial, self.now, share, tell_trouble)

    def primary_accepts_work(self, instance: str) -> bool:
        """Tell whether a primary may be sent new work."""
        return self.directory.accepts_work_as_primary(instance, self.now(), self._drain)

    def drains_for_at_least(self, instance: str, seconds: float) -> bool:
        """Tell whether a primary drains and may still be sent work `seconds` from now."""
        until = self.directory.drain_deadline(instance, self._drain)
        return until is not None and self.now() + seconds < until

    # Ways to instances.

    def direct_pool(self, instance: str) -> InstancePool | None:
        """Return this proxy's own connections to an instance; None when it is not known."""
        entry = self.directory.entry(instance)
        if entry is None:
            return None
        if isinstance(self._ways.connection_path(entry), DirectPath):
            return self.pools.get(instance)
        pool = self._carrier_pools.get(instance)
        if pool is None:
            pool = self._build_pool(
                entry, self._ways.open_directly, self._ways.backup_connection_limit
            )
            self._carrier_pools[instance] = pool
        return pool

    def close_unused_connections(self) -> None:
        """Close connections held for other proxies that none of them uses any more."""
        for pool in self._carrier_pools.values():
            if self.now() - pool.last_released_at >= UNUSED_S:
                pool.close_idle_connections()

    def connection_owners(self, instance: str) -> tuple[str, ...]:
        """Return who owns an instance's connections; nobody where every proxy has some."""
        entry = self.directory.entry(instance)
        return self._ways.connection_owners(entry) if entry else ()

    def use_tunnel(self, instance: str, detour: TunnelRoute, peer: str) -> None:
        """Reach an instance through a peer for a while."""
        self._ways.use_tunnel(instance, detour)
        pool = self.direct_pool(instance)
        if pool is not None:
            pool.reset_backoff()
        self._journal.log_event(EventType.SUSPICION, instance=instance, outcome="detour", peer=peer)

    def _follow_ways(self) -> None:
        """Let pools whose instance is reached by another way now open new connections."""
        before = {name: self._ways.connection_path(pool.entry) for name, pool in self.pools.items()}
        self._ways.update_topology(self.fleet, self.routes.services)
        for name, pool in self.pools.items():
            if type(self._ways.connection_path(pool.entry)) is not type(before[name]):
                pool.invalidate_connections()

    # Primaries.

    def lease(self, service: str) -> Lease | None:
        """Return the last lease on the primary of a service, which may have ended; or None."""
        return self.leases.lease(service)

    def update_leases(self, book: LeaseTable) -> None:
        """Take a new state of the records of groups."""
        before, self.leases = self.leases, book
        for service, seen in book.group_records.items():
            if before.group_records.get(service) != seen:
                self._note_group(seen)
                self._note_move(seen)
                self._expect_lead(seen)
        self.changed.notify_all()

    def _note_move(self, seen: VersionedGroupRecord) -> None:
        """Keep since when a move has been in its present stage."""
        service, released = seen.record.service, seen.record.released
        if seen.record.phase is not GroupPhase.MOVING:
            self._moving_since.pop(service, None)
        elif self._moving_since.get(service, (None, 0.0))[0] is not released:
            self._moving_since[service] = (released, self.now())

    def _expect_lead(self, seen: VersionedGroupRecord) -> None:
        """Believe a new record over what its primary answered before."""
        pool = self.pools.get(seen.record.primary)
        if pool is not None and seen.record.phase is GroupPhase.STABLE:
            pool.denies_primary_role = False

    def _note_group(self, seen: VersionedGroupRecord) -> None:
        record = seen.record
        self._journal.log_event(
            EventType.GROUP,
            service=record.service,
            phase=record.phase.value,
            primary=record.primary,
            term=record.term,
            holder=record.holder,
            revision=seen.revision,
            lease_asked_at=round(self.leases.listing_requested_at, 3),
        )

    def expects_primary(self, service: str) -> bool:
        """Tell whether a new primary is likely to lead within a statement's time.

        It does when this process has just started, at the beginning of a move, when words come in
        quickly, and once a promotion is ordered; not while leases of proxies that are silent have
        to be waited out.
        """
        seen = self.leases.group_records.get(service)
        if self.is_starting:
            return True
        if seen is None or seen.record.phase is not GroupPhase.MOVING:
            return False
        since = self._moving_since.get(service, (False, 0.0))[1]
        limit = PROMOTION_S if seen.record.released else WORDS_S
        return self.now() - since < limit

    # Positions.

    def record_position(self, lease: Lease, service: str, asked_at: float, at: Position) -> None:
        """Take the position in an answer of the primary to a question asked at `asked_at`."""
        if lease.is_valid_at(asked_at):
            self._history(lease, service).add(asked_at, at)

    def record_peer_position(self, note: PrimaryPosition, asked_at: float) -> None:
        """Take a position that another proxy has learned; the primary was asked at `asked_at`."""
        lease = self.lease(note.service)
        if lease is not None and lease.revision == note.revision:
            self.record_position(lease, note.service, asked_at, note.position)

    def newest_position(self, service: str) -> ObservedPosition | None:
        """Return the newest position of the primary that is in force, or None."""
        lease = self.lease(service)
        return self._history(lease, service).newest if lease else None

    def find_min_position(self, service: str, known_since: float) -> Position | None:
        """Return a position that holds every commit acknowledged before `known_since`."""
        self.position_requested_at[service] = self.now()
        lease = self.lease(service)
        return self._history(lease, service).lowest_position_since(known_since) if lease else None

    def _history(self, lease: Lease, service: str) -> PositionHistory:
        revision, history = self._positions.get(service, (0, PositionHistory()))
        if revision != lease.revision:
            history = PositionHistory()
            self._positions[service] = (lease.revision, history)
        return history


def _is_other_life(before: InstanceEntry, after: InstanceEntry) -> bool:
    if before.address != after.address or before.service != after.service:
        return True
    return bool(before.born and after.born and before.born != after.born)
