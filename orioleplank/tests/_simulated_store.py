"""A simulated store of the platform on virtual time, and each proxy's client of it."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Generic, TypeVar

from twisted.internet.defer import Deferred

from orioleplank.decision import build_revision, era_of, number_of
from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.gateway import (
    Changes,
    Listing,
    RemovedObject,
    StoreConflictError,
    StoredRecord,
    StoreUnavailableError,
    WatchHistoryExpiredError,
)
from orioleplank.tests._simulator import Node, Simulator

STORE_NODE = "store"
# A call without a response fails after this time.
CALL_TIMEOUT_S = 1.5

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Change:
    # Virtual time of the change, in seconds.
    written_at: float
    revision: int
    kind: str
    name: str
    # The new content; None when the object was removed.
    item: Any


@dataclass(slots=True)
class SimulatedStore:
    """The store: objects by kind and name, one revision counter for all, and injected faults."""

    simulator: Simulator
    revision: int = 1
    # Rises by one with each restore.
    era: int = 1
    objects: dict[str, dict[str, tuple[int, Any]]] = field(default_factory=dict)
    history: list[_Change] = field(default_factory=list)
    watchers: list[Callable[[], None]] = field(default_factory=list)
    # Watches from a revision below this one fail, because the history was compacted.
    oldest_revision: int = 0
    # Names of proxies whose calls are refused; "*" stands for all proxies.
    refused_proxies: set[str] = field(default_factory=set)
    # True while changes are applied, but their responses are lost.
    loses_answers: bool = False
    # Seconds after which changes are applied, without a response; 0 when they are applied at once.
    change_delay: float = 0.0
    # Seconds added to the delay of each response.
    slowness: float = 0.0
    # Further seconds of delay of responses about a kind, by kind.
    delay_by_kind: dict[str, float] = field(default_factory=dict)
    # Number of calls, including watches, by proxy.
    call_counts: Counter[str] = field(default_factory=Counter)

    def put(self, kind: str, name: str, item: Any) -> int:
        """Write an object; return its revision."""
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, item)
        self._record_change(kind, name, item)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if it exists."""
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1
            self._record_change(kind, name, None)

    def compact_history(self) -> None:
        """Drop the history: watches from an earlier revision fail."""
        self.oldest_revision = self.revision + 1
        self.revision += 1
        self._notify_watchers()

    def restore(self, seconds: float) -> None:
        """Come back from a copy that is `seconds` old; pending watches are never answered.

        Later changes are lost, and their revisions are given out again.
        """
        copied_at = self.simulator.now - seconds
        self.history = [change for change in self.history if change.written_at <= copied_at]
        self.revision = max((change.revision for change in self.history), default=1)
        self.era += 1
        self.objects = {}
        for change in self.history:
            items = self.objects.setdefault(change.kind, {})
            items.pop(change.name, None)
            if change.item is not None:
                items[change.name] = (change.revision, change.item)
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.watchers = []

    def refuses(self, proxy: str) -> bool:
        """Return whether calls of a proxy are refused now."""
        return "*" in self.refused_proxies or proxy in self.refused_proxies

    def _record_change(self, kind: str, name: str, item: Any) -> None:
        self.history.append(_Change(self.simulator.now, self.revision, kind, name, item))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        watchers, self.watchers = self.watchers, []
        for watcher in watchers:
            watcher()


@dataclass(slots=True)
class _KnownEra:
    """The latest era that one proxy has seen, and its watches, which end when the era rises."""

    era: int = 0
    pending_watches: list[Deferred[Any]] = field(default_factory=list)

    def observe(self, era: int) -> None:
        """Take the era of a response."""
        if era <= self.era:
            return
        self.era = era
        watches, self.pending_watches = self.pending_watches, []
        for watch in watches:
            if not watch.called:
                watch.errback(WatchHistoryExpiredError("watch", STORE_NODE, "restored"))


