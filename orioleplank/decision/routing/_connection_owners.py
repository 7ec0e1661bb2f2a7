"""Selects the proxies that own the connections to an instance with few connections.

There may be more proxies than an instance accepts connections. Then a few proxies in the
availability zone of the instance own its connections, and the other proxies forward their
statements to these owners. Each proxy computes the owners independently by rendezvous hashing, so
that the loss of a proxy changes only the ownership that it held.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from random import Random

from msgspec import Struct

from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.membership import ProxyRecord, rank_proxies

# Connections of an instance that are not distributed, in reserve for proxies that join or leave.
SPARE_CONNECTIONS = 2
# Minimum number of connections per proxy at which every proxy has its own. With fewer, a
# transaction whose caller is idle would hold a connection for which other requests of the proxy
# wait, although other proxies have free connections.
MIN_DIRECT_CONNECTIONS = 4
# Number of owners of each instance: with two, another owner is available at once when one fails.
OWNER_COUNT = 2
# Number of backup owners, used by proxies that cannot reach the owners.
BACKUP_OWNER_COUNT = 1
# Share of the connections of an instance for each owner, and for each non-owner that opens its own
# connections: a backup owner, or a proxy that reaches no owner. The rest is for proxies that still
# consider themselves owners after a change of the fleet.
OWNER_SHARE = 0.38
NON_OWNER_SHARE = 0.1
# A statement stays at its preferred owner unless the expected wait at the other one is shorter by
# more than this, in seconds: there its account may need a new connection, which occupies a slot of
# the instance for tens of milliseconds.
OWNER_WAIT_MARGIN_S = 0.05


class DirectPath(Struct, frozen=True):
    """The proxy opens its own connections to the instance, instead of forwarding to an owner.

    A connection of its own may lead through a tunnel.
    """

    # Maximum number of connections.
    connections: int


class ForwardingPath(Struct, frozen=True):
    """The proxy forwards its statements to an owner of the instance's connections.

    When it can reach none of them, it opens connections itself, like a backup owner.
    """

    # Owners and backup owners, in order of preference.
    owners: tuple[ProxyRecord, ...]


ConnectionPath = DirectPath | ForwardingPath


def owner_connection_limit(limit: int) -> int:
    """Return how many of the `limit` connections of an instance each owner may open."""
    return max(1, int(limit * OWNER_SHARE))


def non_owner_connection_limit(limit: int) -> int:
    """Return how many of the `limit` connections of an instance each non-owner may open.

    A non-owner uses them for statements that other proxies forward to it as a backup owner, and for
    its own statements when it reaches no owner.
    """
    return max(1, int(limit * NON_OWNER_SHARE))


def select_owners(
    instance: InstanceEntry, limit: int, active: Collection[ProxyRecord]
) -> tuple[str, ...]:
    """Return the names of the owners of an instance's connections, followed by the backup owners.

    Proxies in the availability zone of the instance come first. Empty when `limit` is high enough
    for every active proxy to open its own connections.
    """
    if _equal_share(limit, len(active)) >= MIN_DIRECT_CONNECTIONS:
        return ()
    subject, count = f"owner {instance.id}", OWNER_COUNT + BACKUP_OWNER_COUNT
    nearby = rank_proxies(subject, (r.name for r in active if r.zone == instance.zone))
    if len(nearby) >= count:
        return nearby[:count]
    remote = rank_proxies(subject, (r.name for r in active if r.zone != instance.zone))
    return (nearby + remote)[:count]


def direct_path(limit: int, active: Collection[ProxyRecord]) -> DirectPath:
    """Return the path in which every proxy opens an equal share of `limit` connections."""
    return DirectPath(max(1, _equal_share(limit, len(active))))


def choose_connection_path(
    proxy_name: str, instance: InstanceEntry, limit: int, active: Collection[ProxyRecord]
) -> ConnectionPath:
    """Return how the proxy `proxy_name` reaches an instance that accepts `limit` connections."""
    owners = select_owners(instance, limit, active)
    if not owners:
        return direct_path(limit, active)
    if proxy_name in owners[:OWNER_COUNT]:
        return DirectPath(owner_connection_limit(limit))
    records = {record.name: record for record in active if record.name in owners}
    order = _order_by_preference(proxy_name, owners[:OWNER_COUNT]) + owners[OWNER_COUNT:]
    return ForwardingPath(tuple(records[name] for name in order if name != proxy_name))


def _equal_share(limit: int, proxies: int) -> int:
    return (limit - SPARE_CONNECTIONS) // max(1, proxies)


def _order_by_preference(proxy_name: str, owners: tuple[str, ...]) -> tuple[str, ...]:
    """Order the owners differently for each proxy, to distribute the load among them."""
    return rank_proxies(f"prefers {proxy_name}", owners)


def order_by_account(owners: tuple[ProxyRecord, ...], account: str) -> tuple[ProxyRecord, ...]:
    """Return the owners in the order in which statements of an account prefer them.

    All proxies compute the same order, so that the connections of an account are at one owner;
    otherwise each owner would need connections for every account. Backup owners stay last. Without
    an account the order is unchanged.
    """
    if not account:
        return owners
    records = {record.name: record for record in owners[:OWNER_COUNT]}
    ranked = rank_proxies(f"account {account}", records)
    return (*(records[name] for name in ranked), *owners[OWNER_COUNT:])


def choose_owner(
    path: ForwardingPath,
    is_avoided: Callable[[ProxyRecord], bool],
    expected_wait: Callable[[ProxyRecord], float] = lambda _: 0.0,
    random: Random | None = None,
) -> ProxyRecord | None:
    """Return the first owner for which `is_avoided` is false; None when there is none.

    The second owner is preferred while its `expected_wait`, in seconds, is shorter by more than
    `OWNER_WAIT_MARGIN_S`. With `random` it is then chosen with a probability that follows the ratio
    of the waits: many senders have the same load reports, and must not all move at once.
    """
    usable = [owner for owner in path.owners[:OWNER_COUNT] if not is_avoided(owner)]
    if len(usable) < OWNER_COUNT:
        return next((owner for owner in path.owners if not is_avoided(owner)), None)
    first_wait, second_wait = (expected_wait(owner) for owner in usable)
    if first_wait <= second_wait + OWNER_WAIT_MARGIN_S:
        return usable[0]
    total = first_wait + second_wait + 2 * OWNER_WAIT_MARGIN_S
    second_share = (first_wait + OWNER_WAIT_MARGIN_S) / total
    moves = random is None or random.random() < second_share
    return usable[1] if moves else usable[0]
