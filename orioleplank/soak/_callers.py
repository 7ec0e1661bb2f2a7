"""Callers that use the platform's line protocol over TCP."""

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

# A caller aborts its session when a request has no reply after this time.
REPLY_TIMEOUT_S = 8.0

# Sent where the configuration has no accounts.
NO_KEY = "soak"


class TcpCaller(LineOnlyReceiver):
    """One session, with the interface of the simulated caller that the tests use."""

    delimiter = b"\r\n"
    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, reactor: Any, database: str, key: str = "") -> None:
        self._reactor = reactor
        self._database = database
        self._key = key
        self._rows: list[str] = []
        self._signature = "-"
        self._failure: Failure | None = None
        self._is_session_open = False
        self._queued_lines: list[str] = []
        self._timer: Any = None
        self.is_closed = False
        # `on_reply` is called with each reply, `on_close` once when the session ends.
        self.on_reply: Callable[[Reply], None] = lambda reply: None
        self.on_close: Callable[[], None] = lambda: None

    @property
    def session(self) -> TcpCaller:
        """Return the caller itself, because it sends requests directly on its connection."""
        return self

    def send_request(self, request: str, statement: Statement) -> None:
        """Send a request, or queue it until the session is open."""
        line = f"QUERY {request} {format_statement(statement)}"
        self._timer = self._reactor.callLater(REPLY_TIMEOUT_S, self.abort_session)
        if self._is_session_open:
            self._send(line)
        else:
            self._queued_lines.append(line)

    def abort_session(self) -> None:
        """Abort the connection without a closing message."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()
        self.mark_closed()

    def mark_closed(self) -> None:
        """Mark the session as closed and call `on_close`, at most once."""
        if self.is_closed:
            return
        self.is_closed = True
        self._stop_timer()
        self.on_close()

    def connectionMade(self) -> None:  # noqa: N802
        """Send the startup message."""
        self._send(f"STARTUP {self._database} {self._key or NO_KEY}")

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Mark the session as closed."""
        self.mark_closed()

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handle one message; `READY` completes the startup or a reply."""
        message_type, _, content = line.decode(codec.ENCODING).partition(" ")
        match message_type:
            case "DATAROW":
                self._rows.append(content)
            case "COMPLETE":
                self._signature = content
            case "ERROR":
                code, _, detail = content.partition(" ")
                self._failure = Failure(codec.parse_code(code), detail)
            case "READY" if not self._is_session_open:
                self._is_session_open = True
                for queued_line in self._queued_lines:
                    self._send(queued_line)
            case "READY":
                self._complete_reply(content)

    def _complete_reply(self, content: str) -> None:
        state_letter, _, position = content.partition(" ")
        state = codec.parse_state(state_letter) or TransactionState.FAILED
        reply_position = codec.parse_position(position)
        reply = Reply(tuple(self._rows), self._signature, self._failure, state, reply_position)
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
    """Return a statement as text of the line protocol; raise `ValueError` for other kinds."""
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
    raise ValueError(f"callers cannot send the statement {statement}")