class SimulatedCollection(Generic[T]):
    """The objects of one kind, as read and watched by one proxy."""

    def __init__(self, store: SimulatedStore, node: Node, kind: str, known: _KnownEra) -> None:
        self._store = store
        self._known = known
        self._node = node
        self._kind = kind
        # Responses to an earlier run of the proxy are dropped.
        self._generation = node.generation

    def list(self) -> Deferred[Listing[T]]:
        """Return all objects of the kind with the store's revision."""

        def read() -> Listing[T]:
            items = self._store.objects.get(self._kind, {})
            return Listing(
                self._to_revision(self._store.revision),
                tuple(self._to_result(n, *v) for n, v in items.items()),
            )

        return self._call(read)

    def watch(self, revision: int, timeout: float) -> Deferred[Changes[T]]:
        """Return the changes after `revision`; without any, wait up to `timeout` seconds for one.

        Fails with StoreUnavailableError or WatchHistoryExpiredError.
        """
        store, result = self._store, Deferred[Any]()
        self._known.pending_watches = [d for d in self._known.pending_watches if not d.called]
        self._known.pending_watches.append(result)
        store.call_counts[self._node.name] += 1
        end = store.simulator.now + timeout
        era = store.era

        def check() -> None:
            if result.called or store.era != era:
                return
            if store.refuses(self._node.name):
                self._respond(result, StoreUnavailableError("watch", STORE_NODE, "refused"))
                return
            number = number_of(revision)
            is_known = store.oldest_revision <= number <= store.revision
            if not is_known or era_of(revision) != era:
                self._respond(result, WatchHistoryExpiredError("watch", STORE_NODE, "gone"))
                return
            first_index = bisect_right(store.history, number, key=lambda change: change.revision)
            matching_changes = [
                change for change in store.history[first_index:] if change.kind == self._kind
            ]
            if matching_changes or store.simulator.now >= end:
                items = tuple(self._to_change_result(change) for change in matching_changes)
                self._respond(result, Changes(self._to_revision(store.revision), items))
            else:
                store.watchers.append(check)

        self._send(check)
        store.simulator.call_later(timeout, check)
        self._fail_after(result, timeout + CALL_TIMEOUT_S)
        return result

    def _to_result(self, name: str, number: int, item: Any) -> Any:
        return item

    def _to_revision(self, number: int) -> int:
        return build_revision(self._store.era, number)

    def _to_change_result(self, change: _Change) -> Any:
        if change.item is None:
            return RemovedObject(change.name)
        return self._to_result(change.name, change.revision, change.item)

    def _call(self, operation: Callable[[], Any], is_change: bool = False) -> Deferred[Any]:
        """Call the store; the response may be an error or get lost.

        Without a response it fails with StoreUnavailableError after `CALL_TIMEOUT_S`.
        """
        store, result = self._store, Deferred[Any]()
        store.call_counts[self._node.name] += 1

        def arrive() -> None:
            if store.refuses(self._node.name):
                self._respond(result, StoreUnavailableError("call", STORE_NODE, "refused"))
                return
            if is_change and store.change_delay:
                store.simulator.call_later(store.change_delay, partial(_attempt, operation))
                return
            response = _attempt(operation)
            if not (is_change and store.loses_answers):
                self._respond(result, response)

        self._send(arrive)
        self._fail_after(result, CALL_TIMEOUT_S)
        return result

    def _send(self, call: Callable[[], None]) -> None:
        self._store.simulator.deliver(self._node.name, STORE_NODE, call)

    def _respond(self, result: Deferred[Any], response: Any) -> None:
        era = self._store.era

        def arrive() -> None:
            if result.called or self._node.generation != self._generation:
                return
            self._known.observe(era)
            if result.called:
                return
            if isinstance(response, Exception):
                result.errback(response)
            else:
                result.callback(response)

        simulator, name = self._store.simulator, self._node.name
        delay = self._store.slowness + self._store.delay_by_kind.get(self._kind, 0.0)
        simulator.call_later(
            delay, lambda: simulator.deliver(STORE_NODE, name, arrive, is_reply=True)
        )

    def _fail_after(self, result: Deferred[Any], seconds: float) -> None:

        def expire() -> None:
            if not result.called and self._node.generation == self._generation and self._node.alive:
                result.errback(StoreUnavailableError("call", STORE_NODE, "no answer"))

        simulator = self._store.simulator
        simulator.call_later(seconds, lambda: simulator.call_on_node(self._node, expire))


def _attempt(operation: Callable[[], Any]) -> Any:
    """Return the result of an operation, or the conflict that it raises."""
    try:
        return operation()
    except StoreConflictError as error:
        return error


class SimulatedRecordCollection(SimulatedCollection[StoredRecord]):
    """The proxies' own records in the store, which proxies create, replace and remove."""

    def create(self, name: str, content: Mapping[str, object]) -> Deferred[int]:
        """Create an object; fails with StoreConflictError if it exists."""

        def write() -> int:
            if name in self._store.objects.get(self._kind, {}):
                raise StoreConflictError("create", STORE_NODE, name)
            return self._to_revision(self._store.put(self._kind, name, dict(content)))

        return self._call(write, is_change=True)

    def replace(self, name: str, content: Mapping[str, object], revision: int) -> Deferred[int]:
        """Replace an object; fails with StoreConflictError if its revision is not `revision`."""

        def write() -> int:
            stored = self._store.objects.get(self._kind, {}).get(name)
            if stored is None or stored[0] != number_of(revision):
                raise StoreConflictError("replace", STORE_NODE, name)
            return self._to_revision(self._store.put(self._kind, name, dict(content)))

        return self._call(write, is_change=True)

    def remove(self, name: str, revision: int) -> Deferred[None]:
        """Remove an object if its revision is `revision`."""

        def write() -> None:
            stored = self._store.objects.get(self._kind, {}).get(name)
            if stored is not None and stored[0] == number_of(revision):
                self._store.delete(self._kind, name)

        return self._call(write, is_change=True)

    def _to_result(self, name: str, number: int, item: Any) -> StoredRecord:
        return StoredRecord(name, self._to_revision(number), item)


class SimulatedStoreClient:
    """The store's client of one proxy; implements the gateway's `Store`."""

    def __init__(self, store: SimulatedStore, node: Node) -> None:
        known = _KnownEra()
        self.routes: SimulatedCollection[RouteTable] = SimulatedCollection(
            store, node, "routes", known
        )
        self.instances: SimulatedCollection[InstanceEntry] = SimulatedCollection(
            store, node, "instances", known
        )
        self.records = SimulatedRecordCollection(store, node, "records", known)
