"""Counts the operations of an account that run at instances, in every window of its rate limit."""

from __future__ import annotations

from orioleplank.decision.accounts import RateLimit
from orioleplank.decision.quota.tests._replay import (
    WINDOW_S,
    allowed_in_window,
    max_in_window,
)


class OperationAudit:
    """The operations of callers of one account.

    An operation is a statement outside a transaction or a transaction. It counts when an instance
    first runs a statement of it.
    """

    def __init__(self, limit: RateLimit) -> None:
        self._limit = limit
        # When each operation first ran, by caller and the time at which it was sent.
        self._first_run_at: dict[tuple[int, float], float] = {}

    def __len__(self) -> int:
        return len(self._first_run_at)

    def record(self, caller: int, sent_at: float, now: float) -> None:
        """Record that a statement runs of the operation that a caller sent at a time."""
        self._first_run_at.setdefault((caller, sent_at), now)

    def find_violation(self) -> str | None:
        """Return by how much the fullest window exceeds the bound; None if it holds."""
        allowed = allowed_in_window(self._limit)
        largest = max_in_window(self._first_run_at.values())
        if largest <= allowed:
            return None
        return f"{largest} operations ran within {WINDOW_S} s, over {allowed}"
