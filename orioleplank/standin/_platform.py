"""A stand-in for the platform: objects with versions, conditional updates, watches, a VM list."""

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

SLOW_S = 2.0


@unique
class PlatformMode(Enum):
    """How the platform behaves."""

    NORMAL = "normal"
    # Connections are cut without an answer.
    DOWN = "down"
    # Answers take two seconds.
    SLOW = "slow"
    # Updates take effect, then their answer is lost.
    LOSE_ANSWERS = "lose-answers"


@dataclass(frozen=True, slots=True)
class PlatformObject:
    """One object."""

    # Kind of the object.
    kind: str
    # Name of the object.
    name: str
    # Revision that wrote it.
    version: int
    # Its content; empty when it was deleted.
    body: str


@dataclass(slots=True)
class PlatformState:
    """All objects, and who waits for changes."""

    # Last revision.
    revision: int = 0
    # Objects by kind and name.
    objects: dict[tuple[str, str], PlatformObject] = field(default_factory=dict)
    # The list of VMs as JSON values.
    vms: list[object] = field(default_factory=list)
    # How it behaves.
    mode: PlatformMode = PlatformMode.NORMAL
    # Watches that wait.
    watches: list[Request] = field(default_factory=list)
    # Calls served.
    calls: int = 0

    def compare_and_set(
        self, kind: str, name: str, version: int, body: str
    ) -> PlatformObject | None:
        """Update an object when it is at `version`, 0 for absent; None when it is not."""
        held = self.objects.get((kind, name))
        present = held.version if held is not None and held.body else 0
        if present != version:
            return None
        self.revision += 1
        updated = PlatformObject(kind, name, self.revision, body)
        self.objects[kind, name] = updated
        return updated

    def objects_since(self, revision: int) -> list[PlatformObject]:
        """Return the objects written after `revision`."""
        return [held for held in self.objects.values() if held.version > revision]


class _Api(Resource):
    """The platform's HTTP API."""

    isLeaf = True  # noqa: N815

    def __init__(self, state: PlatformState) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._state = state

    def render(self, request: Request) -> bytes | int:
        """Serve one call as the mode says."""
        path = get_path_segments(request)
        if path[:1] == ["fault"]:
            self._state.mode = PlatformMode(json.loads(read_request_body(request))["mode"])
            return b"{}"
        self._state.calls += 1
        if self._state.mode is PlatformMode.DOWN:
            abort_connection(request)
            return NOT_DONE_YET
        if self._state.mode is PlatformMode.SLOW:
            _after(SLOW_S).addCallback(lambda _: self._serve_late(request, path))
            return NOT_DONE_YET
        return self._serve(request, path)

    def _serve_late(self, request: Request, path: list[str]) -> None:
        answer = self._serve(request, path)
        if isinstance(answer, bytes) and not request._disconnected:
            request.write(answer)
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
        held = self._state.objects.get((kind, name))
        if held is None or not held.body:
            request.setResponseCode(404)
            return b"{}"
        request.setHeader(b"etag", f'"{held.version}"'.encode())
        return _describe(held)

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
            held = self._state.objects.get((kind, name), PlatformObject(kind, name, 0, ""))
            return _describe(held)
        self._wake_watches()
        if self._state.mode is PlatformMode.LOSE_ANSWERS:
            abort_connection(request)
            return NOT_DONE_YET
        return _describe(updated)

    def _watch(self, request: Request) -> bytes | int:
        since = int(request.args.get(b"since", [b"0"])[0])
        wait = float(request.args.get(b"wait", [b"0"])[0])
        if self._state.revision > since or wait <= 0:
            return self._changes(since)
        self._state.watches.append(request)
        request.notifyFinish().addErrback(lambda _: self._forget(request))
        _after(wait).addCallback(lambda _: self._answer_watch(request))
        return NOT_DONE_YET

    def _forget(self, request: Request) -> None:
        if request in self._state.watches:
            self._state.watches.remove(request)

    def _wake_watches(self) -> None:
        for request in list(self._state.watches):
            self._answer_watch(request)

    def _answer_watch(self, request: Request) -> None:
        if request not in self._state.watches:
            return
        self._state.watches.remove(request)
        if self._state.mode is PlatformMode.DOWN:
            abort_connection(request)
            return
        request.write(self._changes(int(request.args.get(b"since", [b"0"])[0])))
        request.finish()

    def _changes(self, since: int) -> bytes:
        changes = [json.loads(_describe(held)) for held in self._state.objects_since(since)]
        return json.dumps({"revision": self._state.revision, "objects": changes}).encode()


def _describe(held: PlatformObject) -> bytes:
    shown = {
        "kind": held.kind,
        "name": held.name,
        "version": held.version,
        "body": held.body,
    }
    return json.dumps(shown).encode()


def _after(seconds: float) -> Deferred[None]:
    waiting: Deferred[None] = Deferred()
    get_reactor().callLater(seconds, waiting.callback, None)
    return waiting


async def run_platform(listen: str) -> None:
    """Serve the platform's API until the process ends."""
    host, port = listen.rsplit(":", 1)
    site = Site(_Api(PlatformState()))
    get_reactor().listenTCP(int(port), site, interface=host)
    await asyncio.Event().wait()
