"""A call that is made after a time unless it is stopped."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class Deadline:
    """At most one pending call."""

    def __init__(self, reactor: Any, call: Callable[[], object]) -> None:
        self._reactor = reactor
        self._call = call
        self._pending: Any = None

    def start(self, seconds: float) -> None:
        """Make the call after `seconds`; a deadline that is running is left as it is."""
        if self._pending is None or not self._pending.active():
            self._pending = self._reactor.callLater(seconds, self._call)

    def stop(self) -> None:
        """Do not make the call."""
        if self._pending is not None and self._pending.active():
            self._pending.cancel()
        self._pending = None
