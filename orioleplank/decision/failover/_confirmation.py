"""Which proxies are asked whether a primary lives."""

from __future__ import annotations

from collections.abc import Iterable

from orioleplank.decision.membership import ProxyRecord, rank_proxies

# Proxies that are asked: enough that one of several zones is among them, however large the fleet.
WITNESSES = 6


def choose_confirming_peers(
    instance: str, me: ProxyRecord, active: Iterable[ProxyRecord]
) -> tuple[ProxyRecord, ...]:
    """Return the proxies to ask about an instance, of as many zones as there are."""
    others = {record.name: record for record in active if record.name != me.name}
    ranked = [others[name] for name in rank_proxies(f"witness {instance}", others)]
    first_of_zone: dict[str, ProxyRecord] = {}
    for record in ranked:
        first_of_zone.setdefault(record.zone, record)
    firsts = list(first_of_zone.values())
    return tuple((firsts + [record for record in ranked if record not in firsts])[:WITNESSES])
