"""Follows one kind of objects in the store: lists it, watches it, and lists it again in doubt."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Generic, TypeVar

from orioleplank.gateway._interfaces import (
    Changes,
    Listing,
    ObjectCollection,
    StoreUnavailableError,
    WatchHistoryExpiredError,
)
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._store_read_gate import StoreReadGate

# Pause after a failed call, in seconds, doubled each time; all proxies call at once otherwise.
RETRY_FIRST_S = 0.1
RETRY_LIMIT_S = 1.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class WatchHandler(Generic[T]):
    """Who takes what a follower learns."""

    # Takes a complete listing, and when it was asked for on the clock of leases.
    on_listing: Callable[[Listing[T], float], None]
    # Takes changes.
    on_changes: Callable[[Changes[T]], None]
    # Told after each call whether the store answered, with the reason if not.
    on_contact: Callable[[str], None]


class ListWatcher(Generic[T]):
    """Follows one kind until it is stopped."""

    def __init__(
        self,
        reactor: Any,
        kind: ObjectCollection[T],
        listener: WatchHandler[T],
        lease_now: Callable[[], float],
        wait: float,
        random: Random,
        gate: StoreReadGate,
        probes_unreachable_store: bool = False,
    ) -> None:
        """Build a follower; only with `probes_unreachable_store` a silent store is called."""
        self._reactor = reactor
        self._gate = gate
        self._probes = probes_unreachable_store
        self._kind = kind
        self._listener = listener
        self._lease_now = lease_now
        self._wait = wait
        self._random = random
        self._failures = 0
        self.is_stopped = False

    @property
    def is_failing(self) -> bool:
        """True from a call that was not answered to the next that was."""
        return self._failures > 0

    async def run(self) -> None:
        """List and watch whenever the gate is open, until stopped."""
        while not self.is_stopped:
            await self._gate.wait_until_open()
            closings = self._gate.close_count
            try:
                revision = await self.list_now()
                while not self.is_stopped and self._gate.close_count == closings:
                    revision = await self._watch(revision, closings)
            except WatchHistoryExpiredError:
                continue
            except StoreUnavailableError as error:
                self._listener.on_contact(str(error))
                await sleep(self._reactor, self._pause())
                if not self._probes:
                    await self._gate.wait_until_store_reachable()

    async def list_now(self) -> int:
        """List once; return the revision. Raise `StoreUnavailableError`."""
        asked_at = self._lease_now()
        listing = await self._kind.list()
        self._note_success()
        self._listener.on_listing(listing, asked_at)
        return listing.revision

    async def _watch(self, revision: int, closings: int) -> int:
        changes = await self._kind.watch(revision, self._wait)
        self._note_success()
        # What another proxy told since the gate was closed may be newer.
        if changes.items and self._gate.close_count == closings:
            self._listener.on_changes(changes)
        return changes.revision

    def _note_success(self) -> None:
        self._failures = 0
        self._listener.on_contact("")

    def _pause(self) -> float:
        pause = float(min(RETRY_LIMIT_S, RETRY_FIRST_S * 2**self._failures))
        self._failures = min(self._failures + 1, 8)
        return pause * (0.5 + self._random.random())
