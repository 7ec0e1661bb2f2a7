"""Counts of answers and failures over sliding windows, for burn rates."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

BUCKET_S = 10.0


@dataclass(frozen=True, slots=True)
class Window:
    """A sliding window."""

    # Name that people read.
    name: str
    # Length in seconds.
    seconds: float


WINDOWS = (
    Window("5m", 300.0),
    Window("30m", 1800.0),
    Window("1h", 3600.0),
    Window("6h", 21_600.0),
)


@dataclass(frozen=True, slots=True)
class KindKey:
    """Names a kind of a service."""

    # Name of the service.
    service: str
    # Name of the kind.
    kind: str


@dataclass(frozen=True, slots=True)
class Count:
    """Requests of one kind in one window."""

    # Requests answered whole.
    answered: int
    # Requests refused by a program.
    failed: int


class BurnRateCounts:
    """Answers and failures of each kind, in buckets of ten seconds, for the longest window.

    Refusals by people do not count: an operator asked for them.
    """

    def __init__(self) -> None:
        self._buckets: defaultdict[KindKey, dict[int, Count]] = defaultdict(dict)

    def add(self, key: KindKey, answered: bool, now: float) -> None:
        """Count one request at `now`, in seconds of the proxy's clock."""
        buckets = self._buckets[key]
        place = int(now / BUCKET_S)
        held = buckets.get(place)
        if held is None:
            held = Count(0, 0)
            self._forget(buckets, place)
        buckets[place] = Count(held.answered + answered, held.failed + (not answered))

    def _forget(self, buckets: dict[int, Count], place: int) -> None:
        oldest = place - int(WINDOWS[-1].seconds / BUCKET_S)
        for old in [kept for kept in buckets if kept < oldest]:
            del buckets[old]

    def kinds(self) -> tuple[KindKey, ...]:
        """Return the kinds that were counted."""
        return tuple(self._buckets)

    def count(self, key: KindKey, window: Window, now: float) -> Count:
        """Return what a window that ends at `now` holds."""
        first = int((now - window.seconds) / BUCKET_S)
        inside = [held for place, held in self._buckets[key].items() if place > first]
        return Count(sum(held.answered for held in inside), sum(held.failed for held in inside))


def burn_rate_counts_to_json(counts: BurnRateCounts, now: float) -> list[dict[str, object]]:
    """Return all counts as JSON values."""
    return [
        {
            "service": key.service,
            "kind": key.kind,
            "windows": {
                window.name: [held.answered, held.failed]
                for window in WINDOWS
                for held in (counts.count(key, window, now),)
            },
        }
        for key in counts.kinds()
    ]
