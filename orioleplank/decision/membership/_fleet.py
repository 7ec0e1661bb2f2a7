"""The registered proxies.

A proxy registers before it takes its first lease, so whoever lists the proxies after writing a
record as moving knows everybody who may hold a lease from before.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b


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


@dataclass(frozen=True, slots=True)
class Fleet:
    """All registered proxies."""

    # Records by name.
    proxies: Mapping[str, ProxyRecord] = field(default_factory=dict)

    def active(self) -> tuple[ProxyRecord, ...]:
        """Return the proxies that are neither retired nor stopping, by name."""
        names = sorted(self.proxies)
        records = (self.proxies[name] for name in names)
        return tuple(r for r in records if not r.retired and not r.stopping)


# Proxies that each proxy watches, so that one is still watched when its neighbour dies too.
WATCHED_COUNT = 2


def find_watched(me: ProxyRecord, active: Iterable[ProxyRecord]) -> tuple[str, ...]:
    """Return the proxies that `me` watches: the next in the ring of its zone, and in that of all.

    The first costs no bytes between zones; the other is there when a whole zone dies.
    """
    zones = {record.name: record.zone for record in active} | {me.name: me.zone}
    in_zone = _follow_ring(me.name, [name for name, zone in zones.items() if zone == me.zone])[:1]
    of_all = _follow_ring(me.name, [name for name in zones if name not in in_zone])
    return in_zone + of_all[: WATCHED_COUNT - len(in_zone)]


def _follow_ring(me: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the others in the order of a ring, from the one after `me` on."""
    ring = rank_proxies("ring", names)
    place = ring.index(me)
    return ring[place + 1 :] + ring[:place]


def rank_proxies(service: str, names: Iterable[str]) -> tuple[str, ...]:
    """Order proxies by who acts first for a service (rendezvous hashing, Thaler, 1996)."""

    def weigh(name: str) -> bytes:
        return blake2b(f"{service}/{name}".encode(), digest_size=8).digest()

    return tuple(sorted(names, key=weigh))
