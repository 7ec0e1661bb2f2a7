"""Client of the platform: watches and updates its objects, and lists the VMs."""

from __future__ import annotations

import json
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

import treq
from pydantic import TypeAdapter, ValidationError
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectionDone, ConnectionLost
from twisted.internet.error import TimeoutError as TwistedTimeoutError
from twisted.web.client import ResponseFailed
from twisted.web.http_headers import Headers

from orioleplank._exceptions import ConflictError, PlatformError
from orioleplank.daemon import _service_names as names
from orioleplank.daemon._message import OperatorUpdateRequest, OperatorUpdateResponse
from orioleplank.decision.quorum import (
    Event,
    LogEvent,
    ObjectKey,
    ObjectKind,
    ObjectsReceived,
    StoredObject,
    UpdateEnded,
    UpdateObject,
    UpdateVerdict,
    Vm,
    VmsListed,
    dump_body,
    resolve_update,
)
from orioleplank.kernel import Service, Timer, TimerTick
from orioleplank.settings import PlatformSettings

RETRY_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 3.0
WATCH_MARGIN_S = 2.0
MAX_RESOLVE_ATTEMPTS = 40
PRECONDITION_FAILED = 412
NOT_FOUND = 404

_CALL_ERRORS = (
    ConnectError,
    ConnectionDone,
    ConnectionLost,
    TwistedTimeoutError,
    ResponseFailed,
    PlatformError,
    ValidationError,
    ValueError,
)


@dataclass(frozen=True, slots=True)
class _RawObject:
    """An object as the platform's API returns it."""

    kind: str
    name: str
    # Revision of its last write.
    version: int
    # Empty when the object was deleted.
    body: str


@dataclass(frozen=True, slots=True)
class _Changes:
    """Response of a watch request."""

    # Latest revision that the response covers; the next watch starts after it.
    revision: int
    objects: tuple[_RawObject, ...]


_RAW_OBJECT = TypeAdapter(_RawObject)
_CHANGES = TypeAdapter(_Changes)
_VMS = TypeAdapter(tuple[Vm, ...])


@dataclass(slots=True)
class _UnresolvedUpdate:
    """An update that got no usable response, so that it may or may not have been applied."""

    update: UpdateObject
    # True when an operator requested it; the result then goes to the admin API.
    by_operator: bool
    # How often the object was read to learn the outcome.
    attempts: int = 0
    # True while such a read is in progress.
    is_reading: bool = False


