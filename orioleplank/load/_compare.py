"""Compares two experiments, with intervals."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from statistics import mean

from orioleplank.load._result import LoadResult

RESAMPLES = 2000
LOW, HIGH = 0.025, 0.975


@dataclass(frozen=True, slots=True)
class GoodputComparison:
    """By how much the second experiment's goodput differs from the first's."""

    # Second over first.
    ratio: float
    # Lower end of the 95% interval.
    low: float
    # Upper end of the 95% interval.
    high: float

    @property
    def is_significant(self) -> bool:
        """True when the interval does not hold 1."""
        return not self.low <= 1.0 <= self.high


def compare_results(first: LoadResult, second: LoadResult, seed: int = 1) -> GoodputComparison:
    """Compare goodput by resampling seconds (Efron, "Bootstrap Methods", 1979)."""
    random = Random(seed)
    before, after = first.goodput[1:-1], second.goodput[1:-1]
    if not before or not after or not mean(before):
        raise ValueError("both experiments need three seconds or more, and answers")
    ratios = sorted(
        mean(random.choices(after, k=len(after)))
        / max(mean(random.choices(before, k=len(before))), 1e-9)
        for _ in range(RESAMPLES)
    )
    return GoodputComparison(
        mean(after) / mean(before),
        ratios[int(LOW * RESAMPLES)],
        ratios[int(HIGH * RESAMPLES)],
    )
