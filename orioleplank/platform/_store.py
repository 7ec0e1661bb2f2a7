"""Client of the platform's object store.

The store's own revisions go back when it is restored from an older copy. The client combines them
with the store's era (`orioleplank.decision.build_revision`), and takes the era out again in calls.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, Generic, TypeVar
from urllib.parse import quote

from msgspec import Struct
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from orioleplank.decision import MAX_ERA, build_revision, era_of, number_of
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
    Transfer,
    WatchHistoryExpiredError,
)
from orioleplank.http import HttpClient, NoResponseError, Request, Response
from orioleplank.platform._codec import parse_number
from orioleplank.platform._json import parse_json
from orioleplank.platform._objects import RawObject, parse_instance, parse_record, parse_routes

# Time for a response to begin, and without a further part of one that has begun: many times the
# response time of a slow store.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
# Connections that are kept for further requests.
MAX_IDLE_CONNECTIONS = 8
# Header of each response that tells how often the store has come back from an older copy; in lower
# case.
ERA_HEADER = "store-era"
# Path below which the store has all objects.
ROOT_PATH = "/orioleplank/objects"
# Kinds of objects, as named in the store's paths.
ROUTES_KIND = "config"
INSTANCES_KIND = "servers"
RECORDS_KIND = "orioleplank"

T = TypeVar("T")
# Returns the parsed object, or None if it cannot be used.
Parser = Callable[[RawObject], "T | None"]
# Called for each request with its method and its status code or the name of its error.
CallListener = Callable[[str, str], None]
# Called with the previous and the new era when the store has come back from an older copy.
RestoreListener = Callable[[int, int], None]
# Called with the kind and name of an object that cannot be parsed.
UnreadableListener = Callable[[str, str], None]


class StoreReply(Struct, frozen=True):
    """A successful response of the store."""

    # How often the store had come back from an older copy; 0 if it does not say.
    era: int
    # The parsed body.
    body: Any
    transfer: Transfer = Transfer()


class StoreClient:
    """Sends requests to the store; shared by all kinds of objects."""

    def __init__(
        self, reactor: Any, address: str, on_call: CallListener, on_restored: RestoreListener
    ) -> None:
        self._address = address
        self._http = HttpClient(
            reactor,
            address,
            CONNECT_TIMEOUT_S,
            CALL_TIMEOUT_S,
            MAX_IDLE_CONNECTIONS,
            frozenset({ERA_HEADER}),
        )
        self._on_call = on_call
        self._on_restored = on_restored
        # The latest era that a response named; None before the first one.
        self._era: int | None = None
        # Responses that watches wait for.
        self._pending_watches: set[Deferred[Response]] = set()

    def is_outdated(self, revision: int) -> bool:
        """Return whether the store has been restored since it gave out a revision."""
        return self._era is not None and era_of(revision) < self._era

    async def watch(self, path: str, revision: int, timeout: float) -> StoreReply:
        """Send a request that continues a watch from `revision`; return the response.

        Raises `StoreUnavailableError`, or `WatchHistoryExpiredError` also as soon as another
        request shows that the store was restored: it may never answer a watch from before.
        """
        try:
            if not self.is_outdated(revision):
                reply = await self.call("GET", path, None, timeout, self._pending_watches)
                if reply.era == era_of(revision):
                    return reply
        except StoreUnavailableError:
            if not self.is_outdated(revision):
                raise
        raise WatchHistoryExpiredError("watch objects", self._address, "the store was restored")

    async def call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout: float = CALL_TIMEOUT_S,
        pending: set[Deferred[Response]] | None = None,
    ) -> StoreReply:
        """Send a request; return the response, which is in `pending` until it arrives.

        `path` is relative to the root of all objects; `body` is sent as JSON. The response has to
        begin within `timeout` seconds. Raises `StoreUnavailableError`, `StoreConflictError` or
        `WatchHistoryExpiredError`.
        """
        step = f"{method} {path.partition('?')[0]}"
        headers = {"Content-Type": "application/json"} if body is not None else {}
        encoded_body = None if body is None else json.dumps(body).encode()
        request = Request(method, f"{ROOT_PATH}/{path}", headers, encoded_body)
        awaited = self._http.send(request, timeout)
        if pending is not None:
            pending.add(awaited)
            awaited.addBoth(partial(_discard, pending, awaited))
        try:
            response = await awaited
        except NoResponseError as error:
            self._on_call(method, error.detail)
            raise StoreUnavailableError(step, self._address, error.description) from error
        self._on_call(method, str(response.status))
        era = self._record_era(response.headers.get(ERA_HEADER, ""))
        body = self._parse_response(step, response.status, response.body)
        return StoreReply(era, body, Transfer(len(response.body), response.transfer_seconds))

    def _record_era(self, text: str) -> int:
        """Return the era of a response, and report a restore of the store.

        A response without a valid header counts as one of the latest known era.
        """
        previous, era = self._era, parse_number(text)
        if era is None or era > MAX_ERA:
            return previous or 0
        if previous is None or era > previous:
            self._era = era
        if previous is not None and era > previous:
            self._on_restored(previous, era)
            for watch in tuple(self._pending_watches):
                watch.cancel()
        return era

    def _parse_response(self, step: str, code: int, text: bytes) -> Any:
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
            return parse_json(text)
        except ValueError as error:
            raise StoreUnavailableError(step, self._address, "the body is not JSON") from error


class StoreObjectCollection(Generic[T]):
    """The objects of one kind; implements the gateway's `ObjectCollection`."""

    def __init__(
        self, client: StoreClient, kind: str, parse: Parser[T], on_unreadable: UnreadableListener
    ) -> None:
        self._client = client
        self._kind = kind
        self._parse_object = parse
        self._on_unreadable = on_unreadable

    def _parse(self, raw: RawObject) -> T | None:
        """Parse an object; report one that cannot be parsed."""
        item = self._parse_object(raw)
        if item is None:
            self._on_unreadable(self._kind, raw.name)
        return item

    async def list(self) -> Listing[T]:
        """Read all objects, linearizably; raise `StoreUnavailableError` on failure."""
        items: list[T] = []
        after, revision, transfer = "", 0, Transfer()
        while True:
            path = f"{self._kind}?after={quote(after)}" if after else self._kind
            reply = await self._client.call("GET", path)
            page, transfer = reply.body, transfer.add(reply.transfer)
            try:
                revision = revision or build_revision(reply.era, int(page["at"]))
                raw_objects = [RawObject.parse(item, reply.era) for item in page["items"]]
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                raise StoreUnavailableError("list objects", self._kind, "bad page") from error
            if era_of(revision) != reply.era:
                raise StoreUnavailableError("list objects", self._kind, "restored meanwhile")
            items += [item for raw in raw_objects if raw and (item := self._parse(raw)) is not None]
            if not page.get("hasMore") or not raw_objects:
                return Listing(revision, tuple(items), transfer)
            names = [raw.name for raw in raw_objects if raw is not None]
            if not names or names[-1] == after:
                raise StoreUnavailableError("list objects", self._kind, "a page is not readable")
            after = names[-1]

    async def watch(self, revision: int, timeout: float) -> Changes[T]:
        """Wait up to `timeout` seconds for changes after `revision`.

        Raises `StoreUnavailableError`, or `WatchHistoryExpiredError` if a new listing is required.
        """
        path = f"{self._kind}?watch={number_of(revision)}&waitMs={int(timeout * 1000)}"
        reply = await self._client.watch(path, revision, timeout + CALL_TIMEOUT_S)
        try:
            events = self._parse_events(reply.body.get("events", ()), reply.era)
            revision = build_revision(reply.era, int(reply.body["at"]))
            return Changes(revision, events, reply.transfer)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as error:
            raise StoreUnavailableError("watch objects", self._kind, "bad events") from error

    def _parse_events(self, events: Any, era: int) -> tuple[T | RemovedObject, ...]:
        items: list[T | RemovedObject] = []
        for event in events:
            if not isinstance(event, Mapping):
                continue
            raw = RawObject.parse(event.get("object"), era)
            if raw is None:
                continue
            item = None if event.get("deleted") else self._parse(raw)
            items.append(RemovedObject(raw.name) if item is None else item)
        return tuple(items)


