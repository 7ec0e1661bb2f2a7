"""A connection to an instance over the platform's line protocol."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure as TwistedFailure

from orioleplank._exceptions import OrioleplankError
from orioleplank._socket_options import set_tcp_timeouts
from orioleplank.decision import Position
from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.instances import DbRole, InstanceEntry
from orioleplank.decision.session import ConnectionSetupStep, ExecutableStatement, Failure, Reply
from orioleplank.gateway import (
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
    TunnelRoute,
)
from orioleplank.platform import _codec as codec

# Time for a connection and its greeting, in seconds: several round trips between regions.
DIAL_LIMIT_S = 1.0
# Word by which the proxy names itself to instances.
WHO = "orioleplank"


@dataclass(slots=True)
class _Question:
    """A statement whose reply is not complete."""

    # Where the reply goes.
    result: Deferred[Reply] = field(default_factory=Deferred)
    # Rows so far.
    rows: list[str] = field(default_factory=list)
    # Signature, once it came.
    signature: str = ""
    # Failure, once it came.
    failure: Failure | None = None


class InstanceProtocol(LineOnlyReceiver):
    """One connection; implements the gateway's `InstanceLink`."""

    delimiter = b"\r\n"
    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, entry: InstanceEntry, prologue: bytes = b"") -> None:
        self._entry = entry
        self._prologue = prologue
        self._questions: deque[_Question] = deque()
        self.greeted: Deferred[InstanceLink] = Deferred()
        self._is_greeted = False

    # The gateway's side.

    @property
    def is_direct(self) -> bool:
        """True: its opening has shown that the instance lives."""
        return True

    def set_next_request_options(self, priority: int, seconds: float) -> None:
        """Nothing to do: the instance takes what comes in its order."""

    def prepare(self, step: ConnectionSetupStep) -> Deferred[Reply]:
        """Change values or prepared names."""
        return self._ask(codec.PROXY_REQUEST_ID, codec.format_preparation(step))

    def begin(self, read_only: bool, min_position: Position | None) -> Deferred[Reply]:
        """Begin a transaction, on a log that has reached `min_position`."""
        text = "BEGIN READ" if read_only else "BEGIN"
        return self._ask(codec.PROXY_REQUEST_ID, codec.add_min_position(text, min_position))

    def run(
        self,
        request_id: str,
        statement: ExecutableStatement,
        prepared_name: str,
        min_position: Position | None,
    ) -> Deferred[Reply]:
        """Run a statement under the caller's id, on a log that has reached `min_position`."""
        text = codec.format_runnable(statement, prepared_name)
        return self._ask(request_id, codec.add_min_position(text, min_position))

    def commit(self, request_id: str) -> Deferred[Reply]:
        """Commit under the caller's id."""
        return self._ask(request_id, "COMMIT")

    def roll_back(self) -> Deferred[Reply]:
        """Roll back."""
        return self._ask(codec.PROXY_REQUEST_ID, "ROLLBACK")

    def fetch_report(self) -> Deferred[InstanceReport]:
        """Ask the instance for its state; fails with `InstanceRefusedError` when it is busy."""
        return self._ask(codec.PROXY_REQUEST_ID, "STATUS").addCallback(self._read_report)

    def step_down(self, term: int) -> Deferred[Reply]:
        """Make a primary of a lower term a replica."""
        return self._ask(codec.PROXY_REQUEST_ID, f"STEPDOWN {term}")

    def close(self) -> None:
        """End the connection; what is unanswered fails."""
        if self.transport is not None:
            self.transport.abortConnection()

    # Twisted's side.

    def connectionMade(self) -> None:  # noqa: N802
        """Greet the instance by the id that is expected of it."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        set_tcp_timeouts(transport.getHandle())
        if self._prologue:
            transport.write(self._prologue)
        self._send(f"STARTUP {self._entry.service} {WHO} {self._entry.id}")

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Take one message."""
        word, _, rest = line.decode(codec.ENCODING).partition(" ")
        if not self._is_greeted:
            self._take_greeting(word, rest)
            return
        if not self._questions:
            self.close()
            return
        question = self._questions[0]
        match word:
            case "DATAROW":
                question.rows.append(rest)
            case "COMPLETE":
                question.signature = rest
            case "ERROR":
                code, _, detail = rest.partition(" ")
                question.failure = Failure(codec.parse_code(code), detail)
            case "READY":
                self._finish(question, rest)
            case _:
                self.close()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """End a connection whose message is too large."""
        self.close()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Fail what is unanswered."""
        error = InstanceUnreachableError("ask instance", self._entry.id, "the connection broke")
        if not self._is_greeted:
            self._is_greeted = True
            self.greeted.errback(error)
        questions, self._questions = self._questions, deque()
        for question in questions:
            if not question.result.called:
                question.result.errback(error)

    def _ask(self, request: str, text: str) -> Deferred[Reply]:
        question = _Question()
        if self.transport is None or not self.transport.connected:
            error = InstanceUnreachableError("ask instance", self._entry.id, "it is closed")
            question.result.errback(error)
            return question.result
        self._questions.append(question)
        self._send(f"QUERY {request} {text}")
        return question.result

    def _send(self, line: str) -> None:
        transport: Any = self.transport
        transport.write(line.encode(codec.ENCODING) + self.delimiter)

    def _take_greeting(self, word: str, rest: str) -> None:
        self._is_greeted = True
        if word == "READY":
            self.greeted.callback(self)
            return
        error = InstanceRefusedError("open connection", self._entry.id, rest or word)
        self.greeted.errback(error)
        self.close()

    def _finish(self, question: _Question, rest: str) -> None:
        letter, _, position = rest.partition(" ")
        state = codec.parse_state(letter)
        if state is None or not (question.signature or question.failure):
            self.close()
            return
        self._questions.popleft()
        reply = Reply(
            tuple(question.rows),
            question.signature or "-",
            question.failure,
            state,
            codec.parse_position(position),
        )
        question.result.callback(reply)

    def _read_report(self, reply: Reply) -> InstanceReport:
        fields = reply.rows[0].split(" ") if reply.rows else []
        received = codec.parse_position(fields[2]) if len(fields) >= 6 else None
        if reply.failure is not None or received is None:
            detail = reply.failure.code.value if reply.failure else "the report is not readable"
            raise InstanceRefusedError("ask for report", self._entry.id, detail)
        role = DbRole.PRIMARY if fields[0] == "primary" else DbRole.REPLICA
        return InstanceReport(
            self._entry.id, role, int(fields[1]), received, running_statements=int(fields[5])
        )


class InstanceDialer:
    """Opens connections to instances; implements the gateway's `Dialer`."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def dial(
        self, entry: InstanceEntry, tunnel_route: TunnelRoute | None
    ) -> Deferred[InstanceLink]:
        """Open a connection, directly or through another proxy, and wait for its greeting."""
        address = tunnel_route.address if tunnel_route else entry.address
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(self._reactor, host, int(port), timeout=DIAL_LIMIT_S)
        protocol = InstanceProtocol(entry, tunnel_route.prologue if tunnel_route else b"")

        def refuse(failure: TwistedFailure) -> TwistedFailure:
            if isinstance(failure.value, OrioleplankError):
                return failure
            detail = type(failure.value).__name__
            raise InstanceUnreachableError("open connection", entry.id, detail)

        def await_greeting(_: object) -> Deferred[InstanceLink]:
            timer = self._reactor.callLater(DIAL_LIMIT_S, protocol.close)

            def settle(result: Any) -> Any:
                if timer.active():
                    timer.cancel()
                return result

            return protocol.greeted.addBoth(settle)

        connecting: Any = connectProtocol(endpoint, protocol)
        opened: Deferred[InstanceLink] = connecting.addCallback(await_greeting).addErrback(refuse)
        return opened
