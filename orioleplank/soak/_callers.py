"""Callers that speak the platform's line protocol over TCP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure as TwistedFailure

from orioleplank.decision.session import (
    Begin,
    Commit,
    Execute,
    Failure,
    Prepare,
    Read,
    Reply,
    Rollback,
    SetValue,
    Statement,
    TransactionState,
    Write,
)
from orioleplank.platform import _codec as codec

# A caller that is not answered for this long gives its session up, in seconds.
PATIENCE_S = 8.0


class TcpCaller(LineOnlyReceiver):
    """One session; stands in for the tests' caller on virtual time."""

    delimiter = b"\r\n"
    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, reactor: Any, database: str) -> None:
        self._reactor = reactor
        self._database = database
        self._rows: list[str] = []
        self._signature = "-"
        self._failure: Failure | None = None
        self._is_greeted = False
        self._waiting: list[str] = []
        self._timer: Any = None
        self.is_closed = False
        # Called with each reply, and once when the session ends.
        self.on_reply: Callable[[Reply], None] = lambda reply: None
        self.on_close: Callable[[], None] = lambda: None

    @property
    def session(self) -> TcpCaller:
        """Return itself: requests go straight to the connection."""
        return self

    def send_request(self, request: str, statement: Statement) -> None:
        """Send a request, once the session is open."""
        line = f"QUERY {request} {format_statement(statement)}"
        self._timer = self._reactor.callLater(PATIENCE_S, self.give_up)
        if self._is_greeted:
            self._send(line)
        else:
            self._waiting.append(line)

    def give_up(self) -> None:
        """End the session without a word."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()
        self.mark_closed()

    def mark_closed(self) -> None:
        """Tell that the session has ended."""
        if self.is_closed:
            return
        self.is_closed = True
        self._stop_timer()
        self.on_close()

    def connectionMade(self) -> None:  # noqa: N802
        """Open the session."""
        self._send(f"STARTUP {self._database} soak")

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Note the end."""
        self.mark_closed()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Take one message."""
        word, _, rest = line.decode(codec.ENCODING).partition(" ")
        match word:
            case "DATAROW":
                self._rows.append(rest)
            case "COMPLETE":
                self._signature = rest
            case "ERROR":
                code, _, detail = rest.partition(" ")
                self._failure = Failure(codec.parse_code(code), detail)
            case "READY" if not self._is_greeted:
                self._is_greeted = True
                for waiting in self._waiting:
                    self._send(waiting)
            case "READY":
                self._finish(rest)

    def _finish(self, rest: str) -> None:
        letter, _, position = rest.partition(" ")
        state = codec.parse_state(letter) or TransactionState.FAILED
        at = codec.parse_position(position)
        reply = Reply(tuple(self._rows), self._signature, self._failure, state, at)
        self._rows, self._signature, self._failure = [], "-", None
        self._stop_timer()
        self.on_reply(reply)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _send(self, line: str) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.write(line.encode(codec.ENCODING) + self.delimiter)


def format_statement(statement: Statement) -> str:
    """Return a caller's text of a statement."""
    match statement:
        case Begin(read_only):
            return "BEGIN READ" if read_only else "BEGIN"
        case Commit():
            return "COMMIT"
        case Rollback():
            return "ROLLBACK"
        case Read(arguments):
            return f"READ {arguments}"
        case Write(arguments):
            return f"WRITE {arguments}"
        case SetValue(name, value):
            return f"SET {name} {value}"
        case Prepare(name, shape):
            return f"PREPARE {name} {shape.mode.value.upper()} {shape.text}"
        case Execute(name, arguments):
            return f"EXECUTE {name} {arguments}"
    raise ValueError(f"callers do not send {statement}")
