"""A change notification that coroutines can wait for with a timeout, and an asynchronous sleep."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred


class ChangeNotifier:
    """Wakes all waiting coroutines when notified; it keeps no state between notifications."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiters: list[Deferred[None]] = []

    def notify_all(self) -> None:
        """Wake all coroutines that are waiting now."""
        waiters, self._waiters = self._waiters, []
        for deferred in waiters:
            if not deferred.called:
                deferred.callback(None)

    async def wait(self, timeout_s: float) -> None:
        """Return at the next notification, or after `timeout_s` seconds."""
        deferred: Deferred[None] = Deferred()
        self._waiters.append(deferred)
        timer = self._reactor.callLater(max(0.0, timeout_s), _wake, deferred)
        try:
            await deferred
        finally:
            if timer.active():
                timer.cancel()


def _wake(deferred: Deferred[None]) -> None:
    if not deferred.called:
        deferred.callback(None)


async def sleep(reactor: Any, seconds: float) -> None:
    """Return after `seconds`, at once if negative; the timer is cancelled with the coroutine."""
    deferred: Deferred[None] = Deferred()
    timer = reactor.callLater(max(0.0, seconds), _wake, deferred)
    try:
        await deferred
    finally:
        if timer.active():
            timer.cancel()
