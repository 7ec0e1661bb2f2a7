"""Counts the bytes held for each connection, and decides which ones to close over the budget."""

from __future__ import annotations

from typing import Generic, TypeVar

K = TypeVar("K")

# Connections are closed until at most this share of the budget is held; otherwise each further
# message would exceed the budget again.
SHARE_AFTER_CLOSING = 3 / 4


class HeldBytes(Generic[K]):
    """Bytes held in the process, by connection.

    Addresses many connections of which each stays within its own limits. Over the budget, those
    that hold the most are closed first, so that callers with small messages are still served.
    """

    def __init__(self, budget: int) -> None:
        self._budget = budget
        self._by_holder: dict[K, int] = {}
        self.total = 0

    @property
    def is_exceeded(self) -> bool:
        """True while more is held than the budget allows."""
        return self.total > self._budget

    @property
    def holders(self) -> tuple[K, ...]:
        """All connections for which something is held."""
        return tuple(self._by_holder)

    def record(self, holder: K, count: int) -> None:
        """Record how many bytes are held for a connection now."""
        self.total += count - self._by_holder.get(holder, 0)
        if count:
            self._by_holder[holder] = count
        else:
            self._by_holder.pop(holder, None)

    def choose_excess(self) -> tuple[K, ...]:
        """Return the connections to close, the largest first; empty within the budget."""
        if not self.is_exceeded:
            return ()
        excess = self.total - self._budget * SHARE_AFTER_CLOSING
        chosen: list[K] = []
        for holder in sorted(self._by_holder, key=self._by_holder.__getitem__, reverse=True):
            if excess <= 0:
                break
            chosen.append(holder)
            excess -= self._by_holder[holder]
        return tuple(chosen)
