"""The simulator's interface on real time, so that the tests' stand-ins can serve sockets."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from orioleplank.tests._simulator import Node, Simulator


class RealTimeSimulator(Simulator):
    """Uses a reactor for time and calls; losses and delays are left to the real links."""

    def __init__(self, reactor: Any, random: Random) -> None:
        super().__init__(0)
        self._reactor = reactor
        self.random = random

    @property  # type: ignore[override]
    def now(self) -> float:
        """The reactor's time, in seconds."""
        return float(self._reactor.seconds())

    @now.setter
    def now(self, value: float) -> None:
        """Ignore the value, because real time cannot be set."""

    def call_later(self, seconds: float, call: Callable[[], object]) -> None:
        """Schedule a call after `seconds`; a negative delay counts as 0."""
        self._reactor.callLater(max(0.0, seconds), call)

    def deliver(
        self, source: str, target: str, call: Callable[[], None], is_reply: bool = False
    ) -> None:
        """Schedule a call without delay, because the bytes have already crossed a real link.

        Calls to a target that is not alive are dropped.
        """
        node = self.nodes.get(target)
        if node is None or node.alive:
            self._reactor.callLater(0, call)

    def call_on_node(self, node: Node, call: Callable[[], None]) -> None:
        """Make a call immediately."""
        call()
