"""Exchange of the log positions of primaries between nearby proxies.

To send a read to a replica, a proxy needs a log position that was recently received from the
primary. In a large fleet a single proxy sends requests to a primary too rarely to know one, and
would otherwise send its reads to the primary only for that reason.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from orioleplank.decision.mechanisms import Mechanism
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

# A position younger than this is not requested.
FRESH_POSITION_AGE_S = 0.4
# A position older than this is not sent: hardly any read may use it.
MAX_SHARED_AGE_S = 3.0
# How long positions of a service are requested after one was last required.
REQUIREMENT_LIFETIME_S = 3.0
# Number of latest requests whose send times are kept.
KEPT_REQUESTS = 8
# Services per request, so that it fits into a datagram.
MAX_SERVICES_PER_REQUEST = 16


class PositionExchange:
    """Requests log positions that this proxy or its peers require, and sends known ones to peers.

    A received position is dated by the time of the request less the age that the sender states, so
    it never counts as newer than it is.
    """

    def __init__(self, cluster_state: ClusterState, own_name: str, random: Random) -> None:
        self._cluster_state = cluster_state
        self._own_name = own_name
        # Starts at random, so that a response to an earlier incarnation matches no current request.
        self._request_number = random.randrange(INITIAL_REQUEST_NUMBER_LIMIT)
        # When each request was sent, on the lease clock, by its number.
        self._request_times: dict[int, float] = {}
        # When peers last requested a position, in seconds of the monotonic clock, by service.
        self._required_by_peers: dict[str, float] = {}
        self.socket: PeerSocket | None = None

    def request_positions(self, peers: Iterable[ProxyRecord]) -> None:
        """Request the required positions that are not known or not fresh from nearby proxies."""
        services = self._find_stale_services()
        is_on = self._cluster_state.mechanisms.is_on(Mechanism.POSITION_EXCHANGE)
        if not services or self.socket is None or not is_on:
            return
        self._request_number += 1
        self._request_times[self._request_number] = self._cluster_state.lease_clock()
        self._request_times.pop(self._request_number - KEPT_REQUESTS, None)
        for peer in peers:
            request = PositionsAsked(self._own_name, self._request_number, services)
            self.socket.send(peer.address, request)

    def handle_message(self, message: PeerMessage) -> None:
        """Answer a request for positions, or record the positions of a response."""
        match message:
            case PositionsAsked(sender, number, services):
                self._answer(sender, number, services)
            case PositionsTold(_, number, positions) if number in self._request_times:
                for position in positions:
                    self._cluster_state.positions.record_from_peer(
                        position, self._request_times[number] - position.age
                    )

    def _find_stale_services(self) -> tuple[str, ...]:
        cluster_state, now = self._cluster_state, self._cluster_state.now()
        required_at = {**self._required_by_peers, **cluster_state.positions.required_at}
        names = sorted(
            name
            for name, last_required_at in required_at.items()
            if now - last_required_at < REQUIREMENT_LIFETIME_S
        )
        stale = (name for name in names if self._age(name) >= FRESH_POSITION_AGE_S)
        return tuple(stale)[:MAX_SERVICES_PER_REQUEST]

    def _age(self, service: str) -> float:
        known = self._cluster_state.positions.newest(service)
        return self._cluster_state.lease_clock() - known.observed_at if known else float("inf")

    def _answer(self, sender: str, number: int, services: tuple[str, ...]) -> None:
        now = self._cluster_state.now()
        for name in services[:MAX_SERVICES_PER_REQUEST]:
            if name in self._cluster_state.routes.services:
                self._required_by_peers[name] = now
        positions = tuple(
            position
            for name in services
            if (position := self._build_peer_position(name)) is not None
        )
        peer = self._cluster_state.fleet.proxies.get(sender)
        if peer is not None and positions and self.socket is not None:
            self.socket.send(peer.address, PositionsTold(self._own_name, number, positions))

    def _build_peer_position(self, service: str) -> PrimaryPosition | None:
        known, lease = self._cluster_state.positions.newest(service), self._cluster_state.lease(
            service
        )
        age = self._age(service)
        if known is None or lease is None or age >= MAX_SHARED_AGE_S:
            return None
        return PrimaryPosition(service, lease.revision, age, known.position)
