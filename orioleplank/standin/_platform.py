"""A stand-in for the platform: versioned objects, conditional updates, watches, a VM list."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from enum import Enum, unique

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from orioleplank._http_server import abort_connection, get_path_segments, read_request_body
from orioleplank._reactor import get_reactor

SLOW_RESPONSE_DELAY_S = 2.0


@unique
class PlatformMode(Enum):
    """Whether the platform works normally, or the fault that it simulates."""

    NORMAL = "normal"
    # Connections are aborted without a response.
    DOWN = "down"
    # Responses are delayed by `SLOW_RESPONSE_DELAY_S`.
    SLOW = "slow"
    # Updates take effect, but the connection is aborted before the response.
    LOSE_ANSWERS = "lose-answers"


@dataclass(frozen=True, slots=True)
class PlatformObject:
    """One version of a stored object."""

    kind: str
    name: str
    # Store revision that wrote this version.
    version: int
    # Content as text; empty for a deleted object.
    body: str


@dataclass(slots=True)
class PlatformState:
    """All objects and the watch requests that wait for changes."""

    # Revision of the latest update; 0 before the first.
    revision: int = 0
    # Objects by kind and name.
    objects: dict[tuple[str, str], PlatformObject] = field(default_factory=dict)
    # The list of VMs as JSON values.
    vms: list[object] = field(default_factory=list)
    mode: PlatformMode = PlatformMode.NORMAL
    # Watch requests without a response yet.
    watches: list[Request] = field(default_factory=list)
    # API calls received, without those that set the fault mode.
    calls: int = 0

    def compare_and_set(
        self, kind: str, name: str, version: int, body: str
    ) -> PlatformObject | None:
        """Update an object if its current version is `version`; 0 means that it does not exist.

        Return the new version of the object, or None when the versions differ. An empty body
        deletes the object.
        """
        current = self.objects.get((kind, name))
        current_version = current.version if current is not None and current.body else 0
        if current_version != version:
            return None
        self.revision += 1
        updated = PlatformObject(kind, name, self.revision, body)
        self.objects[kind, name] = updated
        return updated

    def objects_since(self, revision: int) -> list[PlatformObject]:
        """Return the objects written after `revision`, including deleted ones."""
        return [stored for stored in self.objects.values() if stored.version > revision]


class _PlatformApi(Resource):
    """The platform's HTTP API."""

    isLeaf = True  # noqa: N815

    def __init__(self, state: PlatformState) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._state = state

    def render(self, request: Request) -> bytes | int:
        """Serve one call, with the fault of the current mode."""
        path = get_path_segments(request)
        if path[:1] == ["fault"]:
            self._state.mode = PlatformMode(json.loads(read_request_body(request))["mode"])
            return b"{}"
        self._state.calls += 1
        if self._state.mode is PlatformMode.DOWN:
            abort_connection(request)
            return NOT_DONE_YET
        if self._state.mode is PlatformMode.SLOW:
            _sleep(SLOW_RESPONSE_DELAY_S).addCallback(lambda _: self._serve_delayed(request, path))
            return NOT_DONE_YET
        return self._serve(request, path)

    def _serve_delayed(self, request: Request, path: list[str]) -> None:
        response = self._serve(request, path)
        if isinstance(response, bytes) and not request._disconnected:
            request.write(response)
            request.finish()

    def _serve(self, request: Request, path: list[str]) -> bytes | int:
        match request.method, path:
            case b"GET", ["watch"]:
                return self._watch(request)
            case b"GET", ["vms"]:
                return json.dumps(self._state.vms).encode()
            case b"PUT", ["vms"]:
                self._state.vms = json.loads(read_request_body(request))
                return b"{}"
            case b"GET", ["objects", kind, name]:
                return self._get(request, kind, name)
            case b"PUT", ["objects", kind, name]:
                return self._put(request, kind, name, read_request_body(request).decode())
            case b"DELETE", ["objects", kind, name]:
                return self._put(request, kind, name, "")
            case _:
                request.setResponseCode(404)
                return b"{}"

    def _get(self, request: Request, kind: str, name: str) -> bytes:
        stored = self._state.objects.get((kind, name))
        if stored is None or not stored.body:
            request.setResponseCode(404)
            return b"{}"
        request.setHeader(b"etag", f'"{stored.version}"'.encode())
        return _object_to_json(stored)

    def _put(self, request: Request, kind: str, name: str, body: str) -> bytes | int:
        condition = request.getHeader("if-match") or '"0"'
        try:
            version = int(condition.strip('"'))
        except ValueError:
            request.setResponseCode(400)
            return b"{}"
        updated = self._state.compare_and_set(kind, name, version, body)
        if updated is None:
            request.setResponseCode(412)
            current = self._state.objects.get((kind, name), PlatformObject(kind, name, 0, ""))
            return _object_to_json(current)
        self._answer_watches()
        if self._state.mode is PlatformMode.LOSE_ANSWERS:
            abort_connection(request)
            return NOT_DONE_YET
        return _object_to_json(updated)

    def _watch(self, request: Request) -> bytes | int:
        after_revision = int(request.args.get(b"since", [b"0"])[0])
        wait_s = float(request.args.get(b"wait", [b"0"])[0])
        if self._state.revision > after_revision or wait_s <= 0:
            return self._changes_to_json(after_revision)
        self._state.watches.append(request)
        request.notifyFinish().addErrback(lambda _: self._discard_watch(request))
        _sleep(wait_s).addCallback(lambda _: self._answer_watch(request))
        return NOT_DONE_YET

    def _discard_watch(self, request: Request) -> None:
        if request in self._state.watches:
            self._state.watches.remove(request)

    def _answer_watches(self) -> None:
        for request in list(self._state.watches):
            self._answer_watch(request)

    def _answer_watch(self, request: Request) -> None:
        if request not in self._state.watches:
            return
        self._state.watches.remove(request)
        if self._state.mode is PlatformMode.DOWN:
            abort_connection(request)
            return
        request.write(self._changes_to_json(int(request.args.get(b"since", [b"0"])[0])))
        request.finish()

    def _changes_to_json(self, after_revision: int) -> bytes:
        changes = [
            json.loads(_object_to_json(stored))
            for stored in self._state.objects_since(after_revision)
        ]
        return json.dumps({"revision": self._state.revision, "objects": changes}).encode()


def _object_to_json(stored: PlatformObject) -> bytes:
    fields = {
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "body": stored.body,
    }
    return json.dumps(fields).encode()


def _sleep(seconds: float) -> Deferred[None]:
    elapsed: Deferred[None] = Deferred()
    get_reactor().callLater(seconds, elapsed.callback, None)
    return elapsed


async def run_platform(listen: str) -> None:
    """Serve the platform's API until the process ends."""
    host, port = listen.rsplit(":", 1)
    site = Site(_PlatformApi(PlatformState()))
    get_reactor().listenTCP(int(port), site, interface=host)
    await asyncio.Event().wait()
