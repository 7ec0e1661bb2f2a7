"""The platform's object service: watches it, reads the list of VMs, updates objects."""

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

RETRY_PERIOD_S = 0.25
CALL_LIMIT_S = 3.0
WATCH_MARGIN_S = 2.0
SETTLE_TRIES = 40
CONFLICT = 412
NOT_FOUND = 404

_FAILURES = (
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
    """An object as the platform's API shows it."""

    # Kind of the object.
    kind: str
    # Name of the object.
    name: str
    # Revision that wrote it.
    version: int
    # Its content; empty when it was deleted.
    body: str


@dataclass(frozen=True, slots=True)
class _Changes:
    """What a watch returns."""

    # Last revision.
    revision: int
    # Objects that changed.
    objects: tuple[_RawObject, ...]


_RAW_OBJECT = TypeAdapter(_RawObject)
_CHANGES = TypeAdapter(_Changes)
_VMS = TypeAdapter(tuple[Vm, ...])


@dataclass(slots=True)
class _Unsettled:
    """An update whose answer was lost."""

    # The update.
    update: UpdateObject
    # True when an operator asked for it.
    by_operator: bool
    # Times the object was read again.
    tries: int = 0
    # True while it is being read.
    reading: bool = False


class PlatformClient(Service):
    """Owns the connections to the platform."""

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__(names.PLATFORM)
        self._settings = settings
        self._base = f"http://{settings.address}"
        self._revision = 0
        self._watching = False
        self._listing = False
        self._available: bool | None = None
        self._unsettled: dict[str, _Unsettled] = {}

    def start(self) -> None:
        """Subscribe to time."""
        timer = self.kernel.get_service(names.TIMER)
        assert isinstance(timer, Timer)
        timer.subscribe(self, "watch", RETRY_PERIOD_S)
        timer.subscribe(self, "vms", self._settings.vm_list_period)

    def receive(self, message: object) -> None:
        """Carry out an update, or go on with time."""
        match message:
            case TimerTick("watch"):
                self._watch_again()
                for unsettled in list(self._unsettled.values()):
                    self._settle_again(unsettled)
            case TimerTick():
                self._list_again()
            case UpdateObject():
                self._run(self._update(message, False))
            case OperatorUpdateRequest(update):
                self._run(self._update(update, True))

    def _run(self, work: Coroutine[Deferred[Any], Any, None]) -> None:
        Deferred.fromCoroutine(work).addErrback(self._fail)

    def _fail(self, failure: object) -> None:
        event = LogEvent(
            Event.INTERNAL_ERROR, "call platform", self._settings.address, str(failure)
        )
        self.kernel.get_service(names.EVENTS).post(event)

    # Watching.

    def _watch_again(self) -> None:
        if not self._watching:
            self._watching = True
            self._run(self._watch())

    async def _watch(self) -> None:
        try:
            while self._is_accepting:
                changes = await self._read_changes()
                self._note_available(True)
                self._take_changes(changes)
        except _FAILURES as error:
            self._note_available(False, str(error))
        finally:
            self._watching = False

    async def _read_changes(self) -> _Changes:
        wait = self._settings.watch_wait if self._available else 0.0
        response = await treq.get(
            f"{self._base}/watch",
            params={"since": str(self._revision), "wait": str(wait)},
            timeout=wait + WATCH_MARGIN_S + CALL_LIMIT_S,
        )
        return _CHANGES.validate_json(await _read_text(response))

    def _take_changes(self, changes: _Changes) -> None:
        objects = tuple(
            stored for raw in changes.objects if (stored := _read_object(raw)) is not None
        )
        self._revision = changes.revision
        message = ObjectsReceived(changes.revision, objects)
        self.kernel.get_service(names.DECISIONS).post(message)

    def _note_available(self, available: bool, detail: str = "") -> None:
        if available is self._available:
            return
        self._available = available
        event = Event.PLATFORM_AVAILABLE if available else Event.PLATFORM_UNAVAILABLE
        note = LogEvent(event, "watch platform", self._settings.address, detail)
        self.kernel.get_service(names.EVENTS).post(note)

    # The list of VMs.

    def _list_again(self) -> None:
        if not self._listing:
            self._listing = True
            self._run(self._list())

    async def _list(self) -> None:
        try:
            response = await treq.get(f"{self._base}/vms", timeout=CALL_LIMIT_S)
            listed = VmsListed(_VMS.validate_json(await _read_text(response)))
        except _FAILURES:
            return
        finally:
            self._listing = False
        self.kernel.get_service(names.DECISIONS).post(listed)
        self.kernel.get_service(names.PEERS).post(listed)

    # Updates.

    async def _update(self, update: UpdateObject, by_operator: bool) -> None:
        try:
            stored = await self._put(update)
        except ConflictError as error:
            found = StoredObject(update.key, error.version, error.body)
            verdict = resolve_update(update.change.id, update.version, found)
            self._end(update, by_operator, verdict, found)
        except _FAILURES:
            self._unsettled[update.change.id] = _Unsettled(update, by_operator)
        else:
            self._end(update, by_operator, UpdateVerdict.ACCEPTED, stored)

    async def _put(self, update: UpdateObject) -> StoredObject:
        response = await treq.put(
            self._url(update.key),
            data=dump_body(update.change, update.spec).encode(),
            headers=Headers({"If-Match": [f'"{update.version}"']}),
            timeout=CALL_LIMIT_S,
        )
        text = await response.text()
        if response.code == CONFLICT:
            raw = _RAW_OBJECT.validate_json(text)
            raise ConflictError(self._settings.address, raw.version, raw.body)
        if response.code != 200:
            raise PlatformError("update object", self._settings.address, f"code {response.code}")
        raw = _RAW_OBJECT.validate_json(text)
        return StoredObject(update.key, raw.version, raw.body)

    def _url(self, key: ObjectKey) -> str:
        return f"{self._base}/objects/{key.kind.value}/{key.name}"

    def _settle_again(self, unsettled: _Unsettled) -> None:
        if not unsettled.reading:
            unsettled.reading = True
            self._run(self._settle(unsettled))

    async def _settle(self, unsettled: _Unsettled) -> None:
        """Read the object again to learn what became of an update."""
        update = unsettled.update
        unsettled.tries += 1
        try:
            found = await self._get(update.key)
        except _FAILURES:
            if unsettled.tries >= SETTLE_TRIES:
                self._end(update, unsettled.by_operator, None, None)
            return
        finally:
            unsettled.reading = False
        verdict = resolve_update(update.change.id, update.version, found)
        self._end(update, unsettled.by_operator, verdict, found)

    async def _get(self, key: ObjectKey) -> StoredObject | None:
        response = await treq.get(self._url(key), timeout=CALL_LIMIT_S)
        text = await response.text()
        if response.code == NOT_FOUND:
            return None
        raw = _RAW_OBJECT.validate_json(text)
        return StoredObject(key, raw.version, raw.body)

    def _end(
        self,
        update: UpdateObject,
        by_operator: bool,
        verdict: UpdateVerdict | None,
        found: StoredObject | None,
    ) -> None:
        self._unsettled.pop(update.change.id, None)
        if found is not None:
            self.kernel.get_service(names.DECISIONS).post(ObjectsReceived(0, (found,)))
        if by_operator:
            ended = OperatorUpdateResponse(update.change.id, verdict, found)
            self.kernel.get_service(names.ADMIN).post(ended)
        else:
            self.kernel.get_service(names.DECISIONS).post(UpdateEnded(update.change.id, verdict))


def _read_object(raw: _RawObject) -> StoredObject | None:
    """Return an object, None when its kind is of a later release."""
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
