"""Fetches views of other proxies, one at a time, and applies them to the cluster state."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct
from msgspec.structs import replace
from twisted.internet.defer import Deferred

from orioleplank.decision.instances import ChangesMismatchError, InstanceChanges, RouteChanges
from orioleplank.decision.membership import ProxyRecord, ViewVersions
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._fleet_membership import FleetMembership
from orioleplank.gateway._store_view import StoreView, ViewFetcher, ViewUnavailableError
from orioleplank.gateway._transfer import Origin, TransferWay

# Proxies whose announcements are kept while a view is being fetched.
MAX_PENDING_FETCHES = 4


class _PendingFetch(Struct, frozen=True):
    """An announcement that came while another view was being fetched."""

    peer: ProxyRecord
    # What the peer has announced.
    versions: ViewVersions


class ViewUpdater:
    """Brings this proxy up to date with the views of others.

    Views are dated by the time of the request less the age that the peer states, so they never
    count as newer than they are.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        membership: FleetMembership,
        event_log: EventLog,
        views: ViewFetcher,
    ) -> None:
        self._cluster_state = cluster_state
        self._membership = membership
        self._event_log = event_log
        self._views = views
        self._is_fetching = False
        # What other proxies have announced meanwhile, in order, by proxy.
        self._pending: dict[str, _PendingFetch] = {}
        # True after changes of the configuration that led to other content than announced.
        self._needs_all_routes = False
        # Returns how views of a proxy are logged.
        self.classify: Callable[[ProxyRecord], TransferWay] = lambda peer: TransferWay.PEER
        # Called after a view was applied.
        self.on_applied: Callable[[], None] = lambda: None
        # Called with the proxy whose view could not be fetched.
        self.on_failed: Callable[[ProxyRecord], None] = lambda peer: None

    @property
    def is_fetching(self) -> bool:
        """True while a view is being fetched."""
        return self._is_fetching

    def fetch(self, peer: ProxyRecord, versions: ViewVersions) -> None:
        """Fetch the view of a proxy that has announced `versions`.

        While another view is being fetched, the announcement is kept for afterwards.
        """
        if self._is_fetching:
            if peer.name in self._pending or len(self._pending) < MAX_PENDING_FETCHES:
                self._pending[peer.name] = _PendingFetch(peer, versions)
            return
        self._is_fetching = True
        Deferred.fromCoroutine(self._fetch(peer)).addErrback(self._log_failure)

    async def _fetch(self, peer: ProxyRecord) -> None:
        requested_at = self._cluster_state.lease_clock()
        try:
            fetched = await self._views.fetch(peer.address, self._known_versions())
        except ViewUnavailableError as error:
            self._log_no_view(peer.name, error.detail)
            self.on_failed(peer)
        else:
            origin = Origin(self.classify(peer), peer.name, fetched.transfer)
            self._apply(fetched.view, requested_at, origin)
            self.on_applied()
        finally:
            self._is_fetching = False
        self._fetch_pending()

    def _fetch_pending(self) -> None:
        """Fetch what was announced meanwhile, unless it has arrived by now."""
        while self._pending and not self._is_fetching:
            pending = self._pending.pop(next(iter(self._pending)))
            if not self._cluster_state.versions.is_at_least(pending.versions):
                self.fetch(pending.peer, pending.versions)

    def _known_versions(self) -> ViewVersions:
        """Return the versions beyond which the next view is requested."""
        versions = self._cluster_state.versions
        return replace(versions, routes=0) if self._needs_all_routes else versions

    def _apply(self, view: StoreView, requested_at: float, origin: Origin) -> None:
        """Apply a view that was requested at `requested_at`, on the lease clock."""
        if view.routes is not None:
            self._apply_routes(view.routes, origin)
        if view.instances is not None:
            self._apply_instances(view.instances)
        self._membership.apply_view(view, requested_at - view.age)

    def _apply_routes(self, changes: RouteChanges, origin: Origin) -> None:
        """Apply changes of the configuration.

        They do not apply if another version has come into force since the request; the next view
        has what then differs. If they follow the version in force and lead to other content than
        they should, the whole configuration is requested.
        """
        is_next = changes.base == self._cluster_state.routes.version
        try:
            self._cluster_state.apply_route_changes(changes, origin)
        except ChangesMismatchError as error:
            self._needs_all_routes = is_next
            self._log_no_view(origin.peer, str(error))
        else:
            self._needs_all_routes = False

    def _apply_instances(self, changes: InstanceChanges) -> None:
        """Apply changes of the instances, unless what this proxy knows is newer by now."""
        cluster_state = self._cluster_state
        entries = cluster_state.listed_instances.find_entries(changes)
        if entries is None or changes.revision <= cluster_state.directory_revision:
            return
        cluster_state.directory_revision = changes.revision
        cluster_state.update_directory(
            cluster_state.directory.apply_listing(entries.values(), cluster_state.now())
        )

    def _log_no_view(self, peer: str, reason: str) -> None:
        self._event_log.log_event(EventType.STORE, outcome="no view", peer=peer, why=reason)

    def _log_failure(self, failure: object) -> None:
        self._event_log.log_event(EventType.ERROR, step="fetch view", detail=str(failure))
