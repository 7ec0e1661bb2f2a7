"""How many permits a proxy will need soon, from the operations that it recently received.

Load pattern: a steady flow through one proxy, which would otherwise send a request for each
operation. A permit that is requested in advance and not used expires, and is lost to the account.
"""

from __future__ import annotations

from math import exp, floor, sqrt

from msgspec import Struct

# Time constant of the moving average of the demand, in seconds.
SMOOTHING_TIME_S = 1.0


class Demand(Struct, frozen=True):
    """A moving average of the operations per second of one account at one proxy."""

    rate: float = 0.0
    # When it was last updated, in seconds of the lease clock.
    updated_at: float = float("-inf")

    def record_operation(self, now: float) -> Demand:
        """Return the demand after one operation."""
        return Demand(self._rate_at(now) + 1.0 / SMOOTHING_TIME_S, now)

    def expected_count(self, seconds: float, now: float) -> int:
        """Return a number of operations that almost certainly arrive within the next `seconds`.

        This is two standard deviations below the mean of a Poisson process.
        """
        mean = self._rate_at(now) * seconds
        return max(0, floor(mean - 2 * sqrt(mean)))

    def _rate_at(self, now: float) -> float:
        return self.rate * exp(-max(0.0, now - self.updated_at) / SMOOTHING_TIME_S)
