"""A retry budget: limits retries to a share of requests, to prevent retry storms."""

from __future__ import annotations

from dataclasses import dataclass, replace

# Upper limit of the budget, and its value at the start, in retries.
MAX_RETRIES = 200.0
INITIAL_RETRIES = 100.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Number of retries that are allowed now. New requests add to it, up to `MAX_RETRIES`."""

    # Retries available; may be fractional.
    available: float = INITIAL_RETRIES

    def deposit(self, share: float) -> RetryBudget:
        """Add the share that one new request earns."""
        return replace(self, available=min(MAX_RETRIES, self.available + share))

    def withdraw(self) -> RetryBudget | None:
        """Return the budget after one retry; None when no whole retry is available."""
        if self.available < 1:
            return None
        return replace(self, available=self.available - 1)