class PlatformClient(Service):
    """Watches the platform's objects, lists its VMs and carries out updates.

    An update without a usable response is resolved by reading the object again, up to
    `MAX_RESOLVE_ATTEMPTS` times; after that its verdict is None.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__(names.PLATFORM)
        self._settings = settings
        self._base_url = f"http://{settings.address}"
        self._revision = 0
        self._is_watching = False
        self._is_listing = False
        self._is_available: bool | None = None
        self._unresolved: dict[str, _UnresolvedUpdate] = {}

    def start(self) -> None:
        """Subscribe to timer ticks for watching and listing."""
        timer = self.kernel.get_service(names.TIMER)
        assert isinstance(timer, Timer)
        timer.subscribe(self, "watch", RETRY_INTERVAL_S)
        timer.subscribe(self, "vms", self._settings.vm_list_period)

    def receive(self, message: object) -> None:
        """Carry out an update; on a tick restart an ended watch or listing and resolve updates."""
        match message:
            case TimerTick("watch"):
                self._start_watch()
                for unresolved in list(self._unresolved.values()):
                    self._start_resolving(unresolved)
            case TimerTick():
                self._start_listing()
            case UpdateObject():
                self._run_in_background(self._update(message, False))
            case OperatorUpdateRequest(update):
                self._run_in_background(self._update(update, True))

    def _run_in_background(self, coroutine: Coroutine[Deferred[Any], Any, None]) -> None:
        Deferred.fromCoroutine(coroutine).addErrback(self._log_internal_error)

    def _log_internal_error(self, failure: object) -> None:
        event = LogEvent(
            Event.INTERNAL_ERROR, "call platform", self._settings.address, str(failure)
        )
        self.kernel.get_service(names.EVENTS).post(event)

    # Watching objects.

    def _start_watch(self) -> None:
        if not self._is_watching:
            self._is_watching = True
            self._run_in_background(self._watch())

    async def _watch(self) -> None:
        try:
            while self._is_accepting:
                changes = await self._read_changes()
                self._set_available(True)
                self._post_changes(changes)
        except _CALL_ERRORS as error:
            self._set_available(False, str(error))
        finally:
            self._is_watching = False

    async def _read_changes(self) -> _Changes:
        wait = self._settings.watch_wait if self._is_available else 0.0
        response = await treq.get(
            f"{self._base_url}/watch",
            params={"since": str(self._revision), "wait": str(wait)},
            timeout=wait + WATCH_MARGIN_S + CALL_TIMEOUT_S,
        )
        return _CHANGES.validate_json(await _read_text(response))

    def _post_changes(self, changes: _Changes) -> None:
        objects = tuple(
            stored for raw in changes.objects if (stored := _parse_object(raw)) is not None
        )
        self._revision = changes.revision
        message = ObjectsReceived(changes.revision, objects)
        self.kernel.get_service(names.DECISIONS).post(message)

    def _set_available(self, available: bool, detail: str = "") -> None:
        if available is self._is_available:
            return
        self._is_available = available
        event = Event.PLATFORM_AVAILABLE if available else Event.PLATFORM_UNAVAILABLE
        log_event = LogEvent(event, "watch platform", self._settings.address, detail)
        self.kernel.get_service(names.EVENTS).post(log_event)

    # Listing VMs.

    def _start_listing(self) -> None:
        if not self._is_listing:
            self._is_listing = True
            self._run_in_background(self._list())

    async def _list(self) -> None:
        try:
            response = await treq.get(f"{self._base_url}/vms", timeout=CALL_TIMEOUT_S)
            vms_listed = VmsListed(_VMS.validate_json(await _read_text(response)))
        except _CALL_ERRORS:
            return
        finally:
            self._is_listing = False
        self.kernel.get_service(names.DECISIONS).post(vms_listed)
        self.kernel.get_service(names.PEERS).post(vms_listed)

    # Updating objects.

    async def _update(self, update: UpdateObject, by_operator: bool) -> None:
        try:
            stored = await self._put(update)
        except ConflictError as error:
            current = StoredObject(update.key, error.version, error.body)
            verdict = resolve_update(update.change.id, update.version, current)
            self._report_result(update, by_operator, verdict, current)
        except _CALL_ERRORS:
            self._unresolved[update.change.id] = _UnresolvedUpdate(update, by_operator)
        else:
            self._report_result(update, by_operator, UpdateVerdict.ACCEPTED, stored)

    async def _put(self, update: UpdateObject) -> StoredObject:
        response = await treq.put(
            self._url(update.key),
            data=dump_body(update.change, update.spec).encode(),
            headers=Headers({"If-Match": [f'"{update.version}"']}),
            timeout=CALL_TIMEOUT_S,
        )
        text = await response.text()
        if response.code == PRECONDITION_FAILED:
            raw = _RAW_OBJECT.validate_json(text)
            raise ConflictError(self._settings.address, raw.version, raw.body)
        if response.code != 200:
            raise PlatformError("update object", self._settings.address, f"code {response.code}")
        raw = _RAW_OBJECT.validate_json(text)
        return StoredObject(update.key, raw.version, raw.body)

    def _url(self, key: ObjectKey) -> str:
        return f"{self._base_url}/objects/{key.kind.value}/{key.name}"

    def _start_resolving(self, unresolved: _UnresolvedUpdate) -> None:
        if not unresolved.is_reading:
            unresolved.is_reading = True
            self._run_in_background(self._resolve(unresolved))

    async def _resolve(self, unresolved: _UnresolvedUpdate) -> None:
        """Read the object again to learn whether an update was applied."""
        update = unresolved.update
        unresolved.attempts += 1
        try:
            current = await self._get(update.key)
        except _CALL_ERRORS:
            if unresolved.attempts >= MAX_RESOLVE_ATTEMPTS:
                self._report_result(update, unresolved.by_operator, None, None)
            return
        finally:
            unresolved.is_reading = False
        verdict = resolve_update(update.change.id, update.version, current)
        self._report_result(update, unresolved.by_operator, verdict, current)

    async def _get(self, key: ObjectKey) -> StoredObject | None:
        response = await treq.get(self._url(key), timeout=CALL_TIMEOUT_S)
        text = await response.text()
        if response.code == NOT_FOUND:
            return None
        raw = _RAW_OBJECT.validate_json(text)
        return StoredObject(key, raw.version, raw.body)

    def _report_result(
        self,
        update: UpdateObject,
        by_operator: bool,
        verdict: UpdateVerdict | None,
        current: StoredObject | None,
    ) -> None:
        self._unresolved.pop(update.change.id, None)
        if current is not None:
            self.kernel.get_service(names.DECISIONS).post(ObjectsReceived(0, (current,)))
        if by_operator:
            response = OperatorUpdateResponse(update.change.id, verdict, current)
            self.kernel.get_service(names.ADMIN).post(response)
        else:
            self.kernel.get_service(names.DECISIONS).post(UpdateEnded(update.change.id, verdict))


def _parse_object(raw: _RawObject) -> StoredObject | None:
    """Return the object; None when its kind is unknown, as one of a later release is."""
    try:
        kind = ObjectKind(raw.kind)
    except ValueError:
        return None
    return StoredObject(ObjectKey(kind, raw.name), raw.version, raw.body)


async def _read_text(response: Any) -> str:
    text = await response.text()
    if response.code != 200:
        raise PlatformError("call platform", "", f"code {response.code}")
    json.loads(text)
    return str(text)
