"""The registered proxies and their rankings.

A proxy registers before it acquires its first lease. Therefore a proxy that writes a group record
as moving and then lists the fleet sees every proxy that may hold a lease from before the write.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import cached_property, lru_cache
from hashlib import blake2b

from msgspec import Struct, field

# Number of cached rendezvous hashes: enough for a few hundred proxies and some dozen subjects.
RENDEZVOUS_CACHE_SIZE = 16_384
# Ranking subject that defines the ring in which proxies monitor each other.
RING_SUBJECT = "ring"


class ProxyRecord(Struct, frozen=True):
    """One registered proxy."""

    # Name of the VM.
    name: str
    # Incarnation of the proxy process.
    incarnation: str
    # HOST:PORT at which other proxies reach it.
    address: str
    # Availability zone.
    zone: str
    # True when it was unresponsive for a long time; it has to register again before it acquires
    # leases.
    retired: bool = False
    # True once it is stopping and no longer takes on tasks for the fleet.
    stopping: bool = False
    # Era of the store in which the proxy registered.
    era: int = 0
    # Bandwidth of its VM's link in Mbit/s; 0 if it is not known.
    link_mbps: float = 0.0


class Fleet(Struct, frozen=True, dict=True):
    """All registered proxies.

    Derived values are computed once, because timers use them repeatedly.
    """

    # By proxy name.
    proxies: Mapping[str, ProxyRecord] = field(default_factory=dict)

    def active(self) -> tuple[ProxyRecord, ...]:
        """Return the proxies that are neither retired nor stopping, ordered by name."""
        return self._active

    def proxies_in_zone(self, zone: str) -> tuple[ProxyRecord, ...]:
        """Return the active proxies of an availability zone, ordered by name."""
        return self._by_zone.get(zone, ())

    @property
    def ring(self) -> tuple[str, ...]:
        """Names of the active proxies, in the order in which they monitor each other."""
        return self._ring

    @cached_property
    def _active(self) -> tuple[ProxyRecord, ...]:
        records = (self.proxies[name] for name in sorted(self.proxies))
        return tuple(r for r in records if not r.retired and not r.stopping)

    @cached_property
    def _by_zone(self) -> Mapping[str, tuple[ProxyRecord, ...]]:
        zones: dict[str, list[ProxyRecord]] = {}
        for record in self._active:
            zones.setdefault(record.zone, []).append(record)
        return {zone: tuple(records) for zone, records in zones.items()}

    @cached_property
    def _ring(self) -> tuple[str, ...]:
        return rank_proxies(RING_SUBJECT, (record.name for record in self._active))


# Number of proxies that each proxy monitors: with two, a proxy is still monitored when one of the
# proxies that monitor it fails at the same time.
PING_TARGET_COUNT = 2


def choose_ping_targets(proxy: ProxyRecord, fleet: Fleet) -> tuple[str, ...]:
    """Return the names of the proxies that `proxy` monitors.

    These are the next proxy of its own zone in the ring, which causes no traffic between zones, and
    the next of the whole fleet, so that the failure of a whole zone is detected. A proxy that is
    alone in its zone monitors the next two of the whole fleet.
    """
    followers = _follow_ring(proxy.name, fleet.ring)
    zone_names = {record.name for record in fleet.proxies_in_zone(proxy.zone)}
    in_zone = tuple(name for name in followers if name in zone_names)[:1]
    others = tuple(name for name in followers if name not in in_zone)
    return in_zone + others[: PING_TARGET_COUNT - len(in_zone)]


def _follow_ring(name: str, ring: tuple[str, ...]) -> tuple[str, ...]:
    """Return the other proxies in ring order, starting after `name`."""
    if name not in ring:
        ring = rank_proxies(RING_SUBJECT, (*ring, name))
    index = ring.index(name)
    return ring[index + 1 :] + ring[:index]


def rank_proxies(subject: str, names: Iterable[str]) -> tuple[str, ...]:
    """Rank proxies for a subject by rendezvous hashing (Thaler and Ravishankar, 1996).

    Every proxy computes the same ranking; the first proxy acts first for the subject.
    """
    return tuple(sorted(names, key=lambda name: _rendezvous_hash(subject, name)))


@lru_cache(RENDEZVOUS_CACHE_SIZE)
def _rendezvous_hash(subject: str, name: str) -> bytes:
    return blake2b(f"{subject}/{name}".encode(), digest_size=8).digest()
