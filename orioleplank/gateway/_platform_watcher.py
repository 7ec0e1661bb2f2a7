"""Watches routes and instances in the store, and tracks whether the store is reachable."""

from __future__ import annotations

from random import Random
from typing import Any

from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._interfaces import Changes, Listing, RemovedObject, Store
from orioleplank.gateway._list_watcher import ListWatcher, WatchHandler
from orioleplank.gateway._store_read_gate import StoreReadGate
from orioleplank.gateway._transfer import Origin, TransferWay

# Longest duration of one watch of routes: short enough to detect a stalled watch in time.
ROUTES_WATCH_TIMEOUT_S = 2.0
# Longest duration of one watch of instances.
INSTANCES_WATCH_TIMEOUT_S = 3.0


class PlatformWatcher:
    """Applies routes and instances from the store to the cluster state, and expires instances."""

    def __init__(
        self,
        reactor: Any,
        store: Store,
        cluster_state: ClusterState,
        event_log: EventLog,
        random: Random,
        gate: StoreReadGate,
    ) -> None:
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._gate = gate
        self._unreachable_reason = ""
        # When the store last became reachable again, in seconds of the monotonic clock.
        self._reachable_since = float("-inf")
        routes: WatchHandler[RouteTable] = WatchHandler(
            self._apply_routes,
            self._apply_route_changes,
            self.record_store_reachability,
            self._record_routes_revision,
        )
        instances: WatchHandler[InstanceEntry] = WatchHandler(
            self._apply_instances, self._apply_instance_changes, self.record_store_reachability
        )
        lease_clock = cluster_state.lease_clock
        self.route_watcher = ListWatcher(
            reactor,
            store.routes,
            routes,
            lease_clock,
            ROUTES_WATCH_TIMEOUT_S,
            random,
            gate,
            get_known_revision=lambda: cluster_state.routes_revision,
        )
        self.instance_watcher = ListWatcher(
            reactor,
            store.instances,
            instances,
            lease_clock,
            INSTANCES_WATCH_TIMEOUT_S,
            random,
            gate,
        )

    @property
    def is_store_unreachable(self) -> bool:
        """True while the store does not respond to this proxy."""
        return bool(self._unreachable_reason)

    def record_store_reachability(self, reason: str) -> None:
        """Record whether the store responded; `reason` says why not, and is empty on success."""
        self._gate.set_store_reachable(not reason)
        if bool(reason) == bool(self._unreachable_reason):
            return
        self._unreachable_reason = reason
        self._event_log.log_event(
            EventType.STORE, outcome="lost" if reason else "reached", why=reason
        )
        if not reason:
            self._reachable_since = self._cluster_state.now()

    def expire_instances(self) -> None:
        """Remove instances that stay missing while the store is reachable."""
        if self._unreachable_reason:
            return
        cluster_state = self._cluster_state
        directory = cluster_state.directory.expire(
            cluster_state.now(), self._reachable_since, cluster_state.leases.primaries
        )
        if directory is not cluster_state.directory:
            cluster_state.update_directory(directory)

    def _apply_routes(self, listing: Listing[RouteTable], requested_at: float) -> None:
        for table in listing.items:
            origin = Origin(TransferWay.LISTING, "", listing.transfer)
            self._cluster_state.update_routes(table, origin)

    def _apply_route_changes(self, changes: Changes[RouteTable]) -> None:
        for item in changes.items:
            if not isinstance(item, RemovedObject):
                origin = Origin(TransferWay.WATCH, "", changes.transfer)
                self._cluster_state.update_routes(item, origin)

    def _record_routes_revision(self, revision: int) -> None:
        if self._cluster_state.routes.version > 0:
            self._cluster_state.record_routes_revision(revision)

    def _apply_instances(self, listing: Listing[InstanceEntry], requested_at: float) -> None:
        cluster_state = self._cluster_state
        if listing.revision < cluster_state.directory_revision:
            return
        cluster_state.directory_revision = listing.revision
        cluster_state.update_directory(
            cluster_state.directory.apply_listing(listing.items, cluster_state.now())
        )

    def _apply_instance_changes(self, changes: Changes[InstanceEntry]) -> None:
        cluster_state, directory = self._cluster_state, self._cluster_state.directory
        for item in changes.items:
            match item:
                case RemovedObject(name):
                    directory = directory.mark_missing(name, cluster_state.now())
                case _:
                    directory = directory.upsert(item, cluster_state.now())
        cluster_state.directory_revision = max(cluster_state.directory_revision, changes.revision)
        if directory != cluster_state.directory:
            cluster_state.update_directory(directory)
