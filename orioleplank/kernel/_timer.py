"""The timer service: the one source of time that parts subscribe to."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.kernel._service import Service


@dataclass(frozen=True, slots=True)
class TimerTick:
    """A subscriber's period has passed."""

    # Name the subscriber gave.
    topic: str
    # Reactor's monotonic clock, in seconds.
    now: float


class Timer(Service):
    """Tells each subscriber a `TimerTick` once a period."""

    def __init__(self) -> None:
        super().__init__("timer")

    def subscribe(self, subscriber: Service, topic: str, period: float) -> None:
        """Tell `subscriber` a tick named `topic` every `period` seconds."""

        def fire() -> None:
            if not self._is_accepting:
                return
            subscriber.post(TimerTick(topic, self.kernel.now()))
            self.kernel.call_later(period, fire)

        self.kernel.call_later(period, fire)
