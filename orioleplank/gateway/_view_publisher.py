"""Publishes this proxy's view of the store to other proxies.

A new configuration is announced to a few proxies of the zone, which announce it to others.

The receiver dates a view by the time of its request less the age that the sender states, so a view
never counts as newer than it is.
"""

from __future__ import annotations

from typing import Any

from orioleplank.decision.membership import (
    PeerMessage,
    ProxyRecord,
    ViewAsked,
    ViewTold,
    ViewVersions,
    choose_tree_children,
)
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._fleet_membership import FleetMembership
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._store_view import (
    VIEW_PATH,
    StoreView,
    VersionedProxyRecord,
    parse_known_versions,
)
from orioleplank.gateway._view_codec import ViewEncoder
from orioleplank.http import HttpServerFactory, Request, Response

# A view older than this is not served: with a lease duration of 9 s (`LEASE_DURATION_S`), leases
# granted from it would expire almost at once.
MAX_SERVED_AGE_S = 8.0
# How long after its latest poll a proxy is notified of changes: several poll intervals.
SUBSCRIPTION_TIMEOUT_S = 3.0
# Interval at which changes are checked for even without a notification.
CHANGE_CHECK_INTERVAL_S = 10.0


class ViewPublisher:
    """Serves this proxy's view over HTTP, and notifies its subscribers when it has changed."""

    def __init__(
        self, cluster_state: ClusterState, membership: FleetMembership, own_record: ProxyRecord
    ) -> None:
        self._cluster_state = cluster_state
        self._membership = membership
        self._own_record = own_record
        self._encoder = ViewEncoder()
        # When each subscriber last polled, in seconds of the monotonic clock, by proxy.
        self._last_polls: dict[str, float] = {}
        self._published_versions = cluster_state.versions
        self.socket: PeerSocket | None = None

    def build_site(self, reactor: Any) -> HttpServerFactory:
        """Return an HTTP site that serves the view."""
        return HttpServerFactory(reactor, self.respond)

    def respond(self, request: Request) -> Response:
        """Serve what is newer than the requesting proxy's view; 503 while it is too old to use."""
        path, _, query = request.target.partition("?")
        if path != VIEW_PATH:
            return Response(404)
        try:
            known = parse_known_versions(query)
        except ValueError:
            return Response(400)
        view = self.build_view(known)
        if view.age > MAX_SERVED_AGE_S:
            return Response(503)
        return Response(200, self._encoder.encode(view))

    def build_view(self, known: ViewVersions) -> StoreView:
        """Return the contents of the store that are newer than `known`."""
        cluster_state, revisions = self._cluster_state, self._membership.proxy_revisions
        fleet = cluster_state.fleet.proxies
        versioned_records = (
            VersionedProxyRecord(record, revisions.get(name, 0)) for name, record in fleet.items()
        )
        return StoreView(
            self._age,
            cluster_state.versions,
            tuple(fleet) if self._membership.removal_revision > known.records else None,
            tuple(proxy for proxy in versioned_records if proxy.revision > known.records),
            tuple(
                group
                for group in cluster_state.leases.group_records.values()
                if group.revision > known.records
            ),
            cluster_state.route_changes_since(known.routes),
            cluster_state.listed_instances.changes_since(known.instances),
        )

    def handle_message(self, message: PeerMessage) -> None:
        """Answer a poll with the versions of this view, and record the sender as a subscriber."""
        match message:
            case ViewAsked(sender, number):
                self._last_polls[sender] = self._cluster_state.now()
                self._send_versions(sender, number)

    def subscribers(self) -> tuple[ProxyRecord, ...]:
        """Return the registered proxies that have polled this one recently."""
        oldest_poll = self._cluster_state.now() - SUBSCRIPTION_TIMEOUT_S
        names = [name for name, polled_at in self._last_polls.items() if polled_at >= oldest_poll]
        known = (self._cluster_state.fleet.proxies.get(name) for name in names)
        return tuple(record for record in known if record is not None)

    async def publish_changes(self) -> None:
        """Notify the subscribers whenever the view has changed; runs forever."""
        while True:
            await self._cluster_state.changed.wait(CHANGE_CHECK_INTERVAL_S)
            versions = self._cluster_state.versions
            if versions == self._published_versions:
                continue
            has_new_routes = versions.routes != self._published_versions.routes
            self._published_versions = versions
            subscribers = self.subscribers()
            self._last_polls = {
                record.name: self._last_polls[record.name] for record in subscribers
            }
            for record in self._choose_tree_children() if has_new_routes else subscribers:
                self._send_versions(record.name, 0)

    def _choose_tree_children(self) -> tuple[ProxyRecord, ...]:
        fleet = self._cluster_state.fleet
        return choose_tree_children(self._own_record, fleet, self._last_polls)

    @property
    def _age(self) -> float:
        return self._cluster_state.lease_clock() - self._cluster_state.leases.leases_start_at

    def _send_versions(self, name: str, number: int) -> None:
        record = self._cluster_state.fleet.proxies.get(name)
        if record is not None and self.socket is not None:
            state = self._cluster_state
            message = ViewTold(
                self._own_record.name, number, self._age, state.versions, state.routes_revision
            )
            self.socket.send(record.address, message)
