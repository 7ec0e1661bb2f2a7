"""The fabric's interface on real time, so that the stand-ins of the tests serve real sockets."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from orioleplank.tests._simulator import Node, Simulator


class RealTimeSimulator(Simulator):
    """Time and delivery by a reactor; links are real, so nothing is lost here."""

    def __init__(self, reactor: Any, random: Random) -> None:
        super().__init__(0)
        self._reactor = reactor
        self.random = random

    @property  # type: ignore[override]
    def now(self) -> float:
        """Return the reactor's clock, in seconds."""
        return float(self._reactor.seconds())

    @now.setter
    def now(self, value: float) -> None:
        """Ignore it: real time is not set."""

    def call_later(self, seconds: float, call: Callable[[], object]) -> None:
        """Make a call in `seconds`."""
        self._reactor.callLater(max(0.0, seconds), call)

    def deliver(
        self, source: str, target: str, call: Callable[[], None], is_reply: bool = False
    ) -> None:
        """Make a call at once: the bytes have crossed a real link already."""
        node = self.nodes.get(target)
        if node is None or node.alive:
            self._reactor.callLater(0, call)

    def call_on_node(self, node: Node, call: Callable[[], None]) -> None:
        """Make a call now."""
        call()
