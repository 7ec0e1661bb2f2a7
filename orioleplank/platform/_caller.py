"""Connections from callers, which use the platform's line protocol."""

from __future__ import annotations

from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure as TwistedFailure

from orioleplank.decision.session import Failure, FailureCode, Reply
from orioleplank.gateway import CallerSession, SessionFactory
from orioleplank.platform import _codec as codec

# Time within which a new connection has to send its first message.
STARTUP_TIMEOUT_S = 5.0
# Time that a caller has to receive pending data before its closing connection is aborted.
CLOSE_TIMEOUT_S = 3.0


class CallerProtocol(LineOnlyReceiver):
    """Connection of one caller; implements the gateway's `CallerLink`."""

    delimiter = b"\r\n"
    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, sessions: SessionFactory, reactor: Any) -> None:
        self._sessions = sessions
        self._reactor = reactor
        self._session: CallerSession | None = None
        self._timer: Any = None
        # True while the transport's write buffer is full: the caller does not read its replies.
        self._is_write_buffer_full = False
        self._is_reading_paused = False
        # True from the call of `close` on.
        self._is_closing = False

    # Methods called by Twisted.

    def connectionMade(self) -> None:  # noqa: N802
        """Set socket options and start the timeout for the first message."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)
        transport.registerProducer(self, True)
        self._timer = self._reactor.callLater(STARTUP_TIMEOUT_S, self.close)

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading requests: the caller does not read its replies."""
        self._is_write_buffer_full = True
        self._update_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading requests: the caller has read its replies."""
        self._is_write_buffer_full = False
        self._update_reading()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; `connectionLost` handles the end of the connection."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received bytes; they are dropped while the connection is being closed."""
        if not self._is_closing:
            super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Handle one message; an unexpected one closes the connection."""
        message_type, _, rest = line.decode(codec.ENCODING).partition(" ")
        match message_type:
            case "STARTUP" if self._session is None:
                self._open_session(rest)
            case "QUERY" if self._session is not None:
                request_id, _, text = rest.partition(" ")
                self._session.submit_request(request_id, codec.parse_statement(text))
                self._update_reading()
            case "TERMINATE":
                self.close()
            case _:
                self.refuse(
                    Failure(FailureCode.MALFORMED, f"unexpected message {message_type[:20]}")
                )

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a message that is too large and close the connection."""
        self.refuse(
            Failure(FailureCode.TOO_LARGE, f"a message has at most {self.MAX_LENGTH} bytes")
        )

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Notify the session that its caller has disconnected."""
        self._cancel_timer()
        if self._session is not None:
            self._session.handle_disconnect()
            self._session = None

    # Methods called by the gateway.

    def send_ready(self) -> None:
        """Report to the caller that the session is open."""
        self._send_lines([f"READY I {codec.NO_POSITION}"])

    def reply(self, reply: Reply) -> None:
        """Send the reply to the oldest unanswered request."""
        lines = [f"DATAROW {row}" for row in reply.rows]
        if reply.failure is None:
            lines.append(f"COMPLETE {reply.signature}")
        else:
            lines.append(_format_failure(reply.failure))
        state_letter = codec.STATE_LETTERS[reply.state]
        lines.append(f"READY {state_letter} {codec.format_position(reply.position)}")
        self._send_lines(lines)

    def refuse(self, failure: Failure) -> None:
        """Send an error and close the connection."""
        self._send_lines([_format_failure(failure)])
        self.close()

    def resume_reading(self) -> None:
        """Resume reading requests after the session had too many pending ones."""
        self._update_reading()

    def close(self) -> None:
        """Close the connection once pending data is delivered; stop handling further input."""
        transport: Any = self.transport
        if transport is None or self._is_closing:
            return
        self._is_closing = True
        self._cancel_timer()
        self._timer = self._reactor.callLater(CLOSE_TIMEOUT_S, transport.abortConnection)
        transport.unregisterProducer()
        transport.loseConnection()

    def _update_reading(self) -> None:
        transport: Any = self.transport
        should_read = not self._is_write_buffer_full and not (
            self._session is not None and self._session.should_pause_reading
        )
        if transport is None or self._is_closing or should_read is not self._is_reading_paused:
            return
        self._is_reading_paused = not should_read
        if should_read:
            transport.resumeProducing()
        else:
            transport.pauseProducing()

    def _open_session(self, rest: str) -> None:
        self._cancel_timer()
        database, _, key = rest.partition(" ")
        self._session = self._sessions.open(self, database, key)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _send_lines(self, lines: list[str]) -> None:
        text = "".join(f"{line}\r\n" for line in lines)
        transport: Any = self.transport
        if transport is not None:
            transport.write(text.encode(codec.ENCODING))


class CallerFactory(ServerFactory):
    """Creates a `CallerProtocol` for each accepted connection."""

    noisy = False

    def __init__(self, sessions: SessionFactory, reactor: Any) -> None:
        self._sessions = sessions
        self._reactor = reactor

    def buildProtocol(self, addr: IAddress | None) -> Protocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerProtocol(self._sessions, self._reactor)


def _format_failure(failure: Failure) -> str:
    return f"ERROR {codec.WIRE_CODES[failure.code]} {failure.detail}"
