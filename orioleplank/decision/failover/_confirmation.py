"""Selects the proxies that are asked to confirm the failure of a primary."""

from __future__ import annotations

from collections.abc import Iterable

from orioleplank.decision.membership import ProxyRecord, rank_proxies

# Number of proxies that are asked, independent of the size of the fleet: enough that proxies of
# several availability zones are among them.
CONFIRMING_PEERS = 6


def choose_confirming_peers(
    instance: str, self_record: ProxyRecord, active: Iterable[ProxyRecord]
) -> tuple[ProxyRecord, ...]:
    """Return the proxies to ask about an instance, covering as many availability zones as possible.

    One proxy of each zone comes before the others; `self_record` itself is excluded.
    """
    others = {record.name: record for record in active if record.name != self_record.name}
    # The text of the ranking key is fixed; "witness" in it stands for a confirming peer.
    ranked = [others[name] for name in rank_proxies(f"witness {instance}", others)]
    first_of_zone: dict[str, ProxyRecord] = {}
    for record in ranked:
        first_of_zone.setdefault(record.zone, record)
    firsts = list(first_of_zone.values())
    return tuple(
        (firsts + [record for record in ranked if record not in firsts])[:CONFIRMING_PEERS]
    )
