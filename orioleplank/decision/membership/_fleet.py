"""The registered proxies.

A proxy registers before it takes its first lease, so whoever lists the proxies after writing a
record as moving knows everybody who may hold a lease from before.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property, lru_cache
from hashlib import blake2b

# Weights of proxies that are remembered: those of a few hundred proxies for some dozen subjects.
REMEMBERED_WEIGHTS = 16_384
# Subject by which proxies are ordered in the ring in which they watch each other.
RING = "ring"


@dataclass(frozen=True, slots=True)
class ProxyRecord:
    """One registered proxy."""

    # Name of its VM.
    name: str
    # Its run.
    incarnation: str
    # HOST:PORT at which other proxies reach it.
    address: str
    # Its availability zone.
    zone: str
    # True when it was silent for long; it registers anew before it takes leases again.
    retired: bool = False
    # True once it is stopping and takes no duties.
    stopping: bool = False


@dataclass(frozen=True)
class Fleet:
    """All registered proxies.

    What follows from them is worked out once, since timers ask for it again and again.
    """

    # Records by name.
    proxies: Mapping[str, ProxyRecord] = field(default_factory=dict)

    def active(self) -> tuple[ProxyRecord, ...]:
        """Return the proxies that are neither retired nor stopping, by name."""
        return self._active

    def proxies_in_zone(self, zone: str) -> tuple[ProxyRecord, ...]:
        """Return the active proxies of an availability zone, by name."""
        return self._by_zone.get(zone, ())

    @property
    def ring(self) -> tuple[str, ...]:
        """Names of the active proxies in the order in which they watch each other."""
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
        return rank_proxies(RING, (record.name for record in self._active))


# Proxies that each proxy watches, so that one is still watched when its neighbour dies too.
WATCHED_COUNT = 2


def choose_ping_targets(me: ProxyRecord, fleet: Fleet) -> tuple[str, ...]:
    """Return the proxies that `me` watches: the next in the ring of its zone, and in that of all.

    The first costs no bytes between zones; the other is there when a whole zone dies.
    """
    followers = _follow_ring(me.name, fleet.ring)
    nearby = {record.name for record in fleet.proxies_in_zone(me.zone)}
    in_zone = tuple(name for name in followers if name in nearby)[:1]
    of_all = tuple(name for name in followers if name not in in_zone)
    return in_zone + of_all[: WATCHED_COUNT - len(in_zone)]


def _follow_ring(me: str, ring: tuple[str, ...]) -> tuple[str, ...]:
    """Return the others in the order of a ring, from the one after `me` on."""
    if me not in ring:
        ring = rank_proxies(RING, (*ring, me))
    place = ring.index(me)
    return ring[place + 1 :] + ring[:place]


def rank_proxies(subject: str, names: Iterable[str]) -> tuple[str, ...]:
    """Order proxies by who acts first for a subject (rendezvous hashing, Thaler, 1996)."""
    return tuple(sorted(names, key=lambda name: _rendezvous_hash(subject, name)))


@lru_cache(REMEMBERED_WEIGHTS)
def _rendezvous_hash(subject: str, name: str) -> bytes:
    return blake2b(f"{subject}/{name}".encode(), digest_size=8).digest()
