"""The decisions as a service: messages in, effects out to the services that carry them out."""

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

TICK_S = 0.02
IDLE_TICK_S = 0.08


class DecisionService(Service):
    """Owns the proxy's decisions."""

    def __init__(self, proxy: Proxy, grace: float) -> None:
        super().__init__(names.DECISIONS)
        self._proxy = proxy
        self._grace = grace
        self._end = False
        self._ended = False
        self._ticked_at = 0.0

    def start(self) -> None:
        """Subscribe to time."""
        timer = self.kernel.get_service(names.TIMER)
        assert isinstance(timer, Timer)
        timer.subscribe(self, "tick", TICK_S)

    def receive(self, message: object) -> None:
        """Take a message of the decisions, or one about them."""
        match message:
            case TimerTick(now=now):
                self._tick(now)
            case StatusRequest(number):
                self.kernel.get_service(names.ADMIN).post(
                    StatusResponse(number, self._proxy.status())
                )
            case ShutdownRequest(end, grace):
                self._begin_stop(end, self._grace if grace is None else grace)
            case _:
                self._handle(message)  # type: ignore[arg-type]

    def _tick(self, now: float) -> None:
        """Let time pass, less often while nothing is in progress."""
        if self._proxy.is_busy or now - self._ticked_at >= IDLE_TICK_S:
            self._ticked_at = now
            self._handle(Tick())

    def _begin_stop(self, end: bool, grace: float) -> None:
        self._end = self._end or end
        self._handle(StopRequested(grace))
        if self._ended and self._end:
            self.kernel.get_service(names.EVENTS).post(ExitProcess())

    def _handle(self, message: Message) -> None:
        for effect in self._proxy.handle(message, self.kernel.now(), time.time()):
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
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
                self._stopped(effect)

    def _stopped(self, effect: ExitProcess) -> None:
        if self._end and not self._ended:
            self.kernel.get_service(names.EVENTS).post(effect)
        self._ended = True
