"""What an experiment measured."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import asdict, dataclass, field
from itertools import pairwise
from pathlib import Path

from hdrh.histogram import HdrHistogram
from pydantic import TypeAdapter

LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3
MICROSECONDS = 1_000_000.0


@dataclass(frozen=True, slots=True)
class KindResult:
    """What became of the requests of one kind."""

    # Name of the kind.
    name: str
    # Worth of one answer.
    weight: int
    # Requests sent.
    sent: int
    # Requests answered whole, in time.
    answered: int
    # Of those, answered by a replica.
    by_replica: int
    # Requests not answered, by reason.
    reasons: dict[str, int]
    # Seconds from the intended arrival to the answer, at quantiles in per cent.
    latency: dict[str, float]


@dataclass(frozen=True, slots=True)
class LoadResult:
    """One experiment."""

    # Requests per second that were to arrive.
    rate: float
    # Seconds for which they arrived.
    seconds: float
    # Results by kind.
    kinds: tuple[KindResult, ...]
    # Worth of the answers of each second.
    goodput: tuple[float, ...]
    # Times between the ends of answered writes that are the longest, in seconds, longest first.
    write_gaps: tuple[float, ...]

    @property
    def mean_goodput(self) -> float:
        """Worth of all answers per second."""
        return sum(kind.answered * kind.weight for kind in self.kinds) / self.seconds

    @property
    def answered(self) -> int:
        """All answers."""
        return sum(kind.answered for kind in self.kinds)


@dataclass(slots=True)
class _Tally:
    """What is counted of one kind."""

    # Worth of one answer.
    weight: int
    # Requests sent.
    sent: int = 0
    # Requests answered.
    answered: int = 0
    # Of those, by a replica.
    by_replica: int = 0
    # Reasons of the others.
    reasons: Counter[str] = field(default_factory=Counter)
    # Microseconds to the answer.
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )


class Recorder:
    """Counts as an experiment goes on."""

    def __init__(self, weights: dict[str, int], seconds: float) -> None:
        self._tallies = {name: _Tally(weight) for name, weight in weights.items()}
        self._seconds = seconds
        self._goodput: Counter[int] = Counter()
        self._write_ends: list[float] = []

    def record_sent(self, kind: str) -> None:
        """Count a request that is sent."""
        self._tallies[kind].sent += 1

    def record_answer(
        self, kind: str, seconds: float, at: float, by_replica: bool, write: bool
    ) -> None:
        """Count an answer that came `seconds` after its intended arrival, at `at`."""
        tally = self._tallies[kind]
        tally.answered += 1
        tally.by_replica += by_replica
        tally.latency.record_value(max(1, int(seconds * MICROSECONDS)))
        self._goodput[int(at)] += tally.weight
        if write:
            self._write_ends.append(at)

    def record_failure(self, kind: str, reason: str) -> None:
        """Count a request that is not answered."""
        self._tallies[kind].reasons[reason] += 1

    def build_result(self, rate: float) -> LoadResult:
        """Return the result."""
        kinds = tuple(
            KindResult(
                name,
                tally.weight,
                tally.sent,
                tally.answered,
                tally.by_replica,
                dict(tally.reasons),
                {
                    str(quantile): tally.latency.get_value_at_percentile(quantile) / MICROSECONDS
                    for quantile in (50.0, 90.0, 99.0, 99.9)
                },
            )
            for name, tally in self._tallies.items()
        )
        buckets = tuple(float(self._goodput[second]) for second in range(int(self._seconds)))
        ends = sorted(self._write_ends)
        gaps = sorted((b - a for a, b in pairwise(ends)), reverse=True)
        return LoadResult(rate, self._seconds, kinds, buckets, tuple(gaps[:5]))


def write_result(result: LoadResult, path: Path) -> None:
    """Keep a result as JSON."""
    path.write_text(json.dumps(asdict(result), indent=1), encoding="utf-8")


def read_result(path: Path) -> LoadResult:
    """Read a result that was kept."""
    return TypeAdapter(LoadResult).validate_json(path.read_text(encoding="utf-8"))
