"""Follows routes and instances in the store, and notes when the store is away."""

from __future__ import annotations

from random import Random
from typing import Any

from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._interfaces import Changes, Listing, RemovedObject, Store
from orioleplank.gateway._list_watcher import ListWatcher, WatchHandler
from orioleplank.gateway._store_read_gate import StoreReadGate

# Longest wait of a watch for routes, in seconds: a watch that went silent is noticed in time.
ROUTES_WATCH_S = 2.0
# Longest wait of a watch for instances, in seconds.
INSTANCES_WATCH_S = 3.0


class PlatformWatcher:
    """Keeps routes and instances current."""

    def __init__(
        self,
        reactor: Any,
        store: Store,
        beliefs: ClusterState,
        journal: EventLog,
        random: Random,
        gate: StoreReadGate,
    ) -> None:
        self._beliefs = beliefs
        self._journal = journal
        self._gate = gate
        self._trouble = ""
        # When the store was heard again after it was away, in seconds.
        self._contact_at = float("-inf")
        routes: WatchHandler[RouteTable] = WatchHandler(
            self._take_routes, self._take_route_changes, self.record_store_reachability
        )
        instances: WatchHandler[InstanceEntry] = WatchHandler(
            self._take_instances, self._take_instance_changes, self.record_store_reachability
        )
        now = beliefs.lease_clock
        self.route_watcher = ListWatcher(
            reactor, store.routes, routes, now, ROUTES_WATCH_S, random, gate
        )
        self.instance_watcher = ListWatcher(
            reactor, store.instances, instances, now, INSTANCES_WATCH_S, random, gate
        )

    @property
    def is_store_unreachable(self) -> bool:
        """True while the store does not answer this proxy."""
        return bool(self._trouble)

    def record_store_reachability(self, trouble: str) -> None:
        """Take note whether the store answered; `trouble` is why it did not."""
        self._gate.set_store_reachable(not trouble)
        if bool(trouble) == bool(self._trouble):
            return
        self._trouble = trouble
        self._journal.log_event(
            EventType.STORE, outcome="lost" if trouble else "reached", why=trouble
        )
        if not trouble:
            self._contact_at = self._beliefs.now()

    def expire_instances(self) -> None:
        """Drop instances that stay missing while the store is reached."""
        if self._trouble:
            return
        beliefs = self._beliefs
        records = (seen.record for seen in beliefs.leases.group_records.values())
        leading = frozenset(record.primary for record in records)
        left = beliefs.directory.expire(beliefs.now(), self._contact_at, leading)
        if left is not beliefs.directory:
            beliefs.update_directory(left)

    def _take_routes(self, listing: Listing[RouteTable], asked_at: float) -> None:
        for table in listing.items:
            self._beliefs.update_routes(table)

    def _take_route_changes(self, changes: Changes[RouteTable]) -> None:
        for item in changes.items:
            if not isinstance(item, RemovedObject):
                self._beliefs.update_routes(item)

    def _take_instances(self, listing: Listing[InstanceEntry], asked_at: float) -> None:
        beliefs = self._beliefs
        if listing.revision < beliefs.directory_revision:
            return
        beliefs.directory_revision = listing.revision
        beliefs.update_directory(beliefs.directory.apply_listing(listing.items, beliefs.now()))

    def _take_instance_changes(self, changes: Changes[InstanceEntry]) -> None:
        beliefs, directory = self._beliefs, self._beliefs.directory
        for item in changes.items:
            match item:
                case RemovedObject(name):
                    directory = directory.mark_missing(name, beliefs.now())
                case _:
                    directory = directory.upsert(item, beliefs.now())
        beliefs.directory_revision = max(beliefs.directory_revision, changes.revision)
        if directory != beliefs.directory:
            beliefs.update_directory(directory)
