"""Controls whether this proxy reads the store itself."""

from __future__ import annotations

from typing import Any

from orioleplank.gateway._notifier import ChangeNotifier

# Longest wait of a reader before it checks again without a notification, in seconds.
GATE_RECHECK_INTERVAL_S = 5.0
# How long a reader waits for another reader in its process to reach the store, in seconds.
STORE_WAIT_TIMEOUT_S = 3.0


class StoreReadGate:
    """Open while this proxy has to read the store itself; readers wait while it is closed."""

    def __init__(self, reactor: Any) -> None:
        self.is_open = True
        # How often it was closed; a reader's data from before the last closing may be outdated.
        self.close_count = 0
        # False from a call that failed to reach the store until the next one that reaches it.
        self.is_store_reachable = True
        self._changed = ChangeNotifier(reactor)

    def open(self) -> None:
        """Let readers read the store."""
        if not self.is_open:
            self.is_open = True
            self._changed.notify_all()

    def close(self) -> None:
        """Make readers wait, because another proxy forwards the changes of the store."""
        if self.is_open:
            self.is_open = False
            self.close_count += 1

    def set_store_reachable(self, is_reachable: bool) -> None:
        """Record whether the store has responded to a call."""
        if is_reachable and not self.is_store_reachable:
            self._changed.notify_all()
        self.is_store_reachable = is_reachable

    async def wait_until_store_reachable(self) -> None:
        """Return once a reader in this process reaches the store, or after a timeout."""
        if not self.is_store_reachable:
            await self._changed.wait(STORE_WAIT_TIMEOUT_S)

    async def wait_until_open(self) -> None:
        """Wait until it is open."""
        while not self.is_open:
            await self._changed.wait(GATE_RECHECK_INTERVAL_S)
