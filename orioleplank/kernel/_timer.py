"""The timer service: posts periodic ticks to the services that subscribe."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.kernel._service import Service


class TimerTick(Struct, frozen=True):
    """Message sent to a subscriber once per period."""

    # Topic given by the subscriber.
    topic: str
    # Reactor's monotonic time, in seconds.
    now: float


class Timer(Service):
    """Posts a `TimerTick` to each subscriber once per period."""

    def __init__(self) -> None:
        super().__init__("timer")

    def subscribe(self, subscriber: Service, topic: str, period: float) -> None:
        """Post a tick with `topic` to `subscriber` every `period` seconds until the timer stops."""

        def post_tick() -> None:
            if not self._is_accepting:
                return
            subscriber.post(TimerTick(topic, self.kernel.now()))
            self.kernel.call_later(period, post_tick)

        self.kernel.call_later(period, post_tick)
