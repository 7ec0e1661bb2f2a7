"""Subscription to the store view of a nearby proxy, with reading the store itself as the fallback.

Most proxies take the store's contents from another proxy, which reduces the load of the store.
Without a usable source the read gate is opened, and this proxy reads the store itself.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from msgspec.structs import replace

from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.membership import (
    TREE_FAN_OUT,
    PeerMessage,
    Ping,
    ProxyRecord,
    ViewAsked,
    ViewTold,
    ViewVersions,
    choose_view_source,
)
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._fleet_membership import FleetMembership
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._store_read_gate import StoreReadGate
from orioleplank.gateway._store_view import ViewFetcher
from orioleplank.gateway._transfer import TransferWay
from orioleplank.gateway._view_updater import ViewUpdater

# Interval of the polls of the source. After `SOURCE_UNRESPONSIVE_AFTER_POLLS` unanswered ones
# another source is used, still within the time in which a new configuration has to be in force.
VIEW_POLL_INTERVAL_S = 0.4
# Unanswered polls after which a source is avoided.
SOURCE_UNRESPONSIVE_AFTER_POLLS = 2
# How long a source that is unresponsive or out of date is avoided.
SOURCE_AVOIDANCE_S = 3.0
# A view of at least this age is stale. The limit allows for the renewal interval of the source and
# a slow response of the store. The rest of the time in which a configuration has to be in force is
# left for reading the store.
MAX_VIEW_AGE_S = 2.0
# How long a new configuration that the source has named in response to a poll is expected from the
# tree of the zone, before it is fetched from the source.
TREE_TIMEOUT_S = 0.3
# The number of the first poll is chosen at random below this.
INITIAL_REQUEST_NUMBER_LIMIT = 2**40
# Number of latest polls whose send times are kept.
KEPT_POLLS = 8


class ViewSubscriber:
    """Polls a source for newer views, and decides whether this proxy has to read the store itself.

    Which proxy is the source is chosen again with each poll; `ViewUpdater` fetches the views.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        membership: FleetMembership,
        event_log: EventLog,
        own_record: ProxyRecord,
        random: Random,
        views: ViewFetcher,
        gate: StoreReadGate,
        record_store_reachability: Callable[[str], None],
    ) -> None:
        self._cluster_state = cluster_state
        self._membership = membership
        self._event_log = event_log
        self._own_record = own_record
        self._random = random
        self._updater = ViewUpdater(cluster_state, membership, event_log, views)
        self._updater.classify = self._classify
        self._updater.on_applied = self._update_gate
        self._updater.on_failed = self._handle_failed_fetch
        self._gate = gate
        self._record_store_reachability = record_store_reachability
        self._source: ProxyRecord | None = None
        # When each poll was sent, on the lease clock, by its number.
        self._poll_times: dict[int, float] = {}
        # Starts at random, so that a response to an earlier incarnation matches no current poll.
        self._request_number = random.randrange(INITIAL_REQUEST_NUMBER_LIMIT)
        self._unanswered_polls = 0
        # End of the time for which each source is avoided, on the monotonic clock, by proxy.
        self._avoided_until: dict[str, float] = {}
        # True once the source has sent a current response since it was chosen.
        self._is_confirmed = False
        self.socket: PeerSocket | None = None

    @property
    def source(self) -> ProxyRecord | None:
        """The proxy whose view this one follows; None while there is no source."""
        return self._source

    # Polling.

    def poll_source(self) -> None:
        """Choose a source if necessary, poll it, and open or close the read gate accordingly."""
        if self._unanswered_polls >= SOURCE_UNRESPONSIVE_AFTER_POLLS and self._source is not None:
            self._avoid_source("silent")
        self._choose_source()
        self._send_poll()
        self._update_gate()

    def handle_message(self, message: PeerMessage) -> None:
        """Handle the source's response to a poll, and announcements of newer views.

        Other proxies than the source announce a newer configuration too: the one above this proxy
        in the tree of the zone, and any that pings it. After a restore the store may have an older
        one than this proxy's peers, until the operator writes it again.
        """
        match message:
            case ViewTold(sender) if self._source is not None and sender == self._source.name:
                self._handle_response(message, self._source)
                self._update_gate()
            case ViewTold(sender, 0, _, versions):
                self._fetch_announced(sender, replace(versions, records=0, instances=0))
            case Ping(sender, _, routes):
                self._fetch_announced(sender, ViewVersions(0, 0, routes))

    def _fetch_announced(self, sender: str, versions: ViewVersions) -> None:
        """Fetch a newer configuration from a proxy other than the source that has announced it."""
        peer = self._cluster_state.fleet.proxies.get(sender)
        if peer is None or versions.routes <= self._cluster_state.routes.version:
            return
        self._cluster_state.route_progress.announce(versions.routes, sender)
        self._updater.fetch(peer, versions)

    def _choose_source(self) -> None:
        previous_name = self._source.name if self._source else ""
        fleet, is_registered = self._cluster_state.fleet, self._membership.is_registered
        self._source = (
            choose_view_source(self._own_record, fleet, self._is_avoided)
            if is_registered and self._cluster_state.mechanisms.is_on(Mechanism.VIEW_SOURCES)
            else None
        )
        name = self._source.name if self._source else ""
        if name != previous_name:
            self._unanswered_polls = 0
            self._is_confirmed = False
            self._poll_times.clear()
            self._event_log.log_event(
                EventType.STORE, outcome="source chosen", peer=name or "the store"
            )

    def _send_poll(self) -> None:
        if self._source is None or self.socket is None:
            return
        self._request_number += 1
        self._unanswered_polls += 1
        self._poll_times[self._request_number] = self._cluster_state.lease_clock()
        self._poll_times.pop(self._request_number - KEPT_POLLS, None)
        self.socket.send(
            self._source.address, ViewAsked(self._own_record.name, self._request_number)
        )

    def _handle_response(self, response: ViewTold, source: ProxyRecord) -> None:
        self._unanswered_polls = 0
        if response.age >= MAX_VIEW_AGE_S:
            self._avoid_source("out of date")
            return
        self._is_confirmed = True
        if response.versions.routes > self._cluster_state.routes.version:
            self._cluster_state.route_progress.announce(response.versions.routes, source.name)
        if response.versions.routes == self._cluster_state.routes.version:
            self._cluster_state.record_routes_revision(response.routes_revision)
        if not self._cluster_state.versions.is_at_least(response.versions):
            if not self._awaits_tree(response):
                self._updater.fetch(source, response.versions)
            return
        requested_at = self._poll_times.get(response.number)
        if requested_at is not None:
            # This proxy knows everything that the source has read, so the source's latest listing
            # renews its leases too.
            self._membership.apply_group_records(
                (), requested_at - response.age, response.versions.records
            )

    def _awaits_tree(self, response: ViewTold) -> bool:
        """Return whether a new configuration is still expected from the tree of the zone.

        This is the case for a short time after the source has named it in response to a poll. What
        the source announces without a poll is fetched from it at once.
        """
        if response.number == 0:
            return False
        pending, state = self._cluster_state.route_progress.first_pending, self._cluster_state
        return (
            pending is not None
            and state.now() - pending.heard_at < TREE_TIMEOUT_S
            and len(state.fleet.proxies_in_zone(self._own_record.zone)) > TREE_FAN_OUT + 1
        )

    def _avoid_source(self, reason: str) -> None:
        assert self._source is not None
        name = self._source.name
        self._avoided_until[name] = self._cluster_state.now() + SOURCE_AVOIDANCE_S
        self._event_log.log_event(EventType.STORE, outcome="source avoided", peer=name, why=reason)
        self._source, self._unanswered_polls = None, 0

    def _is_avoided(self, name: str) -> bool:
        return self._cluster_state.now() < self._avoided_until.get(name, 0.0)

    def _update_gate(self) -> None:
        age = self._cluster_state.lease_clock() - self._cluster_state.leases.leases_start_at
        if self._source is None or age >= MAX_VIEW_AGE_S:
            self._gate.open()
        elif self._is_confirmed:
            # Until a newly chosen source has responded, the gate stays as it is.
            self._gate.close()
            # The source has read the store recently, so the store counts as reachable. While the
            # gate is closed the readers of this process start no calls that could clear a failure,
            # and missing instances are removed only while the store counts as reachable.
            self._record_store_reachability("")

    # Views.

    def fetch_from_any_peer(self) -> None:
        """Fetch the view of a random proxy; for use while the store does not respond."""
        peers = [
            peer
            for peer in self._cluster_state.fleet.active()
            if peer.name != self._own_record.name
        ]
        if peers and not self._updater.is_fetching:
            self._updater.fetch(self._random.choice(peers), self._cluster_state.versions)

    def _is_source(self, peer: ProxyRecord) -> bool:
        return self._source is not None and self._source.name == peer.name

    def _classify(self, peer: ProxyRecord) -> TransferWay:
        return TransferWay.SOURCE if self._is_source(peer) else TransferWay.PEER

    def _handle_failed_fetch(self, peer: ProxyRecord) -> None:
        if self._is_source(peer):
            self._avoid_source("gives no view")
