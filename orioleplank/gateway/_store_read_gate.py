"""Whether this proxy reads the store itself."""

from __future__ import annotations

from typing import Any

from orioleplank.gateway._notifier import ChangeNotifier

# How often a waiting reader looks again although nothing was told, in seconds.
LOOK_AGAIN_S = 5.0
# How long a reader leaves it to others in its process to find the store again, in seconds.
AWAY_S = 3.0


class StoreReadGate:
    """Open while this proxy has to read the store itself; readers wait before it."""

    def __init__(self, reactor: Any) -> None:
        self.is_open = True
        # Counts how often it was closed: what a reader knew from before may be overtaken.
        self.close_count = 0
        # False from a call that the store did not answer to the next that it did.
        self.is_store_reached = True
        self._changed = ChangeNotifier(reactor)

    def open(self) -> None:
        """Let readers read."""
        if not self.is_open:
            self.is_open = True
            self._changed.notify_all()

    def close(self) -> None:
        """Let readers wait, because another proxy tells the store's news."""
        if self.is_open:
            self.is_open = False
            self.close_count += 1

    def set_store_reachable(self, is_reached: bool) -> None:
        """Take note whether the store answered."""
        if is_reached and not self.is_store_reached:
            self._changed.notify_all()
        self.is_store_reached = is_reached

    async def wait_until_store_reachable(self) -> None:
        """Return once the store answers somebody in this process again, or after a while."""
        if not self.is_store_reached:
            await self._changed.wait(AWAY_S)

    async def wait_until_open(self) -> None:
        """Return once it is open."""
        while not self.is_open:
            await self._changed.wait(LOOK_AGAIN_S)
