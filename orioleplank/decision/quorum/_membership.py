"""Which proxies are alive, and which of them coordinate the failovers of a service."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from hashlib import blake2b

from orioleplank.decision.quorum._message import HeartbeatReceived, Vm
from orioleplank.decision.quorum._specs import KeepershipSpec, TermRange

# A peer whose last heartbeat is older than this does not count as alive.
PEER_TIMEOUT_S = 1.0
# Proxies that reserve terms for a service, so that they may run its failovers.
COORDINATORS_PER_SERVICE = 3
# Term ranges stored for a service; the oldest ones are dropped.
MAX_TERM_RANGES = 5
TERMS_PER_RANGE = 1000


@dataclass(frozen=True, slots=True)
class Peer:
    """Another proxy that has sent a heartbeat; times are seconds of this proxy's clock."""

    # Its last heartbeat.
    heartbeat: HeartbeatReceived
    # When that heartbeat arrived.
    received_at: float
    # When the last heartbeat that the peer has acknowledged was sent; negative for none.
    acked_heartbeat_sent_at: float = -1.0


@dataclass(frozen=True, slots=True)
class Membership:
    """This proxy's knowledge of the other proxies."""

    # Name of this proxy.
    proxy: str
    # Incarnation of this proxy.
    incarnation: str
    # Peers that have sent a heartbeat, by name.
    peers: Mapping[str, Peer] = field(default_factory=dict)
    # The platform's list of VMs; empty before it was read.
    vms: tuple[Vm, ...] = ()

    def alive_proxies(self, now: float) -> tuple[str, ...]:
        """Return the names of proxies that are alive and not stopping, sorted, with this one."""
        names = {
            name
            for name, peer in self.peers.items()
            if now - peer.received_at <= PEER_TIMEOUT_S and not peer.heartbeat.stopping
        }
        return tuple(sorted(names | {self.proxy}))

    def running_peers(self, now: float) -> tuple[HeartbeatReceived, ...]:
        """Return the last heartbeats of peers that are alive, including those that are stopping."""
        return tuple(
            peer.heartbeat
            for _, peer in sorted(self.peers.items())
            if now - peer.received_at <= PEER_TIMEOUT_S
        )

    def is_served_elsewhere(self, service: str, now: float) -> bool:
        """Return whether another proxy is likely to reach the primary of `service`.

        Peers that are alive report this in their heartbeats. If none is alive but the platform
        lists other proxies, this proxy is probably the isolated one, so the result is True.
        """
        alive_peers = [
            peer.heartbeat
            for peer in self.peers.values()
            if now - peer.received_at <= PEER_TIMEOUT_S and not peer.heartbeat.stopping
        ]
        if alive_peers:
            return any(service not in heartbeat.headless_services for heartbeat in alive_peers)
        return any(vm.entry and not vm.leaving and vm.name != self.proxy for vm in self.vms)

    def leaving_vms(self) -> frozenset[str]:
        """Return the names of VMs that the platform is about to remove."""
        return frozenset(vm.name for vm in self.vms if vm.leaving)


def apply_heartbeat(
    membership: Membership, heartbeat: HeartbeatReceived, now: float, acked_sent_at: float = -1.0
) -> Membership:
    """Return the membership updated with a heartbeat.

    `acked_sent_at` is when the last of this proxy's heartbeats that it acknowledges was sent, in
    seconds; negative for none. A heartbeat of this proxy itself is ignored.
    """
    if heartbeat.proxy == membership.proxy:
        return membership
    previous = membership.peers.get(heartbeat.proxy)
    if previous is not None and previous.heartbeat.incarnation == heartbeat.incarnation:
        acked_sent_at = max(acked_sent_at, previous.acked_heartbeat_sent_at)
    peer = Peer(heartbeat, now, acked_sent_at)
    return replace(membership, peers={**membership.peers, heartbeat.proxy: peer})


def rank_proxies(service: str, proxies: Iterable[str]) -> tuple[str, ...]:
    """Return proxies in their order of precedence for a service, by rendezvous hashing.

    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998: when a proxy
    is added or removed, only the services for which it ranks first move to another proxy.
    """

    def score(proxy: str) -> bytes:
        return blake2b(f"{service}\0{proxy}".encode(), digest_size=8).digest()

    return tuple(sorted(proxies, key=lambda proxy: (score(proxy), proxy)))


def find_own_range(membership: Membership, spec: KeepershipSpec) -> TermRange | None:
    """Return the newest range reserved for this incarnation of this proxy, or None."""
    own_ranges = [entry for entry in spec.ranges if entry.incarnation == membership.incarnation]
    return own_ranges[-1] if own_ranges else None


def is_active_coordinator(
    membership: Membership, service: str, spec: KeepershipSpec, now: float
) -> bool:
    """Return whether this proxy currently runs the failovers of `service`.

    That is so if it has reserved terms and no proxy that has reserved terms, ranks before it and
    reaches the service is alive.
    """
    incarnations = {entry.proxy: entry.incarnation for entry in spec.ranges}
    for proxy in rank_proxies(service, incarnations):
        if proxy == membership.proxy:
            return incarnations[proxy] == membership.incarnation
        if _can_coordinate(membership, service, proxy, incarnations[proxy], now):
            return False
    return False


def _can_coordinate(
    membership: Membership, service: str, proxy: str, incarnation: str, now: float
) -> bool:
    peer = membership.peers.get(proxy)
    if peer is None or now - peer.received_at > PEER_TIMEOUT_S or peer.heartbeat.stopping:
        return False
    if peer.heartbeat.incarnation != incarnation:
        return False
    return service not in peer.heartbeat.unreachable_services


def propose_keepership(
    membership: Membership, service: str, spec: KeepershipSpec, highest_term: int, now: float
) -> KeepershipSpec | None:
    """Return the keepership with a new term range for this proxy, or None if none is needed.

    None is needed if this proxy does not rank among the first `COORDINATORS_PER_SERVICE`, or if
    its current range still has terms above `highest_term`.
    """
    alive = membership.alive_proxies(now)
    if membership.proxy not in rank_proxies(service, alive)[:COORDINATORS_PER_SERVICE]:
        return None
    own = find_own_range(membership, spec)
    if own is not None and highest_term < own.last:
        return None
    first = max(spec.highest_reserved_term, highest_term) + 1
    added = TermRange(membership.proxy, membership.incarnation, first, first + TERMS_PER_RANGE - 1)
    kept = [entry for entry in spec.ranges if entry.proxy != membership.proxy]
    return KeepershipSpec((*kept[-(MAX_TERM_RANGES - 1) :], added))
