"""A stand-in of the platform's store on the fabric, seen by each proxy through ports."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from twisted.internet.defer import Deferred

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
# Time for a call that is never answered, in seconds.
CALL_LIMIT_S = 1.5

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    kind: str
    name: str
    # None when it was removed.
    item: Any


@dataclass(slots=True)
class SimulatedStore:
    """Objects by kind and name, with one revision for all."""

    simulator: Simulator
    revision: int = 1
    objects: dict[str, dict[str, tuple[int, Any]]] = field(default_factory=dict)
    history: list[_Change] = field(default_factory=list)
    watchers: list[Callable[[], None]] = field(default_factory=list)
    # First revision that the history still tells of.
    oldest_revision: int = 0
    # Proxies that are refused; all of them when it holds "*".
    refused_proxies: set[str] = field(default_factory=set)
    # True while changes are made and not answered.
    loses_answers: bool = False
    # Seconds added to each answer.
    slowness: float = 0.0
    # Seconds by which answers about a kind come later still, by the kind.
    delay_by_kind: dict[str, float] = field(default_factory=dict)
    # Calls, watches included, by the proxy that made them.
    call_counts: Counter[str] = field(default_factory=Counter)

    def put(self, kind: str, name: str, item: Any) -> int:
        """Write an object; return its revision."""
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, item)
        self._note(kind, name, item)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        if self.objects.get(kind, {}).pop(name, None) is not None:
            self.revision += 1
            self._note(kind, name, None)

    def compact_history(self) -> None:
        """Drop the history, so that watches end."""
        self.oldest_revision = self.revision + 1
        self.revision += 1
        self._wake()

    def refuses(self, proxy: str) -> bool:
        """Tell whether a proxy is refused now."""
        return "*" in self.refused_proxies or proxy in self.refused_proxies

    def _note(self, kind: str, name: str, item: Any) -> None:
        self.history.append(_Change(self.revision, kind, name, item))
        self._wake()

    def _wake(self) -> None:
        watchers, self.watchers = self.watchers, []
        for watcher in watchers:
            watcher()


class KindPort(Generic[T]):
    """One kind as one proxy sees it."""

    def __init__(self, store: SimulatedStore, node: Node, kind: str) -> None:
        self._store = store
        self._node = node
        self._kind = kind
        # Answers to an earlier run of the proxy go nowhere.
        self._run = node.generation

    def list(self) -> Deferred[Listing[T]]:
        """Read all objects."""

        def read() -> Listing[T]:
            items = self._store.objects.get(self._kind, {})
            return Listing(self._store.revision, tuple(self._show(n, *v) for n, v in items.items()))

        return self._call(read)

    def watch(self, revision: int, wait: float) -> Deferred[Changes[T]]:
        """Wait for changes."""
        store, result = self._store, Deferred[Any]()
        store.call_counts[self._node.name] += 1
        end = store.simulator.now + wait

        def look() -> None:
            if result.called:
                return
            if store.refuses(self._node.name):
                self._answer(result, StoreUnavailableError("watch", STORE_NODE, "refused"))
                return
            if revision < store.oldest_revision:
                self._answer(result, WatchHistoryExpiredError("watch", STORE_NODE, "gone"))
                return
            first = bisect_right(store.history, revision, key=lambda change: change.revision)
            found = [change for change in store.history[first:] if change.kind == self._kind]
            if found or store.simulator.now >= end:
                items = tuple(self._show_change(change) for change in found)
                self._answer(result, Changes(store.revision, items))
            else:
                store.watchers.append(look)

        self._send(look)
        store.simulator.call_later(wait, look)
        self._limit(result, wait + CALL_LIMIT_S)
        return result

    def _show(self, name: str, revision: int, item: Any) -> Any:
        return item

    def _show_change(self, change: _Change) -> Any:
        if change.item is None:
            return RemovedObject(change.name)
        return self._show(change.name, change.revision, change.item)

    def _call(self, work: Callable[[], Any], changes: bool = False) -> Deferred[Any]:
        """Make a call at the store; the answer may be an error, or never come."""
        store, result = self._store, Deferred[Any]()
        store.call_counts[self._node.name] += 1

        def arrive() -> None:
            if store.refuses(self._node.name):
                self._answer(result, StoreUnavailableError("call", STORE_NODE, "refused"))
                return
            try:
                answer = work()
            except StoreConflictError as error:
                answer = error
            if not (changes and store.loses_answers):
                self._answer(result, answer)

        self._send(arrive)
        self._limit(result, CALL_LIMIT_S)
        return result

    def _send(self, call: Callable[[], None]) -> None:
        self._store.simulator.deliver(self._node.name, STORE_NODE, call)

    def _answer(self, result: Deferred[Any], answer: Any) -> None:
        def arrive() -> None:
            if result.called or self._node.generation != self._run:
                return
            if isinstance(answer, Exception):
                result.errback(answer)
            else:
                result.callback(answer)

        fabric, name = self._store.simulator, self._node.name
        late = self._store.slowness + self._store.delay_by_kind.get(self._kind, 0.0)
        fabric.call_later(late, lambda: fabric.deliver(STORE_NODE, name, arrive, is_reply=True))

    def _limit(self, result: Deferred[Any], seconds: float) -> None:

        def expire() -> None:
            if not result.called and self._node.generation == self._run and self._node.alive:
                result.errback(StoreUnavailableError("call", STORE_NODE, "no answer"))

        fabric = self._store.simulator
        fabric.call_later(seconds, lambda: fabric.call_on_node(self._node, expire))


class RecordPort(KindPort[StoredRecord]):
    """The product's own objects."""

    def create(self, name: str, content: Mapping[str, object]) -> Deferred[int]:
        """Create an object."""

        def write() -> int:
            if name in self._store.objects.get(self._kind, {}):
                raise StoreConflictError("create", STORE_NODE, name)
            return self._store.put(self._kind, name, dict(content))

        return self._call(write, changes=True)

    def replace(self, name: str, content: Mapping[str, object], revision: int) -> Deferred[int]:
        """Replace an object."""

        def write() -> int:
            held = self._store.objects.get(self._kind, {}).get(name)
            if held is None or held[0] != revision:
                raise StoreConflictError("replace", STORE_NODE, name)
            return self._store.put(self._kind, name, dict(content))

        return self._call(write, changes=True)

    def remove(self, name: str, revision: int) -> Deferred[None]:
        """Remove an object."""

        def write() -> None:
            held = self._store.objects.get(self._kind, {}).get(name)
            if held is not None and held[0] == revision:
                self._store.delete(self._kind, name)

        return self._call(write, changes=True)

    def _show(self, name: str, revision: int, item: Any) -> StoredRecord:
        return StoredRecord(name, revision, item)


class SimulatedStoreClient:
    """The store as one proxy sees it; implements the gateway's `Store`."""

    def __init__(self, store: SimulatedStore, node: Node) -> None:
        self.routes: KindPort[RouteTable] = KindPort(store, node, "routes")
        self.instances: KindPort[InstanceEntry] = KindPort(store, node, "instances")
        self.records = RecordPort(store, node, "records")
