"""Has the store's news from another proxy nearby, or opens the gate to read the store itself."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from twisted.internet.defer import Deferred

from orioleplank.decision.membership import (
    PeerMessage,
    ProxyRecord,
    ViewAsked,
    ViewTold,
    choose_view_source,
)
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._fleet_membership import FleetMembership
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._store_read_gate import StoreReadGate
from orioleplank.gateway._store_view import StoreView, ViewFetcher, ViewUnavailableError

# Seconds between questions to the source: twice that without an answer and another one is asked,
# still within the time in which a new configuration has to be in force.
VIEW_POLL_INTERVAL_S = 0.4
# Questions without an answer after which a source is avoided.
SILENT_AFTER = 2
# How long a source that is silent or out of date is avoided, in seconds.
AVOID_S = 3.0
# News older than this are no news, in seconds: a renewal of the source and a slow answer of the
# store. The rest of the time in which a configuration has to be in force is left for reading it.
STALE_S = 2.0
# Numbers of first questions are chosen below this.
INITIAL_REQUEST_NUMBER_LIMIT = 2**40
# Questions whose time is kept.
KEPT_QUESTIONS = 8


class ViewSubscriber:
    """Follows a source, and decides whether this proxy has to read the store itself."""

    def __init__(
        self,
        beliefs: ClusterState,
        registry: FleetMembership,
        journal: EventLog,
        me: ProxyRecord,
        random: Random,
        views: ViewFetcher,
        gate: StoreReadGate,
        note_contact: Callable[[str], None],
    ) -> None:
        self._beliefs = beliefs
        self._registry = registry
        self._journal = journal
        self._me = me
        self._random = random
        self._views = views
        self._gate = gate
        self._note_contact = note_contact
        self._source: ProxyRecord | None = None
        # When each question was asked, on the clock of leases, by its number.
        self._asked: dict[int, float] = {}
        # An answer to a question of an earlier run of this proxy must not be taken for a new one.
        self._request_number = random.randrange(INITIAL_REQUEST_NUMBER_LIMIT)
        self._unanswered = 0
        # Until when sources are avoided, in seconds, by their names.
        self._avoided: dict[str, float] = {}
        # True once the source has answered since it was chosen.
        self._is_confirmed = False
        self._is_fetching = False
        # True when the source told of something new while its view was being fetched.
        self._is_behind = False
        self.socket: PeerSocket | None = None

    @property
    def source(self) -> ProxyRecord | None:
        """Return whom this proxy follows; None while it reads the store itself."""
        return self._source

    # Following.

    def poll_source(self) -> None:
        """Ask the source how new its view is; without a good one let the store be read."""
        if self._unanswered >= SILENT_AFTER and self._source is not None:
            self._avoid("silent")
        self._choose()
        self._ask()
        self._set_gate()

    def handle_message(self, message: PeerMessage) -> None:
        """Take the source's answer, or its word that its view has changed."""
        match message:
            case ViewTold(sender) if self._source is not None and sender == self._source.name:
                self._take_told(message, self._source)
                self._set_gate()

    def _choose(self) -> None:
        before = self._source.name if self._source else ""
        fleet, is_known = self._beliefs.fleet, self._registry.is_registered
        self._source = choose_view_source(self._me, fleet, self._is_avoided) if is_known else None
        name = self._source.name if self._source else ""
        if name != before:
            self._unanswered = 0
            self._is_confirmed = False
            self._asked.clear()
            self._journal.log_event(
                EventType.STORE, outcome="source chosen", peer=name or "the store"
            )

    def _ask(self) -> None:
        if self._source is None or self.socket is None:
            return
        self._request_number += 1
        self._unanswered += 1
        self._asked[self._request_number] = self._beliefs.lease_clock()
        self._asked.pop(self._request_number - KEPT_QUESTIONS, None)
        self.socket.send(self._source.address, ViewAsked(self._me.name, self._request_number))

    def _take_told(self, told: ViewTold, source: ProxyRecord) -> None:
        self._unanswered = 0
        if told.age >= STALE_S:
            self._avoid("out of date")
            return
        self._is_confirmed = True
        if not self._beliefs.versions.is_at_least(told.versions):
            self._fetch_from(source)
            return
        asked_at = self._asked.get(told.number)
        if asked_at is not None:
            # Everything the source has read is known here, so its last listing counts here too.
            self._registry.apply_group_records((), asked_at - told.age)

    def _avoid(self, why: str) -> None:
        assert self._source is not None
        name = self._source.name
        self._avoided[name] = self._beliefs.now() + AVOID_S
        self._journal.log_event(EventType.STORE, outcome="source avoided", peer=name, why=why)
        self._source, self._unanswered = None, 0

    def _is_avoided(self, name: str) -> bool:
        return self._beliefs.now() < self._avoided.get(name, 0.0)

    def _set_gate(self) -> None:
        age = self._beliefs.lease_clock() - self._beliefs.leases.listing_requested_at
        if self._source is None or age >= STALE_S:
            self._gate.open()
        elif self._is_confirmed:
            # A source that was just chosen in the place of another one leaves it as it is.
            self._gate.close()
            self._note_contact("")

    # Views.

    def fetch_from_any_peer(self) -> None:
        """Fetch the view of some other proxy, because the store does not answer this one."""
        peers = [peer for peer in self._beliefs.fleet.active() if peer.name != self._me.name]
        if peers:
            self._fetch_from(self._random.choice(peers))

    def _fetch_from(self, peer: ProxyRecord) -> None:
        self._is_behind = self._is_fetching
        if not self._is_fetching:
            self._is_fetching = True
            Deferred.fromCoroutine(self._fetch(peer)).addErrback(self._fail)

    async def _fetch(self, peer: ProxyRecord) -> None:
        asked_at = self._beliefs.lease_clock()
        try:
            view = await self._views.fetch(peer.address, self._beliefs.versions)
        except ViewUnavailableError as error:
            self._journal.log_event(
                EventType.STORE, outcome="no view", peer=peer.name, why=error.detail
            )
            if self._source is not None and self._source.name == peer.name:
                self._avoid("gives no view")
            return
        finally:
            self._is_fetching = False
        self._take_view(view, asked_at)
        self._set_gate()
        if self._is_behind:
            self._fetch_from(peer)

    def _take_view(self, view: StoreView, asked_at: float) -> None:
        """Take a view that was asked for at `asked_at`, on the clock of leases."""
        beliefs = self._beliefs
        if view.routes is not None:
            beliefs.update_routes(view.routes)
        if view.instances is not None and view.versions.instances > beliefs.directory_revision:
            beliefs.directory_revision = view.versions.instances
            beliefs.update_directory(beliefs.directory.apply_listing(view.instances, beliefs.now()))
        self._registry.apply_view(view, asked_at - view.age)

    def _fail(self, failure: object) -> None:
        self._journal.log_event(EventType.ERROR, step="fetch view", detail=str(failure))
