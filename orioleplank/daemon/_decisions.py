"""Service that runs the decision code: passes it messages and dispatches the effects it returns."""

from __future__ import annotations

import time

from orioleplank.daemon import _service_names as names
from orioleplank.daemon._message import ShutdownRequest, StatusRequest, StatusResponse
from orioleplank.decision.quorum import (
    CloseConnection,
    CloseControlStream,
    Effect,
    ExitProcess,
    LogEvent,
    Message,
    OpenConnection,
    OpenControlStream,
    ProbeInstance,
    Proxy,
    QueryLedger,
    Reply,
    RequestSlots,
    SendFollow,
    SendHeartbeat,
    SendObjects,
    SendPromote,
    SendReconnect,
    SendSeal,
    SendStatement,
    StopRequested,
    Tick,
    TransferSlots,
    UpdateObject,
)
from orioleplank.kernel import Service, Timer, TimerTick

TICK_INTERVAL_S = 0.02
IDLE_TICK_INTERVAL_S = 0.08


class DecisionService(Service):
    """Owns the decision state (`Proxy`) and is the only service that passes messages to it.

    `grace_s` is the shutdown grace for requests that do not set one.
    """

    def __init__(self, proxy: Proxy, grace_s: float) -> None:
        super().__init__(names.DECISIONS)
        self._proxy = proxy
        self._grace_s = grace_s
        self._exit_requested = False
        self._has_stopped = False
        self._last_tick_at = 0.0

    def start(self) -> None:
        """Subscribe to timer ticks."""
        timer = self.kernel.get_service(names.TIMER)
        assert isinstance(timer, Timer)
        timer.subscribe(self, "tick", TICK_INTERVAL_S)

    def receive(self, message: object) -> None:
        """Handle a tick, a status or shutdown request, or a message for the decision code."""
        match message:
            case TimerTick(now=now):
                self._tick(now)
            case StatusRequest(request_id):
                self.kernel.get_service(names.ADMIN).post(
                    StatusResponse(request_id, self._proxy.status())
                )
            case ShutdownRequest(exit_process, grace_s):
                self._begin_stop(exit_process, self._grace_s if grace_s is None else grace_s)
            case _:
                self._handle(message)  # type: ignore[arg-type]

    def _tick(self, now: float) -> None:
        """Pass on a tick; when idle, only one per `IDLE_TICK_INTERVAL_S` seconds."""
        if self._proxy.is_busy or now - self._last_tick_at >= IDLE_TICK_INTERVAL_S:
            self._last_tick_at = now
            self._handle(Tick())

    def _begin_stop(self, exit_process: bool, grace_s: float) -> None:
        self._exit_requested = self._exit_requested or exit_process
        self._handle(StopRequested(grace_s))
        if self._has_stopped and self._exit_requested:
            self.kernel.get_service(names.EVENTS).post(ExitProcess())

    def _handle(self, message: Message) -> None:
        for effect in self._proxy.handle(message, self.kernel.now(), time.time()):
            self._dispatch_effect(effect)

    def _dispatch_effect(self, effect: Effect) -> None:
        match effect:
            case Reply():
                self.kernel.get_service(names.CALLERS).post(effect)
                self.kernel.get_service(names.EVENTS).post(effect)
            case SendReconnect():
                self.kernel.get_service(names.CALLERS).post(effect)
            case SendStatement() | OpenConnection() | CloseConnection():
                self.kernel.get_service(names.UPSTREAMS).post(effect)
            case ProbeInstance() | QueryLedger() | SendSeal() | SendPromote() | SendFollow():
                self.kernel.get_service(names.UPSTREAMS).post(effect)
            case OpenControlStream() | CloseControlStream():
                self.kernel.get_service(names.UPSTREAMS).post(effect)
            case UpdateObject():
                self.kernel.get_service(names.PLATFORM).post(effect)
            case SendHeartbeat() | SendObjects() | RequestSlots() | TransferSlots():
                self.kernel.get_service(names.PEERS).post(effect)
            case LogEvent():
                self.kernel.get_service(names.EVENTS).post(effect)
            case ExitProcess():
                self._finish_stop(effect)

    def _finish_stop(self, effect: ExitProcess) -> None:
        if self._exit_requested and not self._has_stopped:
            self.kernel.get_service(names.EVENTS).post(effect)
        self._has_stopped = True
