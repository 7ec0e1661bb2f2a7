"""A client of the platform's object store."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, Generic, TypeVar
from urllib.parse import quote

from twisted.web.client import Agent, HTTPConnectionPool

from orioleplank._http_client import NO_RESPONSE_ERRORS, read_response_body, send_request
from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.gateway import (
    Changes,
    Listing,
    ObjectCollection,
    RecordCollection,
    RemovedObject,
    StoreConflictError,
    StoredRecord,
    StoreUnavailableError,
    WatchHistoryExpiredError,
)
from orioleplank.platform._objects import RawObject, parse_instance, parse_record, parse_routes

# Time for a call, in seconds: many times what a slow store takes.
CALL_LIMIT_S = 1.5
CONNECT_LIMIT_S = 1.0
# Kinds of objects.
ROUTES_KIND = "config"
INSTANCES_KIND = "servers"
RECORDS_KIND = "orioleplank"

T = TypeVar("T")
Reader = Callable[[RawObject], "T | None"]
# Told of the method and the answer of each call.
CallListener = Callable[[str, str], None]
# Told of the kind and name of an object that cannot be read.
UnreadableListener = Callable[[str, str], None]


class StoreClient:
    """Calls to the store; one client for all kinds."""

    def __init__(self, reactor: Any, address: str, on_call: CallListener) -> None:
        self._base = f"http://{address}/orioleplank/objects"
        self._address = address
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = 8
        pool.retryAutomatically = False
        self._agent: Any = Agent(reactor, connectTimeout=CONNECT_LIMIT_S, pool=pool)
        self._on_call = on_call

    async def call(
        self, method: str, path: str, body: object = None, limit: float = CALL_LIMIT_S
    ) -> Any:
        """Make a call; return the body of its answer.

        Raise `StoreUnavailableError`, `StoreConflictError` or `WatchHistoryExpiredError`.
        """
        step = f"{method} {path.partition('?')[0]}"
        headers = {"Content-Type": "application/json"} if body is not None else {}
        data = None if body is None else json.dumps(body).encode()
        url = f"{self._base}/{path}"
        try:
            response = await send_request(
                self._reactor, self._agent, method, url, limit, headers, data
            )
            text = await read_response_body(self._reactor, response, limit)
        except NO_RESPONSE_ERRORS as error:
            detail = type(error).__name__
            self._on_call(method, detail)
            raise StoreUnavailableError(step, self._address, detail) from error
        self._on_call(method, str(response.code))
        return self._read(step, response.code, text)

    def _read(self, step: str, code: int, text: bytes) -> Any:
        match code:
            case 200 | 201:
                pass
            case 409 | 404:
                raise StoreConflictError(step, self._address, f"code {code}")
            case 410:
                raise WatchHistoryExpiredError(step, self._address, "the history is gone")
            case _:
                raise StoreUnavailableError(step, self._address, f"code {code}")
        try:
            return json.loads(text)
        except (ValueError, RecursionError) as error:
            raise StoreUnavailableError(step, self._address, "the body is not JSON") from error


class ObjectKind(Generic[T]):
    """One kind of objects; implements the gateway's `ObjectCollection`."""

    def __init__(
        self, client: StoreClient, kind: str, read: Reader[T], on_unreadable: UnreadableListener
    ) -> None:
        self._client = client
        self._kind = kind
        self._read_object = read
        self._on_unreadable = on_unreadable

    def _read(self, raw: RawObject) -> T | None:
        """Read an object; tell of one that cannot be read."""
        item = self._read_object(raw)
        if item is None:
            self._on_unreadable(self._kind, raw.name)
        return item

    async def list(self) -> Listing[T]:
        """Read all objects, linearizably; raise `StoreUnavailableError`."""
        items: list[T] = []
        after, revision = "", 0
        while True:
            path = f"{self._kind}?after={quote(after)}" if after else self._kind
            page = await self._client.call("GET", path)
            try:
                revision = revision or int(page["at"])
                raws = [RawObject.parse(item) for item in page["items"]]
            except (KeyError, TypeError, ValueError) as error:
                raise StoreUnavailableError("list objects", self._kind, "bad page") from error
            items += [item for raw in raws if raw and (item := self._read(raw)) is not None]
            if not page.get("hasMore") or not raws:
                return Listing(revision, tuple(items))
            last = raws[-1]
            if last is None:
                raise StoreUnavailableError("list objects", self._kind, "a page is not readable")
            after = last.name

    async def watch(self, revision: int, wait: float) -> Changes[T]:
        """Wait up to `wait` seconds for changes after `revision`.

        Raise `StoreUnavailableError`, or `WatchHistoryExpiredError` when a new listing is needed.
        """
        path = f"{self._kind}?watch={revision}&waitMs={int(wait * 1000)}"
        answer = await self._client.call("GET", path, limit=wait + CALL_LIMIT_S)
        try:
            return Changes(int(answer["at"]), self._read_events(answer.get("events", ())))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise StoreUnavailableError("watch objects", self._kind, "bad events") from error

    def _read_events(self, events: Any) -> tuple[T | RemovedObject, ...]:
        items: list[T | RemovedObject] = []
        for event in events:
            raw = RawObject.parse(event.get("object"))
            if raw is None:
                continue
            item = None if event.get("deleted") else self._read(raw)
            items.append(RemovedObject(raw.name) if item is None else item)
        return tuple(items)


class RecordKind(ObjectKind[StoredRecord]):
    """The product's own objects; implements the gateway's `RecordCollection`."""

    async def create(self, name: str, content: Mapping[str, object]) -> int:
        """Create an object; return its revision. Raise `StoreConflictError` if it exists."""
        body = {"meta": {"name": name}, "spec": dict(content)}
        return _read_revision(await self._client.call("POST", self._kind, body))

    async def replace(self, name: str, content: Mapping[str, object], revision: int) -> int:
        """Replace an object that is at `revision`; return the new one.

        Raise `StoreConflictError` when it is at another revision or does not exist.
        """
        body = {"meta": {"name": name, "revision": revision}, "spec": dict(content)}
        path = f"{self._kind}/{quote(name)}"
        return _read_revision(await self._client.call("PUT", path, body))

    async def remove(self, name: str, revision: int) -> None:
        """Remove an object that is at `revision`; one that is gone already is no error."""
        path = f"{self._kind}/{quote(name)}?revision={revision}"
        try:
            await self._client.call("DELETE", path)
        except StoreConflictError:
            return


def _read_revision(answer: Any) -> int:
    """Return the revision of an object that was written; the write was made in any case."""
    raw = RawObject.parse(answer)
    if raw is None:
        raise StoreUnavailableError("write object", "", "the answer shows no object")
    return raw.revision


class PlatformStore:
    """The platform's store; implements the gateway's `Store`."""

    def __init__(self, client: StoreClient, on_unreadable: UnreadableListener) -> None:
        self.routes: ObjectCollection[RouteTable] = ObjectKind(
            client, ROUTES_KIND, parse_routes, on_unreadable
        )
        self.instances: ObjectCollection[InstanceEntry] = ObjectKind(
            client, INSTANCES_KIND, parse_instance, on_unreadable
        )
        self.records: RecordCollection = RecordKind(
            client, RECORDS_KIND, parse_record, on_unreadable
        )
