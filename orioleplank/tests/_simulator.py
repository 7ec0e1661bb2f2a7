"""Simulated time and links, which can delay, reorder, duplicate or drop messages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

Call = Callable[[], None]
LINK_DELAY_S = 0.001
MAX_REORDER_DELAY_S = 0.03
DUPLICATE_DELAY_S = 0.004


@dataclass(slots=True)
class Node:
    """A destination of messages."""

    # Unique in the simulation.
    name: str
    # False after it was killed.
    alive: bool = True
    paused: bool = False
    # Incremented by a restart; messages sent to an earlier generation are dropped.
    generation: int = 0
    # Calls to make when it resumes.
    pending_calls: list[Call] = field(default_factory=list)


class Simulator:
    """A simulated clock and the links between nodes."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.nodes: dict[str, Node] = {}
        # Pairs (source, target) whose messages are dropped.
        self.cut_links: set[tuple[str, str]] = set()
        # Time in seconds before which nothing is delivered, by (source, target).
        self.held_until: dict[tuple[str, str], float] = {}
        # Extra delay of each delivery, in seconds.
        self.delay = 0.0
        # True if replies can be delivered out of order.
        self.reorders_replies = False
        # True if each reply is delivered twice.
        self.duplicates_replies = False
        self._scheduled_calls: list[tuple[float, int, Call]] = []
        self._sequence_numbers = count()
        self._last_delivery_times: dict[tuple[str, str, str], float] = {}

    def call_later(self, seconds: float, call: Call) -> None:
        """Make a call after a delay in seconds."""
        heappush(self._scheduled_calls, (self.now + seconds, next(self._sequence_numbers), call))

    def call_every(self, seconds: float, call: Call) -> None:
        """Make a call at an interval in seconds, starting at a random time within the first one."""

        def call_and_reschedule() -> None:
            call()
            self.call_later(seconds, call_and_reschedule)

        self.call_later(self.random.random() * seconds, call_and_reschedule)

    def run_until(self, end: float) -> None:
        """Make all calls due up to a time in seconds, and set the clock to it."""
        while self._scheduled_calls and self._scheduled_calls[0][0] <= end:
            self.now, _, call = heappop(self._scheduled_calls)
            call()
        self.now = end

    def deliver(self, source: str, target: str, call: Call, is_reply: bool = False) -> None:
        """Make a call at `target` as a message from `source`.

        Requests are delivered in order on their link, and so are replies unless they are reordered.
        """
        if (source, target) in self.cut_links:
            return
        delivery_time = self.now + LINK_DELAY_S * (1 + self.random.random()) + self.delay
        delivery_time = max(delivery_time, self.held_until.get((source, target), 0.0))
        if is_reply and self.reorders_replies:
            delivery_time += MAX_REORDER_DELAY_S * self.random.random()
        else:
            link = (source, target, "reply" if is_reply else "request")
            delivery_time = max(delivery_time, self._last_delivery_times.get(link, 0.0) + 1e-6)
            self._last_delivery_times[link] = delivery_time
        self._schedule(delivery_time, target, call)
        if is_reply and self.duplicates_replies:
            self._schedule(delivery_time + DUPLICATE_DELAY_S, target, call)

    def _schedule(self, delivery_time: float, target: str, call: Call) -> None:
        node = self.nodes[target]
        generation = node.generation

        def arrive() -> None:
            if node.alive and node.generation == generation:
                self.call_on_node(node, call)

        heappush(self._scheduled_calls, (delivery_time, next(self._sequence_numbers), arrive))

    def call_on_node(self, node: Node, call: Call) -> None:
        """Make a call at a node now, or when it resumes if it is paused."""
        if node.paused:
            node.pending_calls.append(call)
        else:
            call()

    def pause(self, name: str, seconds: float) -> None:
        """Pause a node for a time in seconds; calls for it are made when it resumes."""
        node = self.nodes[name]
        node.paused = True

        def resume() -> None:
            node.paused = False
            calls, node.pending_calls = node.pending_calls, []
            for call in calls:
                call()

        self.call_later(seconds, resume)

    def cut_link(self, source: str, target: str) -> None:
        """Drop messages from `source` to `target` until healed."""
        self.cut_links.add((source, target))

    def heal(self) -> None:
        """Restore all cut links and end delays, reordering and duplication.

        Links in `held_until` stay held.
        """
        self.cut_links.clear()
        self.delay = 0.0
        self.reorders_replies = False
        self.duplicates_replies = False
