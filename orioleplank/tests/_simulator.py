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
    paused: bool = False
    # Run of the node: messages to an earlier run are dropped.
    generation: int = 0
    # Calls that wait for it to wake up.
    pending_calls: list[Call] = field(default_factory=list)


class Simulator:
    """A clock, and links between nodes."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.nodes: dict[str, Node] = {}
        # Pairs (from, to) that deliver nothing.
        self.cut_links: set[tuple[str, str]] = set()
        # Pairs (from, to) that deliver late, and from when on.
        self.held_until: dict[tuple[str, str], float] = {}
        # Seconds added to every delivery.
        self.delay = 0.0
        # True when replies may overtake each other.
        self.reorders_replies = False
        # True when replies come twice.
        self.duplicates_replies = False
        self._heap: list[tuple[float, int, Call]] = []
        self._numbers = count()
        self._last: dict[tuple[str, str, str], float] = {}

    def call_later(self, seconds: float, call: Call) -> None:
        """Make a call in `seconds`."""
        heappush(self._heap, (self.now + seconds, next(self._numbers), call))

    def call_every(self, seconds: float, call: Call) -> None:
        """Make a call every `seconds`."""

        def again() -> None:
            call()
            self.call_later(seconds, again)

        self.call_later(self.random.random() * seconds, again)

    def run_until(self, until: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until

    def deliver(self, source: str, target: str, call: Call, is_reply: bool = False) -> None:
        """Make a call at `target` as a message from `source`, in order on their link."""
        if (source, target) in self.cut_links:
            return
        at = self.now + LINK_S * (1 + self.random.random()) + self.delay
        at = max(at, self.held_until.get((source, target), 0.0))
        if is_reply and self.reorders_replies:
            at += REORDER_S * self.random.random()
        else:
            link = (source, target, "reply" if is_reply else "request")
            at = max(at, self._last.get(link, 0.0) + 1e-6)
            self._last[link] = at
        self._schedule(at, target, call)
        if is_reply and self.duplicates_replies:
            self._schedule(at + DOUBLE_S, target, call)

    def _schedule(self, at: float, target: str, call: Call) -> None:
        node = self.nodes[target]
        run = node.generation

        def arrive() -> None:
            if node.alive and node.generation == run:
                self.call_on_node(node, call)

        heappush(self._heap, (at, next(self._numbers), arrive))

    def call_on_node(self, node: Node, call: Call) -> None:
        """Make a call at a node now, or when it wakes up."""
        if node.paused:
            node.pending_calls.append(call)
        else:
            call()

    def pause(self, name: str, seconds: float) -> None:
        """Pause a node; it wakes up with all that came meanwhile."""
        node = self.nodes[name]
        node.paused = True

        def wake() -> None:
            node.paused = False
            backlog, node.pending_calls = node.pending_calls, []
            for call in backlog:
                call()

        self.call_later(seconds, wake)

    def cut_link(self, source: str, target: str) -> None:
        """Deliver nothing from `source` to `target`."""
        self.cut_links.add((source, target))

    def heal(self) -> None:
        """Undo all cuts, delays, reordering and doubling."""
        self.cut_links.clear()
        self.delay = 0.0
        self.reorders_replies = False
        self.duplicates_replies = False
