"""Compares the goodput of two load tests, with a confidence interval."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from statistics import mean

from orioleplank.load._result import LoadResult

RESAMPLE_COUNT = 2000
LOW_QUANTILE, HIGH_QUANTILE = 0.025, 0.975


@dataclass(frozen=True, slots=True)
class GoodputComparison:
    """Ratio of the second load test's goodput to the first's, with its confidence interval."""

    # Mean goodput of the second divided by that of the first.
    ratio: float
    # Bounds of the 95% confidence interval.
    low: float
    high: float

    @property
    def is_significant(self) -> bool:
        """True when the interval does not contain 1."""
        return not self.low <= 1.0 <= self.high


def compare_results(first: LoadResult, second: LoadResult, seed: int = 1) -> GoodputComparison:
    """Compare goodput by resampling seconds (Efron, "Bootstrap Methods", 1979).

    The first and last second of each load test are left out. Raise `ValueError` when nothing is
    left, or when the first has no goodput.
    """
    random = Random(seed)
    first_goodput, second_goodput = first.goodput[1:-1], second.goodput[1:-1]
    if not first_goodput or not second_goodput or not mean(first_goodput):
        raise ValueError("both load tests need at least three seconds, and the first needs answers")
    ratios = sorted(
        mean(random.choices(second_goodput, k=len(second_goodput)))
        / max(mean(random.choices(first_goodput, k=len(first_goodput))), 1e-9)
        for _ in range(RESAMPLE_COUNT)
    )
    return GoodputComparison(
        mean(second_goodput) / mean(first_goodput),
        ratios[int(LOW_QUANTILE * RESAMPLE_COUNT)],
        ratios[int(HIGH_QUANTILE * RESAMPLE_COUNT)],
    )
