"""The admin API over HTTP and JSON: readiness, status, objects, stopping, metrics."""

from __future__ import annotations

import json
import time
import uuid
from collections.abc import Callable
from itertools import count
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from orioleplank._exceptions import MalformedObjectError
from orioleplank._http_server import get_path_segments, read_request_body
from orioleplank.daemon import _service_names as names
from orioleplank.daemon._message import (
    OperatorUpdateRequest,
    OperatorUpdateResponse,
    ShutdownRequest,
    StatusRequest,
    StatusResponse,
)
from orioleplank.daemon._status import build_status_response, object_to_json
from orioleplank.decision.quorum import (
    ChangeMetadata,
    ObjectKey,
    ObjectKind,
    UpdateObject,
    UpdateVerdict,
    parse_body,
    parse_spec,
)
from orioleplank.kernel import Service

MAX_BODY_BYTES = 1024 * 1024
OK, BAD_REQUEST, NOT_FOUND, CONFLICT, TOO_LARGE, UNAVAILABLE = 200, 400, 404, 409, 413, 503


class AdminServer(Service):
    """Owns the admin API's socket."""

    def __init__(
        self,
        address: str,
        registry: CollectorRegistry,
        is_ready: Callable[[], bool],
        listen: Callable[[Site, str, int], Any],
        burn: Callable[[], object],
    ) -> None:
        super().__init__(names.ADMIN)
        self._address = address
        self._registry = registry
        self._is_ready = is_ready
        self._listen = listen
        self.burn = burn
        self._numbers = count(1)
        self._statuses: dict[int, Deferred[StatusResponse]] = {}
        self._changes: dict[str, Deferred[OperatorUpdateResponse]] = {}
        self._port: Any = None

    def start(self) -> None:
        """Listen."""
        host, port = self._address.rsplit(":", 1)
        self._port = self._listen(Site(_Api(self)), host, int(port))

    def stop(self) -> Deferred[None]:
        """Close the socket."""
        return Deferred.fromCoroutine(self._close_port())

    async def _close_port(self) -> None:
        await self._port.stopListening()

    def receive(self, message: object) -> None:
        """Pass an answer to whoever waits for it."""
        match message:
            case StatusResponse(number):
                self._statuses.pop(number).callback(message)
            case OperatorUpdateResponse(change_id):
                self._changes.pop(change_id).callback(message)

    @property
    def is_ready(self) -> bool:
        """True when the balancer should send new callers."""
        return self._is_ready()

    def render_metrics(self) -> bytes:
        """Return the metrics in the text format."""
        return generate_latest(self._registry)

    def ask_status(self) -> Deferred[StatusResponse]:
        """Ask the decisions for their status."""
        number = next(self._numbers)
        waiting: Deferred[StatusResponse] = Deferred()
        self._statuses[number] = waiting
        self.kernel.get_service(names.DECISIONS).post(StatusRequest(number))
        return waiting

    def change(self, update: UpdateObject) -> Deferred[OperatorUpdateResponse]:
        """Ask the platform service for a conditional update."""
        waiting: Deferred[OperatorUpdateResponse] = Deferred()
        self._changes[update.change.id] = waiting
        self.kernel.get_service(names.PLATFORM).post(OperatorUpdateRequest(update))
        return waiting

    def drain(self, message: ShutdownRequest) -> None:
        """Ask for a graceful shutdown."""
        self.kernel.get_service(names.DECISIONS).post(message)


