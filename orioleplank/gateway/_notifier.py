"""A signal that coroutines wait for, with a limit of time."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred


class ChangeNotifier:
    """Wakes all who wait whenever something has changed."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: list[Deferred[None]] = []

    def notify_all(self) -> None:
        """Wake all who wait now."""
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            if not deferred.called:
                deferred.callback(None)

    async def wait(self, limit: float) -> None:
        """Return at the next change, or after `limit` seconds."""
        deferred: Deferred[None] = Deferred()
        self._waiting.append(deferred)
        timer = self._reactor.callLater(max(0.0, limit), _wake, deferred)
        try:
            await deferred
        finally:
            if timer.active():
                timer.cancel()


def _wake(deferred: Deferred[None]) -> None:
    if not deferred.called:
        deferred.callback(None)


async def sleep(reactor: Any, seconds: float) -> None:
    """Return after `seconds`."""
    deferred: Deferred[None] = Deferred()
    timer = reactor.callLater(max(0.0, seconds), _wake, deferred)
    try:
        await deferred
    finally:
        if timer.active():
            timer.cancel()
