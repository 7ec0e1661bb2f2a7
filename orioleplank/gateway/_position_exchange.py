"""Shares the positions of primaries' logs among proxies that are close by.

A replica may serve a read only up to a position that some proxy has learned from the primary
lately. In a large fleet each proxy asks a primary too seldom to know one, and would send its reads
to the primary for that reason alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from orioleplank.decision.membership import (
    PeerMessage,
    PositionsAsked,
    PositionsTold,
    PrimaryPosition,
    ProxyRecord,
)
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._view_subscriber import INITIAL_REQUEST_NUMBER_LIMIT

# A position younger than this is not asked for, in seconds.
FRESH_S = 0.4
# A position older than this is not told, in seconds: hardly a read may use it.
OLDEST_S = 3.0
# How long a service is asked about after it was wanted last, in seconds.
WANTED_S = 3.0
# Questions whose time is kept.
KEPT_QUESTIONS = 8
# Services in one question, so that it fits a datagram.
SERVICES_LIMIT = 16


class PositionExchange:
    """Asks for positions that are wanted here, and tells those that are known."""

    def __init__(self, beliefs: ClusterState, me: str, random: Random) -> None:
        self._beliefs = beliefs
        self._me = me
        # An answer to a question of an earlier run of this proxy must not be taken for a new one.
        self._number = random.randrange(INITIAL_REQUEST_NUMBER_LIMIT)
        # When each question was asked, on the clock of leases, by its number.
        self._asked: dict[int, float] = {}
        # When others asked for a service last, in seconds, by its name.
        self._wanted_by_others: dict[str, float] = {}
        self.socket: PeerSocket | None = None

    def request_positions(self, peers: Iterable[ProxyRecord]) -> None:
        """Ask proxies close by for the positions that are wanted and not known well enough."""
        services = self._find_wanted()
        if not services or self.socket is None:
            return
        self._number += 1
        self._asked[self._number] = self._beliefs.lease_clock()
        self._asked.pop(self._number - KEPT_QUESTIONS, None)
        for peer in peers:
            asked = PositionsAsked(self._me, self._number, services)
            self.socket.send(peer.address, asked)

    def handle_message(self, message: PeerMessage) -> None:
        """Answer a question, or take an answer."""
        match message:
            case PositionsAsked(sender, number, services):
                self._tell(sender, number, services)
            case PositionsTold(_, number, notes) if number in self._asked:
                for note in notes:
                    self._beliefs.record_peer_position(note, self._asked[number] - note.age)

    def _find_wanted(self) -> tuple[str, ...]:
        beliefs, now = self._beliefs, self._beliefs.now()
        wanted = {**self._wanted_by_others, **beliefs.position_requested_at}
        names = sorted(name for name, at in wanted.items() if now - at < WANTED_S)
        stale = (name for name in names if self._age(name) >= FRESH_S)
        return tuple(stale)[:SERVICES_LIMIT]

    def _age(self, service: str) -> float:
        known = self._beliefs.newest_position(service)
        return self._beliefs.lease_clock() - known.observed_at if known else float("inf")

    def _tell(self, sender: str, number: int, services: tuple[str, ...]) -> None:
        now = self._beliefs.now()
        for name in services[:SERVICES_LIMIT]:
            if name in self._beliefs.routes.services:
                self._wanted_by_others[name] = now
        notes = tuple(note for name in services if (note := self._describe(name)) is not None)
        peer = self._beliefs.fleet.proxies.get(sender)
        if peer is not None and notes and self.socket is not None:
            self.socket.send(peer.address, PositionsTold(self._me, number, notes))

    def _describe(self, service: str) -> PrimaryPosition | None:
        known, lease = self._beliefs.newest_position(service), self._beliefs.lease(service)
        age = self._age(service)
        if known is None or lease is None or age >= OLDEST_S:
            return None
        return PrimaryPosition(service, lease.revision, age, known.position)
