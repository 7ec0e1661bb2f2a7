"""Admin API over HTTP with JSON bodies: readiness, status, objects, shutdown, metrics."""

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
    """Serves the admin API and forwards its requests to the other services.

    `get_burn_rates` returns the burn rate counts as JSON values.
    """

    def __init__(
        self,
        address: str,
        registry: CollectorRegistry,
        is_ready: Callable[[], bool],
        listen: Callable[[Site, str, int], Any],
        get_burn_rates: Callable[[], object],
    ) -> None:
        super().__init__(names.ADMIN)
        self._address = address
        self._registry = registry
        self._is_ready = is_ready
        self._listen = listen
        self.get_burn_rates = get_burn_rates
        self._request_ids = count(1)
        self._pending_statuses: dict[int, Deferred[StatusResponse]] = {}
        self._pending_updates: dict[str, Deferred[OperatorUpdateResponse]] = {}
        self._port: Any = None

    def start(self) -> None:
        """Open the listening socket."""
        host, port = self._address.rsplit(":", 1)
        self._port = self._listen(Site(_Api(self)), host, int(port))

    def stop(self) -> Deferred[None]:
        """Close the listening socket; requests in progress are not awaited."""
        return Deferred.fromCoroutine(self._close_port())

    async def _close_port(self) -> None:
        await self._port.stopListening()

    def receive(self, message: object) -> None:
        """Complete the HTTP request that waits for this response."""
        match message:
            case StatusResponse(request_id):
                self._pending_statuses.pop(request_id).callback(message)
            case OperatorUpdateResponse(change_id):
                self._pending_updates.pop(change_id).callback(message)

    @property
    def is_ready(self) -> bool:
        """True when the load balancer should send new callers to this proxy."""
        return self._is_ready()

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def request_status(self) -> Deferred[StatusResponse]:
        """Request the proxy's status from the decision service."""
        request_id = next(self._request_ids)
        pending: Deferred[StatusResponse] = Deferred()
        self._pending_statuses[request_id] = pending
        self.kernel.get_service(names.DECISIONS).post(StatusRequest(request_id))
        return pending

    def update_object(self, update: UpdateObject) -> Deferred[OperatorUpdateResponse]:
        """Request a conditional update of an object from the platform service."""
        pending: Deferred[OperatorUpdateResponse] = Deferred()
        self._pending_updates[update.change.id] = pending
        self.kernel.get_service(names.PLATFORM).post(OperatorUpdateRequest(update))
        return pending

    def shut_down(self, message: ShutdownRequest) -> None:
        """Start a graceful shutdown, or a drain after which the process keeps running."""
        self.kernel.get_service(names.DECISIONS).post(message)


