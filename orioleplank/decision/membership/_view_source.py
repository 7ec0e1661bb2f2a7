"""Which proxies read the store themselves, and from whom the others have its news.

Calls to the store are limited and cost money, so in each availability zone one proxy reads it and
tells the others, which are close by. The next in order takes its place when it is silent or not
reached by the store itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from orioleplank.decision.membership._fleet import Fleet, ProxyRecord, rank_proxies

# Proxies of a zone that may be asked for news: the one that reads, and the next in order.
SOURCES_A_ZONE = 2


@dataclass(frozen=True, slots=True)
class ViewVersions:
    """How new one proxy's view of the store is; the store's revisions, and the routes' version."""

    # Revision up to which the product's own records are known completely.
    records: int
    # Revision up to which the instances are known.
    instances: int
    # Version of the configuration.
    routes: int

    def is_at_least(self, other: ViewVersions) -> bool:
        """Tell whether this view is nowhere older than another one."""
        return (
            self.records >= other.records
            and self.instances >= other.instances
            and self.routes >= other.routes
        )


def choose_view_source(
    me: ProxyRecord, fleet: Fleet, is_avoided: Callable[[str], bool]
) -> ProxyRecord | None:
    """Return the proxy that tells `me` the store's news; None when `me` has to read it itself."""
    nearby = {record.name: record for record in fleet.proxies_in_zone(me.zone)}
    order = rank_proxies(f"source {me.zone}", {*nearby, me.name})
    for name in order[:SOURCES_A_ZONE]:
        if name == me.name:
            return None
        if not is_avoided(name):
            return nearby[name]
    return None
