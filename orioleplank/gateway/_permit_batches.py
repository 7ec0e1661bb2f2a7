"""Groups the requests for permits of several accounts into datagrams."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from msgspec import Struct

from orioleplank.decision.membership import PermitAsk
from orioleplank.decision.quota import PermitOrder

# Bytes of all requests in one datagram. The answer, which is longer, stays below 1,200 bytes too,
# so that neither is fragmented.
MAX_BATCH_BYTES = 1000
# Bytes of one account in an answer besides its name: a count, a time, two flags and lengths.
BYTES_PER_GRANT = 24


class PermitBatch(Struct, frozen=True):
    """Requests for permits that share a datagram."""

    # Name of the coordinator.
    coordinator: str
    asks: tuple[PermitAsk, ...]


def group_orders(orders: Iterable[PermitOrder]) -> tuple[PermitBatch, ...]:
    """Return the datagrams that carry these orders; those of one coordinator share them."""
    by_coordinator: defaultdict[str, list[PermitAsk]] = defaultdict(list)
    for order in orders:
        by_coordinator[order.coordinator].append(PermitAsk(order.account, order.count))
    return tuple(
        PermitBatch(coordinator, asks)
        for coordinator, all_asks in by_coordinator.items()
        for asks in _split(all_asks)
    )


def _split(asks: Iterable[PermitAsk]) -> Iterable[tuple[PermitAsk, ...]]:
    batch: list[PermitAsk] = []
    size = 0
    for ask in asks:
        ask_size = len(ask.account.encode()) + BYTES_PER_GRANT
        if batch and size + ask_size > MAX_BATCH_BYTES:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(ask)
        size += ask_size
    if batch:
        yield tuple(batch)
