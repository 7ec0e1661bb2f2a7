"""Release of the leases on a primary by all proxies before the primary is replaced.

A coordinator waits until each lease holder has released its lease, has been replaced by a new
incarnation, or can only hold leases that have expired.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field
from twisted.internet.defer import Deferred

from orioleplank.decision.group import CLOCK_DRIFT_MARGIN_S, LEASE_DURATION_S
from orioleplank.decision.membership import (
    PeerMessage,
    Ping,
    Pong,
    ProxyRecord,
    ReleaseAsked,
    Released,
)
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._notifier import ChangeNotifier, sleep
from orioleplank.gateway._peer_socket import PeerSocket

# Interval at which a release request is repeated until it is answered: datagrams may be lost.
REQUEST_RETRY_INTERVAL_S = 0.1
# Rounds of pings by which unresponsive proxies are found, and the duration of each: a few round
# trips between regions.
PING_ROUNDS = 3
PING_ROUND_DURATION_S = 0.15
# In a switchover, how long the release of a lease waits for running work at the old primary.
RUNNING_WORK_TIMEOUT_S = 0.8
# Interval of the checks whether that work has ended.
RUNNING_WORK_CHECK_INTERVAL_S = 0.02


class CollectedReleases(Struct, frozen=True):
    """The result of the collection of all releases for one failover."""

    # Proxies whose leases had to expire because they sent no release.
    expired: tuple[ProxyRecord, ...]
    # Highest term of a primary that one of the others has known; 0 if none has.
    highest_term: int


class _ReleaseCollection(Struct):
    """The releases received for one failover."""

    # Store revision of the group record that claims the failover.
    revision: int
    # Incarnations that have released their lease, by proxy; a proxy without a release has no entry.
    incarnations: dict[str, set[str]] = field(default_factory=dict)
    # Highest term of a primary that a sender has known.
    highest_term: int = 0


class LeaseReleaseCoordinator:
    """Releases this proxy's leases on request, and collects the releases of other proxies."""

    def __init__(
        self,
        reactor: Any,
        cluster_state: ClusterState,
        event_log: EventLog,
        own_record: ProxyRecord,
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._own_record = own_record
        self._collections: dict[str, _ReleaseCollection] = {}
        # Proxies that have answered a ping since the last search for unresponsive ones began.
        self._responsive: set[str] = set()
        # Notified at each release that a peer sends.
        self._received = ChangeNotifier(reactor)
        self.socket: PeerSocket | None = None

    def handle_message(self, message: PeerMessage) -> None:
        """Handle a release request, a release or a pong from a peer; ignore other messages."""
        match message:
            case Pong(sender):
                self._responsive.add(sender)
            case ReleaseAsked(sender, service, revision, planned):
                response = self._respond(sender, service, revision, planned)
                Deferred.fromCoroutine(response).addErrback(self._log_failure)
            case Released(sender, incarnation, service, revision, term):
                collection = self._collections.get(service)
                if collection is not None and revision >= collection.revision:
                    collection.highest_term = max(collection.highest_term, term)
                    collection.incarnations.setdefault(sender, set()).add(incarnation)
                    self._received.notify_all()

    async def find_unresponsive_proxies(self) -> tuple[str, ...]:
        """Return the names of proxies that do not answer pings and may still hold a lease.

        A failover that began now would have to wait until their leases expire.
        """
        self._responsive.clear()
        now = self._cluster_state.lease_clock()
        others = [
            r for r in self._cluster_state.fleet.proxies.values() if r.name != self._own_record.name
        ]
        unresponsive = [record for record in others if not self._has_lease_expired(record, now)]
        for _ in range(PING_ROUNDS):
            for record in unresponsive:
                if self.socket is not None:
                    self.socket.send(
                        record.address, Ping(self._own_record.name, self._own_record.name)
                    )
            await sleep(self._reactor, PING_ROUND_DURATION_S)
            unresponsive = [
                record for record in unresponsive if record.name not in self._responsive
            ]
            if not unresponsive:
                break
        return tuple(record.name for record in unresponsive)

    async def release(self, service: str, revision: int, planned: bool) -> None:
        """Release this proxy's lease that rests on a group record below `revision`.

        In a planned switchover running work at the primary is first given a limited time to end. A
        promotion that this proxy has requested under a lower revision has ended on return, and none
        is requested later.
        """
        deadline = self._cluster_state.now() + RUNNING_WORK_TIMEOUT_S
        while (
            planned
            and self._cluster_state.primary_in_flight[service]
            and self._cluster_state.now() < deadline
        ):
            await sleep(self._reactor, RUNNING_WORK_CHECK_INTERVAL_S)
        leases = self._cluster_state.leases
        if leases.min_revisions.get(service, 0) < revision:
            self._cluster_state.update_leases(leases.release_below(service, revision))
            self._event_log.log_event(
                EventType.LEASE,
                outcome="given up",
                service=service,
                revision=revision,
                unfinished=self._cluster_state.primary_in_flight[service],
            )
        while self._cluster_state.promotions_in_flight[service]:
            await sleep(self._reactor, RUNNING_WORK_CHECK_INTERVAL_S)

    async def collect_releases(
        self,
        request: ReleaseAsked,
        move_started_at: float,
        holders: tuple[ProxyRecord, ...],
    ) -> CollectedReleases:
        """Wait until no proxy relies on the old primary any longer.

        `request` is sent to each holder until it has released its lease. No lease rests on a read
        that was requested after `move_started_at`, in seconds of the lease clock. `holders` are the
        proxies that the store listed after the record with the request's revision was written.
        """
        service, revision = request.service, request.revision
        collection = _ReleaseCollection(revision)
        self._collections[service] = collection
        own_release = Deferred.fromCoroutine(self.release(service, revision, request.planned))
        expired: set[str] = set()
        missing = self._find_missing(collection, holders)
        while missing:
            for peer in missing:
                if self.socket is not None:
                    self.socket.send(peer.address, request)
            retry_at = self._cluster_state.now() + REQUEST_RETRY_INTERVAL_S
            while missing and self._cluster_state.now() < retry_at:
                await self._received.wait(retry_at - self._cluster_state.now())
                missing = self._find_missing(collection, missing)
            expired.update(
                peer.name for peer in missing if self._has_lease_expired(peer, move_started_at)
            )
            missing = tuple(peer for peer in missing if peer.name not in expired)
        await own_release
        if self._collections.get(service) is collection:
            del self._collections[service]
        return CollectedReleases(
            tuple(holder for holder in holders if holder.name in expired),
            max(collection.highest_term, self._highest_known_term(service)),
        )

    def _highest_known_term(self, service: str) -> int:
        """Return the highest term of a primary that this proxy has known; 0 if it knows none."""
        known = self._cluster_state.leases.last_in_force.get(service)
        return known.record.term if known is not None else 0

    def _find_missing(
        self, collection: _ReleaseCollection, holders: tuple[ProxyRecord, ...]
    ) -> tuple[ProxyRecord, ...]:
        return tuple(holder for holder in holders if not self._has_released(collection, holder))

    def _has_lease_expired(self, holder: ProxyRecord, started_at: float) -> bool:
        """Return whether all leases that a holder may have had have expired.

        They rest on listings from before the failover began, or from before the holder was
        retired.
        """
        last_lease_start = started_at
        if holder.retired:
            last_lease_start = min(
                started_at, self._cluster_state.retired_at.get(holder.incarnation, started_at)
            )
        return (
            self._cluster_state.lease_clock()
            >= last_lease_start + LEASE_DURATION_S + CLOCK_DRIFT_MARGIN_S
        )

    def _has_released(self, collection: _ReleaseCollection, holder: ProxyRecord) -> bool:
        """Return whether a holder's incarnation has released its lease or has ended."""
        if holder.name == self._own_record.name:
            return True
        incarnations = collection.incarnations.get(holder.name, set())
        if incarnations:
            # A release by another incarnation shows that the previous one has ended on that VM.
            return True
        # A registration of a later era of the store may be of a proxy that ran before as well.
        current = self._cluster_state.fleet.proxies.get(holder.name)
        return (
            current is not None
            and current.era == holder.era
            and current.incarnation != holder.incarnation
        )

    async def _respond(self, sender: str, service: str, revision: int, planned: bool) -> None:
        await self.release(service, revision, planned)
        peer = self._cluster_state.fleet.proxies.get(sender)
        if peer is not None and self.socket is not None:
            message = Released(
                self._own_record.name,
                self._own_record.incarnation,
                service,
                revision,
                self._highest_known_term(service),
            )
            self.socket.send(peer.address, message)

    def _log_failure(self, failure: object) -> None:
        self._event_log.log_event(EventType.ERROR, step="release", detail=str(failure))