class StoreRecordCollection(StoreObjectCollection[StoredRecord]):
    """The records written by the proxies; implements the gateway's `RecordCollection`."""

    async def create(self, name: str, content: Mapping[str, object]) -> int:
        """Create a record; return its revision. Raises `StoreConflictError` if it exists."""
        body = {"meta": {"name": name}, "spec": dict(content)}
        return _parse_revision(await self._client.call("POST", self._kind, body))

    async def replace(self, name: str, content: Mapping[str, object], revision: int) -> int:
        """Replace a record that is at `revision`; return its new revision.

        Raises `StoreConflictError` if it is at another revision or does not exist. If the store is
        restored before the call arrives, the condition may hold for another state of the record:
        the new revision is then one of a later era.
        """
        self._check_era(name, revision)
        body = {"meta": {"name": name, "revision": number_of(revision)}, "spec": dict(content)}
        path = f"{self._kind}/{quote(name)}"
        return _parse_revision(await self._client.call("PUT", path, body))

    async def remove(self, name: str, revision: int) -> None:
        """Remove a record that is at `revision`.

        Does nothing if the record is at another revision or does not exist.
        """
        path = f"{self._kind}/{quote(name)}?revision={number_of(revision)}"
        try:
            self._check_era(name, revision)
            await self._client.call("DELETE", path)
        except StoreConflictError:
            return

    def _check_era(self, name: str, revision: int) -> None:
        if self._client.is_outdated(revision):
            raise StoreConflictError("write object", name, "the store was restored")


def _discard(
    pending: set[Deferred[Response]], awaited: Deferred[Response], result: Response | Failure
) -> Response | Failure:
    pending.discard(awaited)
    return result


def _parse_revision(reply: StoreReply) -> int:
    """Return the revision of a written record.

    Raises `StoreUnavailableError` if the response contains none, although the write took effect.
    """
    raw = RawObject.parse(reply.body, reply.era)
    if raw is None:
        raise StoreUnavailableError("write object", "", "the answer shows no object")
    return raw.revision


class PlatformStore:
    """The collections of the platform's store; implements the gateway's `Store`."""

    def __init__(self, client: StoreClient, on_unreadable: UnreadableListener) -> None:
        self.routes: ObjectCollection[RouteTable] = StoreObjectCollection(
            client,
            ROUTES_KIND,
            partial(parse_routes, report=partial(on_unreadable, ROUTES_KIND)),
            on_unreadable,
        )
        self.instances: ObjectCollection[InstanceEntry] = StoreObjectCollection(
            client, INSTANCES_KIND, parse_instance, on_unreadable
        )
        self.records: RecordCollection = StoreRecordCollection(
            client, RECORDS_KIND, parse_record, on_unreadable
        )
