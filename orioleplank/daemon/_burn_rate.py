"""Counts of answered and failed requests over sliding windows, from which burn rates follow."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

BUCKET_S = 10.0


@dataclass(frozen=True, slots=True)
class Window:
    """A sliding window that ends now."""

    # Shown in reports and used as JSON key.
    name: str
    seconds: float


WINDOWS = (
    Window("5m", 300.0),
    Window("30m", 1800.0),
    Window("1h", 3600.0),
    Window("6h", 21_600.0),
)


@dataclass(frozen=True, slots=True)
class KindKey:
    """Identifies a request kind of a service."""

    service: str
    kind: str


@dataclass(frozen=True, slots=True)
class Count:
    """Requests of one kind in one window."""

    # Requests answered completely.
    answered: int
    # Requests that the proxy refused, without those refused because of an operator's change.
    failed: int


class BurnRateCounts:
    """Answered and failed requests of each kind, in buckets of `BUCKET_S` seconds.

    Buckets older than the longest window are removed. Refusals caused by an operator's change
    must not be added: they are intended.
    """

    def __init__(self) -> None:
        self._buckets: defaultdict[KindKey, dict[int, Count]] = defaultdict(dict)

    def add(self, key: KindKey, answered: bool, now: float) -> None:
        """Count one request that ended at `now`, in seconds of the proxy's clock."""
        buckets = self._buckets[key]
        index = int(now / BUCKET_S)
        bucket = buckets.get(index)
        if bucket is None:
            bucket = Count(0, 0)
            self._remove_old_buckets(buckets, index)
        buckets[index] = Count(bucket.answered + answered, bucket.failed + (not answered))

    def _remove_old_buckets(self, buckets: dict[int, Count], newest: int) -> None:
        oldest = newest - int(WINDOWS[-1].seconds / BUCKET_S)
        for stale in [index for index in buckets if index < oldest]:
            del buckets[stale]

    def kinds(self) -> tuple[KindKey, ...]:
        """Return the kinds with at least one counted request."""
        return tuple(self._buckets)

    def count(self, key: KindKey, window: Window, now: float) -> Count:
        """Return the totals of the window that ends at `now`."""
        first = int((now - window.seconds) / BUCKET_S)
        matching = [bucket for index, bucket in self._buckets[key].items() if index > first]
        return Count(
            sum(bucket.answered for bucket in matching), sum(bucket.failed for bucket in matching)
        )


def burn_rate_counts_to_json(counts: BurnRateCounts, now: float) -> list[dict[str, object]]:
    """Return the counts of all kinds and windows as JSON values: `[answered, failed]`."""
    return [
        {
            "service": key.service,
            "kind": key.kind,
            "windows": {
                window.name: [total.answered, total.failed]
                for window in WINDOWS
                for total in (counts.count(key, window, now),)
            },
        }
        for key in counts.kinds()
    ]
