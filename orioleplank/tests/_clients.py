"""Simulated callers: they run scripts that send requests, check the results and record them."""

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

REQUEST_TIMEOUT_S = 4.0
TIMEOUT_MARGIN_S = 0.5
POLL_INTERVAL_S = 0.1
THINK_TIME_S = 0.06
SLOW_THINK_TIME_S = 0.3
SESSION = SessionFreshness()
MAX_ATTEMPTS = 3
MAX_AGE_S = 1.0


@dataclass(slots=True)
class WriteRecord:
    """A write and what its caller knows about it."""

    # Request id.
    id: str
    # Simulated time of the first attempt, in seconds.
    sent_at: float
    # Simulated time at which its answer left the proxy; None until then.
    acknowledged_at: float | None = None
    # True if a refusal said that it did not run.
    reported_not_run: bool = False
    # True if it inserts a row that the reads with `count(*)` include.
    counted: bool = False


@dataclass(slots=True)
class History:
    """Results and violations recorded by all callers."""

    writes: list[WriteRecord] = field(default_factory=list)
    # Violated guarantees, one sentence each.
    violations: list[str] = field(default_factory=list)
    # Number of requests that got no reply from a proxy that stopped gracefully.
    unanswered_at_stop: int = 0
    # Number of answered requests.
    answered: int = 0

    def count_acknowledged_before(self, time: float) -> int:
        """Return the number of counted writes acknowledged before a simulated time in seconds."""
        return sum(
            write.counted and write.acknowledged_at is not None and write.acknowledged_at < time
            for write in self.writes
        )


