"""A retry budget: retries are a share of requests, so that a failure is not made worse."""

from __future__ import annotations

from dataclasses import dataclass, replace

BUDGET_LIMIT = 200.0
BUDGET_START = 100.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries that may still be made."""

    # Retries left.
    left: float = BUDGET_START

    def deposit(self, share: float) -> RetryBudget:
        """Add the share that one new request earns."""
        return replace(self, left=min(BUDGET_LIMIT, self.left + share))

    def withdraw(self) -> RetryBudget | None:
        """Take one retry; None when the budget is spent."""
        if self.left < 1:
            return None
        return replace(self, left=self.left - 1)
