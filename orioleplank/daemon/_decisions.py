"""The decisions as a service: messages in, effects out to the services that carry them out."""

from __future__ import annotations

import time

from orioleplank.daemon import _names as names
from orioleplank.daemon._message import DrainWanted, StatusTold, StatusWanted
from orioleplank.decision.quorum import (
    AskLedger,
    AskRound,
    AskSlots,
    AskToMove,
    CloseConnection,
    Effect,
    ForgetInstance,
    GiveSlots,
    Heartbeat,
    Message,
    Note,
    OpenConnection,
    Proxy,
    Reply,
    SendFollow,
    SendObjects,
    SendPromote,
    SendSeal,
    SendStatement,
    Stopped,
    StopRequested,
    Tick,
    UpdateObject,
    WatchInstance,
)
from orioleplank.kernel import Service, Timer, TimerTick

TICK_S = 0.02
IDLE_TICK_S = 0.08


class Decisions(Service):
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
        timer = self.kernel.find(names.TIMER)
        assert isinstance(timer, Timer)
        timer.subscribe(self, "tick", TICK_S)

    def receive(self, message: object) -> None:
        """Take a message of the decisions, or one about them."""
        match message:
            case TimerTick(now=now):
                self._tick(now)
            case StatusWanted(number):
                self.kernel.find(names.ADMIN).tell(StatusTold(number, self._proxy.status()))
            case DrainWanted(end, grace):
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
            self.kernel.find(names.EVENTS).tell(Stopped())

    def _handle(self, message: Message) -> None:
        for effect in self._proxy.handle(message, self.kernel.now(), time.time()):
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Reply():
                self.kernel.find(names.CALLERS).tell(effect)
                self.kernel.find(names.EVENTS).tell(effect)
            case AskToMove():
                self.kernel.find(names.CALLERS).tell(effect)
            case SendStatement() | OpenConnection() | CloseConnection():
                self.kernel.find(names.UPSTREAMS).tell(effect)
            case AskRound() | AskLedger() | SendSeal() | SendPromote() | SendFollow():
                self.kernel.find(names.UPSTREAMS).tell(effect)
            case WatchInstance() | ForgetInstance():
                self.kernel.find(names.UPSTREAMS).tell(effect)
            case UpdateObject():
                self.kernel.find(names.PLATFORM).tell(effect)
            case Heartbeat() | SendObjects() | AskSlots() | GiveSlots():
                self.kernel.find(names.PEERS).tell(effect)
            case Note():
                self.kernel.find(names.EVENTS).tell(effect)
            case Stopped():
                self._stopped(effect)

    def _stopped(self, effect: Stopped) -> None:
        if self._end and not self._ended:
            self.kernel.find(names.EVENTS).tell(effect)
        self._ended = True