@dataclass(frozen=True, slots=True)
class ScriptRequest:
    """A request of a script."""

    # Request id.
    id: str
    # Name of the request kind.
    kind: str
    # Serialized queries.
    payload: bytes
    # True if it changes data.
    write: bool = False
    freshness: Freshness = SESSION
    operation: Operation = Operation.RUN
    # Name of the transaction; empty outside a transaction.
    transaction: str = ""
    # True if it is idempotent.
    repeatable: bool = False
    # True to send it to the same proxy as the previous request.
    same_proxy: bool = False
    # True if an earlier request had the same id.
    sent_before: bool = False
    # True to include running proxies that are not ready, like a load balancer with stale health
    # information.
    any_live_proxy: bool = False


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of a request."""

    # None if the stream broke or no reply arrived in time.
    outcome: Outcome | None
    # Simulated time at which the reply left the proxy, in seconds; 0 without a reply.
    replied_at: float = 0.0

    @property
    def answer(self) -> Answer | None:
        """The answer, or None if there was a refusal or no outcome."""
        return self.outcome if isinstance(self.outcome, Answer) else None

    @property
    def reported_not_run(self) -> bool:
        """True if the outcome is a refusal that says that the request did not run."""
        outcome = self.outcome
        return (
            outcome is not None
            and not isinstance(outcome, Answer)
            and (outcome.did_run is DidRun.NO)
        )


Script = Generator[ScriptRequest | float, RequestResult, None]


class Client:
    """Runs one script and distributes its requests over the proxies that appear healthy."""

    def __init__(self, cluster: QuorumCluster, history: History, number: int) -> None:
        self.cluster = cluster
        self.history = history
        self.token: SessionToken = EMPTY_TOKEN
        self._number = number
        self._request_ids = count(1)
        self._stream_ids = count(number * 1000)
        self._open_streams: dict[str, tuple[int, int]] = {}
        self._avoided_proxies: set[str] = set()
        self._proxy_index = number
        self._last_proxy: ProxyNode | None = None
        self._pending_id: str = ""
        self._script: Script
        self.stop_requested = False
        self.finished = False
        cluster.simulator.nodes[f"client-{number}"] = Node(f"client-{number}")

    def start(self, script: Script) -> None:
        """Run the script until it waits for its first request or delay."""
        self._script = script
        self._advance(lambda: next(self._script))

    def new_id(self) -> str:
        """Return a new id, unique among all clients."""
        return f"c{self._number}-{next(self._request_ids)}"

    def _advance(self, resume_script: Callable[[], ScriptRequest | float]) -> None:
        try:
            yielded = resume_script()
        except StopIteration:
            self.finished = True
            return
        if isinstance(yielded, ScriptRequest):
            self._send_request(yielded)
        else:
            self.cluster.simulator.call_later(
                yielded, lambda: self._advance(lambda: next(self._script))
            )

    def _choose_proxy(self, script_request: ScriptRequest) -> ProxyNode:
        if script_request.same_proxy and self._last_proxy is not None:
            return self._last_proxy
        healthy = [
            node
            for node in self.cluster.proxies
            if self._looks_healthy(node)
            or (script_request.any_live_proxy and node.alive and not node.stopped)
        ]
        self._proxy_index += 1
        candidates = healthy or self.cluster.proxies
        self._last_proxy = candidates[self._proxy_index % len(candidates)]
        return self._last_proxy

    def _looks_healthy(self, node: ProxyNode) -> bool:
        """Return whether a load balancer that polls readiness would use the proxy."""
        is_running = node.alive and not node.stopped and not node.paused and node.proxy.is_ready
        return is_running and node.name not in self._avoided_proxies

    def _send_request(self, script_request: ScriptRequest) -> None:
        node = self._choose_proxy(script_request)
        simulator = self.cluster.simulator
        self._pending_id = script_request.id
        if not node.alive or node.stopped:
            simulator.call_later(
                0.005, lambda: self._finish_request(script_request, RequestResult(None))
            )
            return
        caller = self._open_stream(node)
        self.cluster.reply_listeners[caller] = lambda reply: self._handle_reply(
            script_request, reply
        )
        token = self.token

        def arrive() -> None:
            if node.stopped:
                return
            request = Request(
                script_request.id,
                SERVICE,
                script_request.kind,
                script_request.operation,
                script_request.payload,
                script_request.write,
                script_request.repeatable,
                script_request.freshness,
                simulator.now + node.clock_offset + REQUEST_TIMEOUT_S,
                token,
                script_request.transaction,
                script_request.sent_before,
            )
            self.cluster.handle_message(node, RequestArrived(caller, request))

        simulator.deliver(f"client-{self._number}", node.name, arrive)
        self._watch_request(
            script_request,
            node,
            node.generation,
            simulator.now + REQUEST_TIMEOUT_S + TIMEOUT_MARGIN_S,
        )

    def _open_stream(self, node: ProxyNode) -> int:
        open_stream = self._open_streams.get(node.name)
        if open_stream is not None and open_stream[0] == node.generation:
            return open_stream[1]
        caller = next(self._stream_ids)
        self._open_streams[node.name] = (node.generation, caller)
        self.cluster.reconnect_listeners[caller] = lambda: self._leave_proxy(node)
        self.cluster.simulator.deliver(
            f"client-{self._number}",
            node.name,
            lambda: self.cluster.handle_message(node, CallerConnected(caller)),
        )
        return caller

    def _leave_proxy(self, node: ProxyNode) -> None:
        """Close the stream to a stopping proxy once no request is pending there."""
        self._avoided_proxies.add(node.name)
        busy = bool(self._pending_id) and self._last_proxy is node
        if busy or node.name not in self._open_streams:
            if busy:
                self.cluster.simulator.call_later(POLL_INTERVAL_S, lambda: self._leave_proxy(node))
            return
        _, caller = self._open_streams.pop(node.name)
        self.cluster.end_caller_stream(node, caller)

    def _watch_request(
        self, script_request: ScriptRequest, node: ProxyNode, generation: int, deadline: float
    ) -> None:
        """End the request without an outcome when its stream breaks or its deadline passes."""

        def check() -> None:
            if self._pending_id != script_request.id:
                return
            if node.stopped and node.generation == generation:
                self.history.unanswered_at_stop += 1
                self._finish_request(script_request, RequestResult(None))
            elif (
                not node.alive
                or node.generation != generation
                or self.cluster.simulator.now >= deadline
            ):
                self._finish_request(script_request, RequestResult(None))
            else:
                self.cluster.simulator.call_later(POLL_INTERVAL_S, check)

        self.cluster.simulator.call_later(POLL_INTERVAL_S, check)

    def _handle_reply(self, script_request: ScriptRequest, reply: Reply) -> None:
        if (
            reply.request.id != self._pending_id
            or reply.request.operation is not script_request.operation
        ):
            return
        if isinstance(reply.outcome, Answer):
            self.token = reply.outcome.token
            self.history.answered += 1
        self._finish_request(
            script_request,
            RequestResult(reply.outcome, self.cluster.reply_times.get(reply.request.id, 0.0)),
        )

    def _finish_request(self, script_request: ScriptRequest, result: RequestResult) -> None:
        if self._pending_id == script_request.id:
            self._pending_id = ""
            self._advance(lambda: self._script.send(result))
