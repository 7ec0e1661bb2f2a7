"""Gathers every proxy's word that it relies on a primary no more, or waits its leases out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

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
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._peer_socket import PeerSocket

# Pause before a proxy that has not answered is asked again, in seconds: a lost datagram.
ASK_AGAIN_S = 0.1
# Rounds in which silent proxies are looked for, and the time of each in seconds: a few round trips
# between regions.
SILENT_ROUNDS = 3
SILENT_ROUND_S = 0.15
# How long work at a primary that is left on purpose may go on, in seconds.
PLANNED_WAIT_S = 0.8
# Pause before it is looked again whether that work has ended, in seconds.
LOOK_AGAIN_S = 0.02


@dataclass(slots=True)
class _Gathering:
    """The words for one move."""

    # Revision of the record that moves the primary.
    revision: int
    # Runs that have given their word, by the proxies' names.
    words: dict[str, set[str]] = field(default_factory=dict)


class LeaseReleaseCoordinator:
    """Gives this proxy's word, and gathers the others'."""

    def __init__(
        self, reactor: Any, beliefs: ClusterState, journal: EventLog, me: ProxyRecord
    ) -> None:
        self._reactor = reactor
        self._beliefs = beliefs
        self._journal = journal
        self._me = me
        self._gatherings: dict[str, _Gathering] = {}
        # Names of the proxies that have answered since silent ones were looked for.
        self._heard: set[str] = set()
        self.socket: PeerSocket | None = None

    def handle_message(self, message: PeerMessage) -> None:
        """Answer a question of a peer, or take its word."""
        match message:
            case Pong(sender):
                self._heard.add(sender)
            case ReleaseAsked(sender, service, revision, planned):
                work = self._answer(sender, service, revision, planned)
                Deferred.fromCoroutine(work).addErrback(self._fail)
            case Released(sender, incarnation, service, revision):
                gathering = self._gatherings.get(service)
                if gathering is not None and revision >= gathering.revision:
                    gathering.words.setdefault(sender, set()).add(incarnation)

    async def find_unresponsive_proxies(self) -> tuple[str, ...]:
        """Return the proxies that do not answer now: their leases would have to be waited out."""
        self._heard.clear()
        now = self._beliefs.lease_clock()
        others = [r for r in self._beliefs.fleet.proxies.values() if r.name != self._me.name]
        silent = [record for record in others if not self._has_lapsed(record, now)]
        for _ in range(SILENT_ROUNDS):
            for record in silent:
                if self.socket is not None:
                    self.socket.send(record.address, Ping(self._me.name, self._me.name))
            await sleep(self._reactor, SILENT_ROUND_S)
            silent = [record for record in silent if record.name not in self._heard]
            if not silent:
                break
        return tuple(record.name for record in silent)

    async def give_up(self, service: str, revision: int, planned: bool) -> None:
        """Rely on records below `revision` no more; planned, after the work has ended."""
        limit = self._beliefs.now() + PLANNED_WAIT_S
        while planned and self._beliefs.primary_in_flight[service] and self._beliefs.now() < limit:
            await sleep(self._reactor, LOOK_AGAIN_S)
        before = self._beliefs.leases
        if before.min_revisions.get(service, 0) < revision:
            self._beliefs.update_leases(before.release_below(service, revision))
            self._journal.log_event(
                EventType.LEASE,
                outcome="given up",
                service=service,
                revision=revision,
                unfinished=self._beliefs.primary_in_flight[service],
            )

    async def collect_releases(
        self, service: str, revision: int, planned: bool, holders: tuple[ProxyRecord, ...]
    ) -> tuple[ProxyRecord, ...]:
        """Return once no proxy relies on the old primary; name those that had to be waited for.

        `holders` are the proxies that the store listed after the record was written.
        """
        gathering = _Gathering(revision)
        self._gatherings[service] = gathering
        began = self._beliefs.lease_clock()
        own = Deferred.fromCoroutine(self.give_up(service, revision, planned))
        late: set[str] = set()
        missing = self._find_missing(gathering, holders)
        while missing:
            for peer in missing:
                if self.socket is not None:
                    asked = ReleaseAsked(self._me.name, service, revision, planned)
                    self.socket.send(peer.address, asked)
            await sleep(self._reactor, ASK_AGAIN_S)
            late.update(peer.name for peer in missing if self._has_lapsed(peer, began))
            waiting = self._find_missing(gathering, holders)
            missing = tuple(peer for peer in waiting if peer.name not in late)
        await own
        if self._gatherings.get(service) is gathering:
            del self._gatherings[service]
        return tuple(holder for holder in holders if holder.name in late)

    def _find_missing(
        self, gathering: _Gathering, holders: tuple[ProxyRecord, ...]
    ) -> tuple[ProxyRecord, ...]:
        return tuple(holder for holder in holders if not self._is_free(gathering, holder))

    def _has_lapsed(self, holder: ProxyRecord, began: float) -> bool:
        """Tell whether all leases that a holder may have had are over.

        They rest on listings from before the move began, or from before it was retired.
        """
        since = began
        if holder.retired:
            since = min(began, self._beliefs.retired_at.get(holder.incarnation, began))
        return self._beliefs.lease_clock() >= since + LEASE_DURATION_S + CLOCK_DRIFT_MARGIN_S

    def _is_free(self, gathering: _Gathering, holder: ProxyRecord) -> bool:
        """Tell whether a holder's run has given its word or has ended."""
        if holder.name == self._me.name:
            return True
        words = gathering.words.get(holder.name, set())
        if words:
            # Another run's word shows that the one before has ended on that VM.
            return True
        now = self._beliefs.fleet.proxies.get(holder.name)
        return now is not None and now.incarnation != holder.incarnation

    async def _answer(self, sender: str, service: str, revision: int, planned: bool) -> None:
        await self.give_up(service, revision, planned)
        peer = self._beliefs.fleet.proxies.get(sender)
        if peer is not None and self.socket is not None:
            word = Released(self._me.name, self._me.incarnation, service, revision)
            self.socket.send(peer.address, word)

    def _fail(self, failure: object) -> None:
        self._journal.log_event(EventType.ERROR, step="release", detail=str(failure))
