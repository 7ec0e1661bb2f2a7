"""Who holds the connections to an instance when there are too few for every proxy.

The load it answers: more proxies than an instance accepts connections. A few proxies in the
instance's own availability zone own its connections; the others send them their statements. Each
proxy ranks the owners by itself (rendezvous hashing), so that one loss moves only its share.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.membership import ProxyRecord, rank_proxies

# Connections of an instance that no proxy counts on, for proxies that come and go.
SPARE_CONNECTIONS = 2
# Connections to an instance that each proxy needs at least to use it directly: a transaction keeps
# one while its caller rests, and others would wait for it although other proxies have some free.
DIRECT_LEAST = 4
# Proxies that own an instance's connections, so that one loss leaves another at once.
OWNERS = 2
# Proxies that stand in for an owner that some do not reach.
STAND_INS = 1
# Parts of an instance's connections for each owner, and for each that stands in; the rest is for
# proxies that still take themselves for owners after a change of the fleet.
OWNER_PART = 0.38
STAND_IN_PART = 0.1


@dataclass(frozen=True, slots=True)
class DirectPath:
    """The proxy holds connections to the instance itself."""

    # Connections that it may hold.
    connections: int


@dataclass(frozen=True, slots=True)
class ForwardingPath:
    """The proxy sends its statements to an owner of the instance's connections.

    When it reaches none of them it stands in for them itself.
    """

    # The proxies that may be asked, in this order.
    owners: tuple[ProxyRecord, ...]


ConnectionPath = DirectPath | ForwardingPath


def owner_connection_limit(limit: int) -> int:
    """Return the connections that an owner may hold of `limit`."""
    return max(1, int(limit * OWNER_PART))


def backup_owner_connection_limit(limit: int) -> int:
    """Return the connections that any other proxy may hold of `limit` for those that ask it."""
    return max(1, int(limit * STAND_IN_PART))


def select_owners(
    instance: InstanceEntry, limit: int, active: Collection[ProxyRecord]
) -> tuple[str, ...]:
    """Return who owns the connections to an instance, and who stands in for an owner.

    Nobody does where `limit` gives every proxy enough of them.
    """
    if _equal_share(limit, len(active)) >= DIRECT_LEAST:
        return ()
    subject, wanted = f"owner {instance.id}", OWNERS + STAND_INS
    nearby = rank_proxies(subject, (r.name for r in active if r.zone == instance.zone))
    if len(nearby) >= wanted:
        return nearby[:wanted]
    away = rank_proxies(subject, (r.name for r in active if r.zone != instance.zone))
    return (nearby + away)[:wanted]


def choose_connection_path(
    me: str, instance: InstanceEntry, limit: int, active: Collection[ProxyRecord]
) -> ConnectionPath:
    """Return how `me` reaches an instance that accepts `limit` connections."""
    owners = select_owners(instance, limit, active)
    if not owners:
        return DirectPath(max(1, _equal_share(limit, len(active))))
    if me in owners[:OWNERS]:
        return DirectPath(owner_connection_limit(limit))
    records = {record.name: record for record in active if record.name in owners}
    order = _spread(me, owners[:OWNERS]) + owners[OWNERS:]
    return ForwardingPath(tuple(records[name] for name in order if name != me))


def _equal_share(limit: int, proxies: int) -> int:
    return (limit - SPARE_CONNECTIONS) // max(1, proxies)


def _spread(me: str, owners: tuple[str, ...]) -> tuple[str, ...]:
    """Put another owner first for different proxies, so that each has its part of the work."""
    return rank_proxies(f"prefers {me}", owners)


def choose_owner(
    way: ForwardingPath, is_avoided: Callable[[ProxyRecord], bool]
) -> ProxyRecord | None:
    """Return the first owner that is not avoided; None when all are."""
    return next((owner for owner in way.owners if not is_avoided(owner)), None)
