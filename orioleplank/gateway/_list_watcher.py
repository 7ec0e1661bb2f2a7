"""Keeps one kind of objects in the store up to date by a listing followed by watches.

After a failed call, an expired watch history or a closed read gate it starts with a listing again.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Generic, TypeVar

from msgspec import Struct

from orioleplank.gateway._interfaces import (
    Changes,
    Listing,
    ObjectCollection,
    StoreConflictError,
    StoreUnavailableError,
    WatchHistoryExpiredError,
)
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._store_read_gate import StoreReadGate

# Pause after a failed call, doubled each time up to the maximum and randomized, because otherwise
# all proxies would call at the same time.
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

T = TypeVar("T")


class WatchHandler(Struct, Generic[T], frozen=True):
    """The callbacks of a `ListWatcher`."""

    # Called with a complete listing and the time of its request, on the lease clock.
    on_listing: Callable[[Listing[T], float], None]
    # Called with changes after the latest listing or changes.
    on_changes: Callable[[Changes[T]], None]
    # Called when a call to the store has ended, with the reason of its failure; an empty string
    # means that the store responded.
    on_call_finished: Callable[[str], None]
    # Called with the revision up to which the objects are known, after each successful call.
    on_known: Callable[[int], None] = lambda revision: None


class ListWatcher(Generic[T]):
    """Lists and watches one kind of objects until `is_stopped` is set."""

    def __init__(
        self,
        reactor: Any,
        collection: ObjectCollection[T],
        handler: WatchHandler[T],
        lease_clock: Callable[[], float],
        watch_timeout_s: float,
        random: Random,
        gate: StoreReadGate,
        probes_unreachable_store: bool = False,
        get_known_revision: Callable[[], int] = lambda: 0,
    ) -> None:
        """Create a watcher; `run` starts it.

        When the gate opens, it watches from the revision that `get_known_revision` returns, unless
        that is 0: the objects are known up to it, from another proxy. After a failure it lists.
        Only a watcher with `probes_unreachable_store` keeps calling an unresponsive store; the
        others wait until the store is reachable again.
        """
        self._reactor = reactor
        self._gate = gate
        self._probes_unreachable_store = probes_unreachable_store
        self._collection = collection
        self._handler = handler
        self._lease_clock = lease_clock
        self._watch_timeout_s = watch_timeout_s
        self._random = random
        self._failures = 0
        self._get_known_revision = get_known_revision
        # True after a failure, until the next listing.
        self._must_list = False
        self.is_stopped = False

    @property
    def is_failing(self) -> bool:
        """True after a failed call, until the next successful one."""
        return self._failures > 0

    async def run(self) -> None:
        """List and watch whenever the gate is open, until stopped."""
        while not self.is_stopped:
            await self._gate.wait_until_open()
            initial_close_count = self._gate.close_count
            try:
                revision = await self._begin()
                while not self.is_stopped and self._gate.close_count == initial_close_count:
                    revision = await self._watch(revision, initial_close_count)
            except WatchHistoryExpiredError:
                self._must_list = True
            except (StoreUnavailableError, StoreConflictError) as error:
                self._must_list = True
                self._handler.on_call_finished(str(error))
                await sleep(self._reactor, self._next_retry_delay())
                if not self._probes_unreachable_store:
                    await self._gate.wait_until_store_reachable()

    async def _begin(self) -> int:
        """Return the revision from which to watch; list if the objects are not known."""
        known_revision = self._get_known_revision()
        if known_revision > 0 and not self._must_list:
            return known_revision
        revision = await self._list_until_complete()
        self._must_list = False
        return revision

    async def _list_until_complete(self) -> int:
        """List; raise `StoreUnavailableError` too if the history expires during the listing.

        Only a watch is followed by a listing at once.
        """
        try:
            return await self.list_now()
        except WatchHistoryExpiredError as error:
            raise StoreUnavailableError("list", error.peer, error.detail) from error

    async def list_now(self) -> int:
        """List once; return the revision. Raises `StoreUnavailableError`."""
        requested_at = self._lease_clock()
        listing = await self._collection.list()
        self._record_success()
        self._handler.on_listing(listing, requested_at)
        self._handler.on_known(listing.revision)
        return listing.revision

    async def _watch(self, revision: int, initial_close_count: int) -> int:
        changes = await self._collection.watch(revision, self._watch_timeout_s)
        self._record_success()
        # After the gate was closed, a view from another proxy may be newer than these changes.
        if self._gate.close_count == initial_close_count:
            if changes.items:
                self._handler.on_changes(changes)
            self._handler.on_known(changes.revision)
        return changes.revision

    def _record_success(self) -> None:
        self._failures = 0
        self._handler.on_call_finished("")

    def _next_retry_delay(self) -> float:
        delay = float(min(MAX_RETRY_DELAY_S, INITIAL_RETRY_DELAY_S * 2**self._failures))
        self._failures = min(self._failures + 1, 8)
        return delay * (0.5 + self._random.random())
