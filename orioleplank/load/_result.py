"""Records the measurements of a load test, and stores results as JSON."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import asdict, dataclass, field
from itertools import pairwise
from pathlib import Path

from hdrh.histogram import HdrHistogram
from pydantic import TypeAdapter

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 3
US_PER_S = 1_000_000.0


@dataclass(frozen=True, slots=True)
class KindResult:
    """Counts and latency of the requests of one kind."""

    name: str
    # Weight of one answer in the goodput.
    weight: int
    sent: int
    # Requests answered successfully within the timeout.
    answered: int
    # Number of these answers that a replica gave.
    by_replica: int
    # Number of failed requests by reason; `late` for answers after the timeout.
    reasons: dict[str, int]
    # Seconds from the scheduled arrival to the answer, by percentile.
    latency: dict[str, float]


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The result of one load test."""

    # Planned requests per second.
    rate: float
    # Planned duration of the load.
    seconds: float
    kinds: tuple[KindResult, ...]
    # Sum of the weights of all answers, for each second.
    goodput: tuple[float, ...]
    # The five longest times between consecutive answers to writes, in seconds, longest first.
    write_gaps: tuple[float, ...]

    @property
    def mean_goodput(self) -> float:
        """Sum of the weights of all answers, per second."""
        return sum(kind.answered * kind.weight for kind in self.kinds) / self.seconds

    @property
    def answered(self) -> int:
        """Number of answers over all kinds."""
        return sum(kind.answered for kind in self.kinds)


@dataclass(slots=True)
class _KindCounts:
    """Running counts of one kind."""

    weight: int
    sent: int = 0
    answered: int = 0
    by_replica: int = 0
    # Number of failed requests by reason.
    reasons: Counter[str] = field(default_factory=Counter)
    # Latency of answers in microseconds.
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )


class Recorder:
    """Counts requests, answers and failures during a load test."""

    def __init__(self, weights: dict[str, int], seconds: float) -> None:
        self._counts = {name: _KindCounts(weight) for name, weight in weights.items()}
        self._seconds = seconds
        self._goodput: Counter[int] = Counter()
        self._write_answer_times: list[float] = []

    def record_sent(self, kind: str) -> None:
        """Count a sent request."""
        self._counts[kind].sent += 1

    def record_answer(
        self, kind: str, latency_s: float, answered_at: float, by_replica: bool, write: bool
    ) -> None:
        """Count an answer.

        `latency_s` is the time since the scheduled arrival, `answered_at` the time since the start
        of the load, both in seconds.
        """
        counts = self._counts[kind]
        counts.answered += 1
        counts.by_replica += by_replica
        counts.latency.record_value(max(1, int(latency_s * US_PER_S)))
        self._goodput[int(answered_at)] += counts.weight
        if write:
            self._write_answer_times.append(answered_at)

    def record_failure(self, kind: str, reason: str) -> None:
        """Count a request that failed or was answered too late."""
        self._counts[kind].reasons[reason] += 1

    def build_result(self, rate: float) -> LoadResult:
        """Return the result so far; `rate` is the planned rate in requests per second."""
        kinds = tuple(
            KindResult(
                name,
                counts.weight,
                counts.sent,
                counts.answered,
                counts.by_replica,
                dict(counts.reasons),
                {
                    str(quantile): counts.latency.get_value_at_percentile(quantile) / US_PER_S
                    for quantile in (50.0, 90.0, 99.0, 99.9)
                },
            )
            for name, counts in self._counts.items()
        )
        buckets = tuple(float(self._goodput[second]) for second in range(int(self._seconds)))
        answer_times = sorted(self._write_answer_times)
        gaps = sorted((b - a for a, b in pairwise(answer_times)), reverse=True)
        return LoadResult(rate, self._seconds, kinds, buckets, tuple(gaps[:5]))


def write_result(result: LoadResult, path: Path) -> None:
    """Write a result to a JSON file."""
    path.write_text(json.dumps(asdict(result), indent=1), encoding="utf-8")


def read_result(path: Path) -> LoadResult:
    """Read a result that `write_result` has written."""
    return TypeAdapter(LoadResult).validate_json(path.read_text(encoding="utf-8"))
