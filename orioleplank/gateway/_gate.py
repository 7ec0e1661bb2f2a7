"""Whether this proxy reads the store itself."""

from __future__ import annotations

from typing import Any

from orioleplank.gateway._signal import Signal

# How often a waiting reader looks again although nothing was told, in seconds.
LOOK_AGAIN_S = 5.0


class Gate:
    """Open while this proxy has to read the store itself; readers wait before it."""

    def __init__(self, reactor: Any) -> None:
        self.is_open = True
        # Counts how often it was closed: what a reader knew from before may be overtaken.
        self.closings = 0
        self._changed = Signal(reactor)

    def open(self) -> None:
        """Let readers read."""
        if not self.is_open:
            self.is_open = True
            self._changed.fire()

    def close(self) -> None:
        """Let readers wait, because another proxy tells the store's news."""
        if self.is_open:
            self.is_open = False
            self.closings += 1

    async def wait(self) -> None:
        """Return once it is open."""
        while not self.is_open:
            await self._changed.wait(LOOK_AGAIN_S)
