"""Which proxies are alive, and which of them keep a service."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from hashlib import blake2b

from orioleplank.decision.quorum._message import HeartbeatReceived, Vm
from orioleplank.decision.quorum._specs import KeepershipSpec, TermRange

PEER_TIMEOUT_S = 1.0
KEEPERS_PER_SERVICE = 3
RANGES_KEPT = 5
TERMS_PER_RANGE = 1000


@dataclass(frozen=True, slots=True)
class Peer:
    """Another proxy."""

    # Its last heartbeat.
    heartbeat: HeartbeatReceived
    # When it came, in seconds of the proxy's clock.
    received_at: float
    # When the last heartbeat that it answers was sent, in seconds; below 0 for none.
    acked_heartbeat_sent_at: float = -1.0


@dataclass(frozen=True, slots=True)
class Membership:
    """The other proxies, as this one sees them."""

    # Name of this proxy.
    proxy: str
    # This run of it.
    incarnation: str
    # Peers that have been heard, by name.
    peers: Mapping[str, Peer] = field(default_factory=dict)
    # The platform's list of VMs.
    vms: tuple[Vm, ...] = ()

    def alive_proxies(self, now: float) -> tuple[str, ...]:
        """Return the proxies that take part, this one included, sorted."""
        names = {
            name
            for name, peer in self.peers.items()
            if now - peer.received_at <= PEER_TIMEOUT_S and not peer.heartbeat.stopping
        }
        return tuple(sorted(names | {self.proxy}))

    def running_peers(self, now: float) -> tuple[HeartbeatReceived, ...]:
        """Return the last heartbeats of peers that run, also of those that are stopping."""
        return tuple(
            peer.heartbeat
            for _, peer in sorted(self.peers.items())
            if now - peer.received_at <= PEER_TIMEOUT_S
        )

    def is_served_elsewhere(self, service: str, now: float) -> bool:
        """Tell whether another proxy is likely to reach the primary of `service`.

        A living peer says so itself. A proxy that hears none of the others on the platform's list
        is likely to be the one that is cut off.
        """
        living = [
            peer.heartbeat
            for peer in self.peers.values()
            if now - peer.received_at <= PEER_TIMEOUT_S and not peer.heartbeat.stopping
        ]
        if living:
            return any(service not in heard.headless_services for heard in living)
        return any(vm.entry and not vm.leaving and vm.name != self.proxy for vm in self.vms)

    def leaving_vms(self) -> frozenset[str]:
        """Return the names of VMs that the platform is taking away."""
        return frozenset(vm.name for vm in self.vms if vm.leaving)


def apply_heartbeat(
    membership: Membership, heard: HeartbeatReceived, now: float, answered_at: float = -1.0
) -> Membership:
    """Take in a heartbeat that answers one sent at `answered_at`, below 0 for none."""
    if heard.proxy == membership.proxy:
        return membership
    previous = membership.peers.get(heard.proxy)
    if previous is not None and previous.heartbeat.incarnation == heard.incarnation:
        answered_at = max(answered_at, previous.acked_heartbeat_sent_at)
    peer = Peer(heard, now, answered_at)
    return replace(membership, peers={**membership.peers, heard.proxy: peer})


def rank_proxies(service: str, proxies: Iterable[str]) -> tuple[str, ...]:
    """Order proxies for a service by rendezvous hashing.

    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998: when a proxy
    comes or goes, only the services it ranks first for change hands.
    """

    def score(proxy: str) -> bytes:
        return blake2b(f"{service}\0{proxy}".encode(), digest_size=8).digest()

    return tuple(sorted(proxies, key=lambda proxy: (score(proxy), proxy)))


def find_own_range(membership: Membership, spec: KeepershipSpec) -> TermRange | None:
    """Return the newest range reserved for this run of this proxy, None when there is none."""
    own = [entry for entry in spec.ranges if entry.incarnation == membership.incarnation]
    return own[-1] if own else None


def is_active_coordinator(
    membership: Membership, service: str, spec: KeepershipSpec, now: float
) -> bool:
    """Tell whether no living keeper goes before this proxy."""
    holders = {entry.proxy: entry.incarnation for entry in spec.ranges}
    for proxy in rank_proxies(service, holders):
        if proxy == membership.proxy:
            return holders[proxy] == membership.incarnation
        if _can_keep(membership, service, proxy, holders[proxy], now):
            return False
    return False


def _can_keep(
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
    """Return the keepership with a range for this proxy added, None when none is due."""
    alive = membership.alive_proxies(now)
    if membership.proxy not in rank_proxies(service, alive)[:KEEPERS_PER_SERVICE]:
        return None
    own = find_own_range(membership, spec)
    if own is not None and highest_term < own.last:
        return None
    first = max(spec.highest_reserved_term, highest_term) + 1
    added = TermRange(membership.proxy, membership.incarnation, first, first + TERMS_PER_RANGE - 1)
    kept = [entry for entry in spec.ranges if entry.proxy != membership.proxy]
    return KeepershipSpec((*kept[-(RANGES_KEPT - 1) :], added))
