"""Virtual time and links: delivers messages between nodes, late, twice or never."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

Call = Callable[[], None]
LINK_S = 0.001
REORDER_S = 0.03
DOUBLE_S = 0.004


@dataclass(slots=True)
class Node:
    """Anything that messages are delivered to."""

    # Name, unique in the fabric.
    name: str
    # False once it is killed.
    alive: bool = True
    # True while it is paused.
    frozen: bool = False
    # Run of the node: messages to an earlier run are dropped.
    run: int = 0
    # Calls that wait for it to wake up.
    backlog: list[Call] = field(default_factory=list)


class Fabric:
    """A clock, and links between nodes."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.nodes: dict[str, Node] = {}
        # Pairs (from, to) that deliver nothing.
        self.cuts: set[tuple[str, str]] = set()
        # Pairs (from, to) that deliver late, and from when on.
        self.holds: dict[tuple[str, str], float] = {}
        # Seconds added to every delivery.
        self.delay = 0.0
        # True when replies may overtake each other.
        self.reorder = False
        # True when replies come twice.
        self.double = False
        self._heap: list[tuple[float, int, Call]] = []
        self._numbers = count()
        self._last: dict[tuple[str, str, str], float] = {}

    def after(self, seconds: float, call: Call) -> None:
        """Make a call in `seconds`."""
        heappush(self._heap, (self.now + seconds, next(self._numbers), call))

    def every(self, seconds: float, call: Call) -> None:
        """Make a call every `seconds`."""

        def again() -> None:
            call()
            self.after(seconds, again)

        self.after(self.random.random() * seconds, again)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until

    def deliver(self, source: str, target: str, call: Call, reply: bool = False) -> None:
        """Make a call at `target` as a message from `source`, in order on their link."""
        if (source, target) in self.cuts:
            return
        at = self.now + LINK_S * (1 + self.random.random()) + self.delay
        at = max(at, self.holds.get((source, target), 0.0))
        if reply and self.reorder:
            at += REORDER_S * self.random.random()
        else:
            link = (source, target, "reply" if reply else "request")
            at = max(at, self._last.get(link, 0.0) + 1e-6)
            self._last[link] = at
        self._schedule(at, target, call)
        if reply and self.double:
            self._schedule(at + DOUBLE_S, target, call)

    def _schedule(self, at: float, target: str, call: Call) -> None:
        node = self.nodes[target]
        run = node.run

        def arrive() -> None:
            if node.alive and node.run == run:
                self.enter(node, call)

        heappush(self._heap, (at, next(self._numbers), arrive))

    def enter(self, node: Node, call: Call) -> None:
        """Make a call at a node now, or when it wakes up."""
        if node.frozen:
            node.backlog.append(call)
        else:
            call()

    def freeze(self, name: str, seconds: float) -> None:
        """Pause a node; it wakes up with all that came meanwhile."""
        node = self.nodes[name]
        node.frozen = True

        def wake() -> None:
            node.frozen = False
            backlog, node.backlog = node.backlog, []
            for call in backlog:
                call()

        self.after(seconds, wake)

    def cut(self, source: str, target: str) -> None:
        """Deliver nothing from `source` to `target`."""
        self.cuts.add((source, target))

    def heal(self) -> None:
        """Undo all cuts, delays, reordering and doubling."""
        self.cuts.clear()
        self.delay = 0.0
        self.reorder = False
        self.double = False
