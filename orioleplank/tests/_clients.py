"""Callers of a run: scripts that ask, check what they get, and write down what they were told."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from itertools import count

from orioleplank.decision.quorum import (
    EMPTY_TOKEN,
    Answer,
    CallerArrived,
    DidRun,
    Freshness,
    Operation,
    Outcome,
    Reply,
    Request,
    RequestArrived,
    SessionFreshness,
    SessionToken,
)
from orioleplank.tests._fabric import Node
from orioleplank.tests._group_links import SERVICE
from orioleplank.tests._nodes import ProxyNode
from orioleplank.tests._world import World

TIMEOUT_S = 4.0
MARGIN_S = 0.5
POLL_S = 0.1
THINK_S = 0.06
SLOW_THINK_S = 0.3
SESSION = SessionFreshness()
REPEATS = 3
AGE_S = 1.0


@dataclass(slots=True)
class Written:
    """A write and what its caller was told of it."""

    # Id of the request.
    id: str
    # When it was sent, in seconds of the fabric.
    sent_at: float
    # When its answer left the proxy; None while there is none.
    acknowledged_at: float | None = None
    # True when its caller was told that it did not run.
    denied: bool = False
    # True when the counting reads count it.
    counted: bool = False


@dataclass(slots=True)
class History:
    """What all callers were told, and what they saw broken."""

    # All writes.
    writes: list[Written] = field(default_factory=list)
    # Broken promises, one sentence each.
    broken: list[str] = field(default_factory=list)
    # Requests that got no reply from a proxy that stopped gracefully.
    cut_by_stop: int = 0
    # Requests answered.
    answered: int = 0

    def acknowledged_before(self, at: float) -> int:
        """Return how many writes that the counting reads count were acknowledged before `at`."""
        return sum(
            write.counted and write.acknowledged_at is not None and write.acknowledged_at < at
            for write in self.writes
        )


@dataclass(frozen=True, slots=True)
class Ask:
    """A request of a script."""

    # Id of the request.
    id: str
    # Name of the kind.
    kind: str
    # Queries to run.
    payload: bytes
    # True when it changes data.
    write: bool = False
    # How recent the data has to be.
    freshness: Freshness = SESSION
    # Which step it is.
    operation: Operation = Operation.RUN
    # Name of the transaction.
    transaction: str = ""
    # True when running it twice does no harm.
    repeatable: bool = False
    # True to send it to the same proxy as the request before.
    stay: bool = False
    # True when it has been sent before.
    sent_before: bool = False
    # True to send it to any proxy that lives, as a balancer with an old view would.
    anywhere: bool = False


@dataclass(frozen=True, slots=True)
class Told:
    """How a request ended."""

    # The outcome; None when the stream broke or nothing came in time.
    outcome: Outcome | None
    # When the outcome left the proxy, in seconds of the fabric.
    released_at: float = 0.0

    @property
    def answer(self) -> Answer | None:
        """The answer, None when there is none."""
        return self.outcome if isinstance(self.outcome, Answer) else None

    @property
    def denied(self) -> bool:
        """True when the caller is told that it did not run."""
        outcome = self.outcome
        return (
            outcome is not None
            and not isinstance(outcome, Answer)
            and (outcome.did_run is DidRun.NO)
        )


Script = Generator[Ask | float, Told, None]


class Client:
    """Runs one script, spreading its requests over the proxies that look healthy."""

    def __init__(self, world: World, history: History, number: int) -> None:
        self.world = world
        self.history = history
        self.token: SessionToken = EMPTY_TOKEN
        self._number = number
        self._ids = count(1)
        self._streams = count(number * 1000)
        self._stream: dict[str, tuple[int, int]] = {}
        self._avoid: set[str] = set()
        self._turn = number
        self._last: ProxyNode | None = None
        self._waiting: str = ""
        self._script: Script
        self.over = False
        self.done = False
        world.fabric.nodes[f"client-{number}"] = Node(f"client-{number}")

    def start(self, script: Script) -> None:
        """Begin the script."""
        self._script = script
        self._go_on(lambda: next(self._script))

    def new_id(self) -> str:
        """Return an id that was not used before."""
        return f"c{self._number}-{next(self._ids)}"

    def _go_on(self, step: Callable[[], Ask | float]) -> None:
        try:
            wanted = step()
        except StopIteration:
            self.done = True
            return
        if isinstance(wanted, Ask):
            self._ask(wanted)
        else:
            self.world.fabric.after(wanted, lambda: self._go_on(lambda: next(self._script)))

    def _pick(self, ask: Ask) -> ProxyNode:
        if ask.stay and self._last is not None:
            return self._last
        healthy = [
            node
            for node in self.world.proxies
            if self._looks_healthy(node) or (ask.anywhere and node.alive and not node.ended)
        ]
        self._turn += 1
        choice = healthy or self.world.proxies
        self._last = choice[self._turn % len(choice)]
        return self._last

    def _looks_healthy(self, node: ProxyNode) -> bool:
        """Tell what a balancer that polls readiness would say."""
        up = node.alive and not node.ended and not node.frozen and node.proxy.is_ready
        return up and node.name not in self._avoid

    def _ask(self, ask: Ask) -> None:
        node = self._pick(ask)
        fabric = self.world.fabric
        self._waiting = ask.id
        if not node.alive or node.ended:
            fabric.after(0.005, lambda: self._end(ask, Told(None)))
            return
        caller = self._open_stream(node)
        self.world.reply_listeners[caller] = lambda reply: self._take(ask, reply)
        token = self.token

        def arrive() -> None:
            if node.ended:
                return
            request = Request(
                ask.id,
                SERVICE,
                ask.kind,
                ask.operation,
                ask.payload,
                ask.write,
                ask.repeatable,
                ask.freshness,
                fabric.now + node.clock + TIMEOUT_S,
                token,
                ask.transaction,
                ask.sent_before,
            )
            self.world.tell(node, RequestArrived(caller, request))

        fabric.deliver(f"client-{self._number}", node.name, arrive)
        self._await(ask, node, node.run, fabric.now + TIMEOUT_S + MARGIN_S)

    def _open_stream(self, node: ProxyNode) -> int:
        opened = self._stream.get(node.name)
        if opened is not None and opened[0] == node.run:
            return opened[1]
        caller = next(self._streams)
        self._stream[node.name] = (node.run, caller)
        self.world.move_listeners[caller] = lambda: self._move(node)
        self.world.fabric.deliver(
            f"client-{self._number}",
            node.name,
            lambda: self.world.tell(node, CallerArrived(caller)),
        )
        return caller

    def _move(self, node: ProxyNode) -> None:
        """Leave a proxy that is stopping, once nothing is awaited from it."""
        self._avoid.add(node.name)
        busy = bool(self._waiting) and self._last is node
        if busy or node.name not in self._stream:
            if busy:
                self.world.fabric.after(POLL_S, lambda: self._move(node))
            return
        _, caller = self._stream.pop(node.name)
        self.world.leave_caller(node, caller)

    def _await(self, ask: Ask, node: ProxyNode, run: int, until: float) -> None:
        """Notice that a stream broke, or that nothing comes any more."""

        def look() -> None:
            if self._waiting != ask.id:
                return
            if node.ended and node.run == run:
                self.history.cut_by_stop += 1
                self._end(ask, Told(None))
            elif not node.alive or node.run != run or self.world.fabric.now >= until:
                self._end(ask, Told(None))
            else:
                self.world.fabric.after(POLL_S, look)

        self.world.fabric.after(POLL_S, look)

    def _take(self, ask: Ask, reply: Reply) -> None:
        if reply.request.id != self._waiting or reply.request.operation is not ask.operation:
            return
        if isinstance(reply.outcome, Answer):
            self.token = reply.outcome.token
            self.history.answered += 1
        self._end(ask, Told(reply.outcome, self.world.released.get(reply.request.id, 0.0)))

    def _end(self, ask: Ask, told: Told) -> None:
        if self._waiting == ask.id:
            self._waiting = ""
            self._go_on(lambda: self._script.send(told))