class _Api(Resource):
    """Routes calls."""

    isLeaf = True  # noqa: N815

    def __init__(self, admin: AdminServer) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._admin = admin

    def render(self, request: Request) -> bytes | int:
        """Serve one call."""
        path = get_path_segments(request)
        match request.method, path:
            case b"GET", ["ready"]:
                code = OK if self._admin.is_ready else UNAVAILABLE
                return _answer(request, code, {"ready": self._admin.is_ready})
            case b"GET", ["metrics"]:
                request.setHeader(b"content-type", CONTENT_TYPE_LATEST.encode())
                return self._admin.render_metrics()
            case b"GET", ["burn"]:
                return _answer(request, OK, self._admin.burn())
            case b"GET", ["status"]:
                return self._with_status(request, build_status_response)
            case b"GET", ["objects"]:
                return self._list_objects(request)
            case b"GET", ["objects", kind, name]:
                return self._show_object(request, kind, name)
            case b"PUT", ["objects", kind, name]:
                return self._change_object(request, kind, name)
            case b"POST", ["drain" | "stop" as order]:
                return self._drain(request, order == "stop")
            case _:
                return _answer(request, NOT_FOUND, _error("no such page"))

    def _with_status(
        self, request: Request, describe: Callable[[StatusResponse], tuple[int, object]]
    ) -> int:
        def finish(told: StatusResponse) -> None:
            _finish(request, *describe(told))

        self._admin.ask_status().addCallback(finish)
        return NOT_DONE_YET

    def _list_objects(self, request: Request) -> int:
        def describe(told: StatusResponse) -> tuple[int, object]:
            objects = told.status.configuration.objects.values()
            return OK, [object_to_json(accepted) for accepted in objects]

        return self._with_status(request, describe)

    def _show_object(self, request: Request, kind: str, name: str) -> bytes | int:
        key = _read_key(kind, name)
        if key is None:
            return _answer(request, NOT_FOUND, _error(f"no kind is called {kind!r}"))

        def describe(told: StatusResponse) -> tuple[int, object]:
            accepted = told.status.configuration.objects.get(key)
            if accepted is None or accepted.spec is None:
                return NOT_FOUND, _error(f"{key} does not exist")
            return OK, object_to_json(accepted)

        return self._with_status(request, describe)

    def _drain(self, request: Request, end: bool) -> bytes:
        grace = request.args.get(b"grace")
        try:
            seconds = float(grace[0]) if grace else None
        except ValueError:
            return _answer(request, BAD_REQUEST, _error("grace is a number of seconds"))
        self._admin.drain(ShutdownRequest(end, seconds))
        return _answer(request, OK, {"stopping": True})

    def _change_object(self, request: Request, kind: str, name: str) -> bytes | int:
        key = _read_key(kind, name)
        author = request.args.get(b"author", [b""])[0].decode(errors="replace")
        if key is None or not author:
            return _answer(request, BAD_REQUEST, _error("a change names a kind and an author"))
        body = read_request_body(request, MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            return _answer(request, TOO_LARGE, _error(f"{MAX_BODY_BYTES} bytes are allowed"))
        try:
            spec = parse_spec(key.kind, json.loads(body))
            version = _read_version(request)
        except (ValueError, MalformedObjectError) as error:
            return _answer(request, BAD_REQUEST, _error(str(error)))
        change_id = request.args.get(b"change", [uuid.uuid4().hex.encode()])[0].decode()
        change = ChangeMetadata(change_id, author, time.time())

        def update(told: StatusResponse) -> None:
            accepted = told.status.configuration.objects.get(key)
            present = accepted.stored.version if accepted and accepted.spec else 0
            known = present if version is None else version
            waiting = self._admin.change(UpdateObject(key, known, change, spec))
            waiting.addCallback(lambda ended: _finish(request, *_describe_change(ended)))

        self._admin.ask_status().addCallback(update)
        return NOT_DONE_YET


def _read_key(kind: str, name: str) -> ObjectKey | None:
    try:
        return ObjectKey(ObjectKind(kind), name)
    except ValueError:
        return None


def _read_version(request: Request) -> int | None:
    given = request.args.get(b"version")
    return int(given[0]) if given else None


def _describe_change(ended: OperatorUpdateResponse) -> tuple[int, object]:
    found = ended.current_object
    change = parse_body(found.body).change if found and found.body else None
    shown = {
        "change": ended.change_id,
        "verdict": ended.verdict.value if ended.verdict else "unknown",
        "version": found.version if found else 0,
        "by": change.author if change else "",
        "standing_change": change.id if change else "",
    }
    match ended.verdict:
        case UpdateVerdict.ACCEPTED:
            return OK, shown
        case UpdateVerdict.SUPERSEDED:
            return CONFLICT, shown
        case UpdateVerdict.NOT_APPLIED | None:
            return UNAVAILABLE, shown


def _error(detail: str) -> object:
    return {"error": detail}


def _answer(request: Request, code: int, shown: object) -> bytes:
    request.setResponseCode(code)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(shown).encode()


def _finish(request: Request, code: int, shown: object) -> None:
    if not request._disconnected:
        request.write(_answer(request, code, shown))
        request.finish()
