"""Chooses which proxies read the store and from which proxy the others receive its changes.

Calls to the store are rate limited and cost money. Therefore one proxy in each availability zone
reads the store and sends the changes to the other proxies of its zone, which are close to it. The
next proxy in the ranking replaces it when it is unresponsive or cannot reach the store.

Proxies with faster links rank higher: the store sends the whole configuration with each change, and
the proxy that reads it sends the changes to others of the zone.

A change of the configuration may be large. It goes down a tree of the proxies of a zone, so that no
proxy sends it to more than a few others; changes of records go from the source to all followers.
"""

from __future__ import annotations

from collections.abc import Callable, Container

from msgspec import Struct

from orioleplank.decision.membership._fleet import Fleet, ProxyRecord, rank_proxies

# Number of proxies in a zone that may serve as source: the one that reads the store, and the next
# in the ranking as its backup.
MAX_SOURCES_PER_ZONE = 2
# Number of proxies to which one proxy announces a new configuration. At 3,900 proxies in 17 zones,
# the tree of a zone has three levels below the source.
TREE_FAN_OUT = 8


class ViewVersions(Struct, frozen=True):
    """How recent one proxy's view of the store is."""

    # Store revision up to which the records of proxies and groups are completely known.
    records: int
    # Store revision up to which the instances are known.
    instances: int
    # Version of the route table.
    routes: int

    def is_at_least(self, other: ViewVersions) -> bool:
        """Return whether no part of this view is older than in `other`."""
        return (
            self.records >= other.records
            and self.instances >= other.instances
            and self.routes >= other.routes
        )


def choose_view_source(
    proxy: ProxyRecord, fleet: Fleet, is_avoided: Callable[[str], bool]
) -> ProxyRecord | None:
    """Return the proxy from which `proxy` receives the changes of the store.

    None when `proxy` has to read the store itself: it ranks first, or `is_avoided` is true for the
    names of all sources that rank before it.
    """
    for record in rank_sources(proxy, fleet)[:MAX_SOURCES_PER_ZONE]:
        if record.name == proxy.name:
            return None
        if not is_avoided(record.name):
            return record
    return None


def choose_tree_children(
    proxy: ProxyRecord, fleet: Fleet, followers: Container[str]
) -> tuple[ProxyRecord, ...]:
    """Return the proxies to which `proxy` announces a new configuration.

    These are its children in the tree of its zone, in the order of the ranking, and the first ones
    of its own `followers`, which are the names of the proxies whose source it is.
    """
    ranked = rank_sources(proxy, fleet)
    index = [record.name for record in ranked].index(proxy.name)
    others = ranked[:index] + ranked[index + 1 :]
    direct = [record for record in others if record.name in followers][:TREE_FAN_OUT]
    first_child = index * TREE_FAN_OUT + 1
    children = ranked[first_child : first_child + TREE_FAN_OUT]
    return (*direct, *(child for child in children if child not in direct))


def rank_sources(proxy: ProxyRecord, fleet: Fleet) -> tuple[ProxyRecord, ...]:
    """Rank the proxies of a zone as sources: `proxy` and the active ones that are registered."""
    records = {record.name: record for record in fleet.proxies_in_zone(proxy.zone)}
    records.setdefault(proxy.name, proxy)
    ranked = (records[name] for name in rank_proxies(f"source {proxy.zone}", records))
    return tuple(sorted(ranked, key=lambda record: -record.link_mbps))
