"""Callers of a run: scripts that ask, check what they get, and write down what they were told."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from itertools import count

from orioleplank.decision.quorum import (
    EMPTY_TOKEN,
    Answer,
    CallerConnected,
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
from orioleplank.tests._group_links import SERVICE
from orioleplank.tests._nodes import ProxyNode
from orioleplank.tests._quorum_cluster import QuorumCluster
from orioleplank.tests._simulator import Node

TIMEOUT_S = 4.0
MARGIN_S = 0.5
POLL_S = 0.1
THINK_S = 0.06
SLOW_THINK_S = 0.3
SESSION = SessionFreshness()
REPEATS = 3
AGE_S = 1.0


@dataclass(slots=True)
class WriteRecord:
    """A write and what its caller was told of it."""

    # Id of the request.
    id: str
    # When it was sent, in seconds of the fabric.
    sent_at: float
    # When its answer left the proxy; None while there is none.
    acknowledged_at: float | None = None
    # True when its caller was told that it did not run.
    reported_not_run: bool = False
    # True when the counting reads count it.
    counted: bool = False


@dataclass(slots=True)
class History:
    """What all callers were told, and what they saw broken."""

    # All writes.
    writes: list[WriteRecord] = field(default_factory=list)
    # Broken promises, one sentence each.
    violations: list[str] = field(default_factory=list)
    # Requests that got no reply from a proxy that stopped gracefully.
    unanswered_at_stop: int = 0
    # Requests answered.
    answered: int = 0

    def count_acknowledged_before(self, at: float) -> int:
        """Return how many writes that the counting reads count were acknowledged before `at`."""
        return sum(
            write.counted and write.acknowledged_at is not None and write.acknowledged_at < at
            for write in self.writes
        )


@dataclass(frozen=True, slots=True)
class ScriptRequest:
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
    same_proxy: bool = False
    # True when it has been sent before.
    sent_before: bool = False
    # True to send it to any proxy that lives, as a balancer with an old view would.
    any_live_proxy: bool = False


@dataclass(frozen=True, slots=True)
class RequestResult:
    """How a request ended."""

    # The outcome; None when the stream broke or nothing came in time.
    outcome: Outcome | None
    # When the outcome left the proxy, in seconds of the fabric.
    replied_at: float = 0.0

    @property
    def answer(self) -> Answer | None:
        """The answer, None when there is none."""
        return self.outcome if isinstance(self.outcome, Answer) else None

    @property
    def reported_not_run(self) -> bool:
        """True when the caller is told that it did not run."""
        outcome = self.outcome
        return (
            outcome is not None
            and not isinstance(outcome, Answer)
            and (outcome.did_run is DidRun.NO)
        )


Script = Generator[ScriptRequest | float, RequestResult, None]


class Client:
    """Runs one script, spreading its requests over the proxies that look healthy."""

    def __init__(self, world: QuorumCluster, history: History, number: int) -> None:
        self.cluster = world
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
        self.stop_requested = False
        self.finished = False
        world.simulator.nodes[f"client-{number}"] = Node(f"client-{number}")

    def start(self, script: Script) -> None:
        """Begin the script."""
        self._script = script
        self._go_on(lambda: next(self._script))

    def new_id(self) -> str:
        """Return an id that was not used before."""
        return f"c{self._number}-{next(self._ids)}"

    def _go_on(self, step: Callable[[], ScriptRequest | float]) -> None:
        try:
            wanted = step()
        except StopIteration:
            self.finished = True
            return
        if isinstance(wanted, ScriptRequest):
            self._ask(wanted)
        else:
            self.cluster.simulator.call_later(
                wanted, lambda: self._go_on(lambda: next(self._script))
            )

    def _pick(self, ask: ScriptRequest) -> ProxyNode:
        if ask.same_proxy and self._last is not None:
            return self._last
        healthy = [
            node
            for node in self.cluster.proxies
            if self._looks_healthy(node) or (ask.any_live_proxy and node.alive and not node.stopped)
        ]
        self._turn += 1
        choice = healthy or self.cluster.proxies
        self._last = choice[self._turn % len(choice)]
        return self._last

    def _looks_healthy(self, node: ProxyNode) -> bool:
        """Tell what a balancer that polls readiness would say."""
        up = node.alive and not node.stopped and not node.paused and node.proxy.is_ready
        return up and node.name not in self._avoid

    def _ask(self, ask: ScriptRequest) -> None:
        node = self._pick(ask)
        fabric = self.cluster.simulator
        self._waiting = ask.id
        if not node.alive or node.stopped:
            fabric.call_later(0.005, lambda: self._end(ask, RequestResult(None)))
            return
        caller = self._open_stream(node)
        self.cluster.reply_listeners[caller] = lambda reply: self._take(ask, reply)
        token = self.token

        def arrive() -> None:
            if node.stopped:
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
                fabric.now + node.clock_offset + TIMEOUT_S,
                token,
                ask.transaction,
                ask.sent_before,
            )
            self.cluster.handle_message(node, RequestArrived(caller, request))

        fabric.deliver(f"client-{self._number}", node.name, arrive)
        self._await(ask, node, node.generation, fabric.now + TIMEOUT_S + MARGIN_S)

    def _open_stream(self, node: ProxyNode) -> int:
        opened = self._stream.get(node.name)
        if opened is not None and opened[0] == node.generation:
            return opened[1]
        caller = next(self._streams)
        self._stream[node.name] = (node.generation, caller)
        self.cluster.move_listeners[caller] = lambda: self._move(node)
        self.cluster.simulator.deliver(
            f"client-{self._number}",
            node.name,
            lambda: self.cluster.handle_message(node, CallerConnected(caller)),
        )
        return caller

    def _move(self, node: ProxyNode) -> None:
        """Leave a proxy that is stopping, once nothing is awaited from it."""
        self._avoid.add(node.name)
        busy = bool(self._waiting) and self._last is node
        if busy or node.name not in self._stream:
            if busy:
                self.cluster.simulator.call_later(POLL_S, lambda: self._move(node))
            return
        _, caller = self._stream.pop(node.name)
        self.cluster.end_caller_stream(node, caller)

    def _await(self, ask: ScriptRequest, node: ProxyNode, run: int, until: float) -> None:
        """Notice that a stream broke, or that nothing comes any more."""

        def look() -> None:
            if self._waiting != ask.id:
                return
            if node.stopped and node.generation == run:
                self.history.unanswered_at_stop += 1
                self._end(ask, RequestResult(None))
            elif not node.alive or node.generation != run or self.cluster.simulator.now >= until:
                self._end(ask, RequestResult(None))
            else:
                self.cluster.simulator.call_later(POLL_S, look)

        self.cluster.simulator.call_later(POLL_S, look)

    def _take(self, ask: ScriptRequest, reply: Reply) -> None:
        if reply.request.id != self._waiting or reply.request.operation is not ask.operation:
            return
        if isinstance(reply.outcome, Answer):
            self.token = reply.outcome.token
            self.history.answered += 1
        self._end(
            ask, RequestResult(reply.outcome, self.cluster.reply_times.get(reply.request.id, 0.0))
        )

    def _end(self, ask: ScriptRequest, told: RequestResult) -> None:
        if self._waiting == ask.id:
            self._waiting = ""
            self._go_on(lambda: self._script.send(told))