class _Api(Resource):
    """Routes HTTP requests by method and path."""

    isLeaf = True  # noqa: N815

    def __init__(self, admin: AdminServer) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._admin = admin

    def render(self, request: Request) -> bytes | int:
        """Serve one request; the body is returned now, or written later (`NOT_DONE_YET`)."""
        path = get_path_segments(request)
        match request.method, path:
            case b"GET", ["ready"]:
                code = OK if self._admin.is_ready else UNAVAILABLE
                return _render_json(request, code, {"ready": self._admin.is_ready})
            case b"GET", ["metrics"]:
                request.setHeader(b"content-type", CONTENT_TYPE_LATEST.encode())
                return self._admin.render_metrics()
            case b"GET", ["burn"]:
                return _render_json(request, OK, self._admin.get_burn_rates())
            case b"GET", ["status"]:
                return self._with_status(request, build_status_response)
            case b"GET", ["objects"]:
                return self._list_objects(request)
            case b"GET", ["objects", kind, name]:
                return self._get_object(request, kind, name)
            case b"PUT", ["objects", kind, name]:
                return self._put_object(request, kind, name)
            case b"POST", ["drain" | "stop" as command]:
                return self._shut_down(request, command == "stop")
            case _:
                return _render_json(request, NOT_FOUND, _error("no such page"))

    def _with_status(
        self, request: Request, describe: Callable[[StatusResponse], tuple[int, object]]
    ) -> int:
        def finish(response: StatusResponse) -> None:
            _finish_request(request, *describe(response))

        self._admin.request_status().addCallback(finish)
        return NOT_DONE_YET

    def _list_objects(self, request: Request) -> int:
        def describe(response: StatusResponse) -> tuple[int, object]:
            objects = response.status.configuration.objects.values()
            return OK, [object_to_json(parsed) for parsed in objects]

        return self._with_status(request, describe)

    def _get_object(self, request: Request, kind: str, name: str) -> bytes | int:
        key = _read_key(kind, name)
        if key is None:
            return _render_json(request, NOT_FOUND, _error(f"no kind is called {kind!r}"))

        def describe(response: StatusResponse) -> tuple[int, object]:
            parsed = response.status.configuration.objects.get(key)
            if parsed is None or parsed.spec is None:
                return NOT_FOUND, _error(f"{key} does not exist")
            return OK, object_to_json(parsed)

        return self._with_status(request, describe)

    def _shut_down(self, request: Request, exit_process: bool) -> bytes:
        grace = request.args.get(b"grace")
        try:
            seconds = float(grace[0]) if grace else None
        except ValueError:
            return _render_json(request, BAD_REQUEST, _error("grace is a number of seconds"))
        self._admin.shut_down(ShutdownRequest(exit_process, seconds))
        return _render_json(request, OK, {"stopping": True})

    def _put_object(self, request: Request, kind: str, name: str) -> bytes | int:
        key = _read_key(kind, name)
        author = request.args.get(b"author", [b""])[0].decode(errors="replace")
        if key is None or not author:
            return _render_json(request, BAD_REQUEST, _error("a change names a kind and an author"))
        request_body = read_request_body(request, MAX_BODY_BYTES + 1)
        if len(request_body) > MAX_BODY_BYTES:
            return _render_json(request, TOO_LARGE, _error(f"{MAX_BODY_BYTES} bytes are allowed"))
        try:
            spec = parse_spec(key.kind, json.loads(request_body))
            version = _read_version(request)
        except (ValueError, MalformedObjectError) as error:
            return _render_json(request, BAD_REQUEST, _error(str(error)))
        change_id = request.args.get(b"change", [uuid.uuid4().hex.encode()])[0].decode()
        change = ChangeMetadata(change_id, author, time.time())

        def apply_update(response: StatusResponse) -> None:
            parsed = response.status.configuration.objects.get(key)
            current_version = parsed.stored.version if parsed and parsed.spec else 0
            expected_version = current_version if version is None else version
            pending = self._admin.update_object(UpdateObject(key, expected_version, change, spec))
            pending.addCallback(lambda result: _finish_request(request, *_describe_change(result)))

        self._admin.request_status().addCallback(apply_update)
        return NOT_DONE_YET


def _read_key(kind: str, name: str) -> ObjectKey | None:
    try:
        return ObjectKey(ObjectKind(kind), name)
    except ValueError:
        return None


def _read_version(request: Request) -> int | None:
    values = request.args.get(b"version")
    return int(values[0]) if values else None


def _describe_change(result: OperatorUpdateResponse) -> tuple[int, object]:
    current = result.current_object
    change = parse_body(current.body).change if current and current.body else None
    content = {
        "change": result.change_id,
        "verdict": result.verdict.value if result.verdict else "unknown",
        "version": current.version if current else 0,
        "by": change.author if change else "",
        "standing_change": change.id if change else "",
    }
    match result.verdict:
        case UpdateVerdict.ACCEPTED:
            return OK, content
        case UpdateVerdict.SUPERSEDED:
            return CONFLICT, content
        case UpdateVerdict.NOT_APPLIED | None:
            return UNAVAILABLE, content


def _error(detail: str) -> object:
    return {"error": detail}


def _render_json(request: Request, code: int, content: object) -> bytes:
    request.setResponseCode(code)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(content).encode()


def _finish_request(request: Request, code: int, content: object) -> None:
    if not request._disconnected:
        request.write(_render_json(request, code, content))
        request.finish()
