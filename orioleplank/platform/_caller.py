"""Connections from callers, which use the platform's line protocol."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from orioleplank.decision.intake import Refused
from orioleplank.decision.session import Failure, FailureCode, Reply
from orioleplank.gateway import (
    CallerSession,
    Intake,
    LimitReason,
    SessionFactory,
    count_unsent_bytes,
)
from orioleplank.platform import _codec as codec
from orioleplank.platform._deadline import Deadline
from orioleplank.platform._line_buffer import LineBuffer

# Time within which a new connection has to send its first message.
STARTUP_TIMEOUT_S = 5.0
# Time that a caller has to receive pending data before its closing connection is aborted.
CLOSE_TIMEOUT_S = 3.0
# Messages of one connection that are handled before other connections get their turn. A piece of
# 64 KB may hold 4,000 short requests.
MESSAGES_PER_TURN = 16
# Connections that are accepted before others get their turn. Twisted accepts ever more of them
# under a flood, so that reset ones fill the table before their end is noticed.
ACCEPTS_PER_TURN = 32


class CallerProtocol(Protocol):
    """Connection of one caller; implements the gateway's `CallerLink`."""

    def __init__(self, sessions: SessionFactory, reactor: Any, intake: Intake) -> None:
        self._sessions = sessions
        self._intake = intake
        self._limits = intake.limits
        self._session: CallerSession | None = None
        self._buffer = LineBuffer(codec.MAX_MESSAGE_BYTES)
        # Sizes of the requests that have no answer yet, oldest first, and their sum.
        self._unanswered: deque[int] = deque()
        self._unanswered_bytes = 0
        # Ends the wait for the first message, or for the delivery of pending data.
        self._startup_deadline = Deadline(reactor, self.close)
        self._close_deadline = Deadline(reactor, self._abort)
        self._message_deadline = Deadline(reactor, self._handle_message_timeout)
        self._unread_deadline = Deadline(reactor, self._handle_unread_timeout)
        self._next_turn = Deadline(reactor, self._handle_messages)
        # True while the transport's write buffer is full: the caller does not read its replies.
        self._is_write_buffer_full = False
        self._is_reading_paused = False
        # True from the call of `close` on.
        self._is_closing = False
        # True once a limit has ended the connection; further replies are dropped.
        self._is_cut_off = False

    # Methods called by Twisted.

    def connectionMade(self) -> None:  # noqa: N802
        """Set socket options and start the timeout for the first message."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)
        transport.registerProducer(self, True)
        self._startup_deadline.start(STARTUP_TIMEOUT_S)

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading requests: the caller does not read its replies."""
        self._is_write_buffer_full = True
        self._unread_deadline.start(self._limits.unread_timeout)
        self._update_reading()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading requests: the caller has read its replies."""
        self._is_write_buffer_full = False
        self._unread_deadline.stop()
        self._intake.record(self)
        self._update_reading()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; `connectionLost` handles the end of the connection."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received bytes; they are dropped while the connection is being closed."""
        if self._is_closing:
            return
        self._buffer.append(data)
        self._handle_messages()
        self._intake.record(self)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Notify the session that its caller has disconnected."""
        self._stop_deadlines()
        self._close_deadline.stop()
        self._buffer.clear()
        self._unanswered.clear()
        self._unanswered_bytes = 0
        self._intake.forget(self)
        self._intake.callers.remove(self)
        # The transport's buffers are released at once, also while a request is in progress.
        self.transport = None
        if self._session is not None:
            self._session.handle_disconnect()
            self._session = None

    # Methods called by the gateway.

    def send_ready(self) -> None:
        """Report to the caller that the session is open."""
        self._send_lines([f"READY I {codec.NO_POSITION}"])

    def reply(self, reply: Reply) -> None:
        """Send the reply to the oldest unanswered request."""
        if self._is_cut_off:
            return
        if self._unanswered:
            self._unanswered_bytes -= self._unanswered.popleft()
        lines = [f"DATAROW {row}" for row in reply.rows]
        if reply.failure is None:
            lines.append(f"COMPLETE {reply.signature}")
        else:
            lines.append(_format_failure(reply.failure))
        state_letter = codec.STATE_LETTERS[reply.state]
        lines.append(f"READY {state_letter} {codec.format_position(reply.position)}")
        self._send_lines(lines)
        if count_unsent_bytes(self.transport) > self._limits.unread_bytes:
            self._cut_off(LimitReason.UNREAD, "too many bytes of answers were not read")
        self._intake.record(self)

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
        self._stop_deadlines()
        self._buffer.clear()
        self._close_deadline.start(CLOSE_TIMEOUT_S)
        transport.unregisterProducer()
        transport.loseConnection()

    # Methods called when a limit of the process is met.

    def count_held_bytes(self) -> int:
        """Return the bytes that are held for this caller."""
        kept = self._session.kept_bytes if self._session is not None else 0
        unsent = count_unsent_bytes(self.transport)
        # A request in progress is held as a statement and in the buffer of its connection.
        return len(self._buffer) + 2 * self._unanswered_bytes + kept + unsent

    def close_for_budget(self) -> None:
        """Close the connection, because the process holds too much and most of it here."""
        self._cut_off(LimitReason.PROCESS, "this proxy holds too many bytes, most of them here")

    def close_for_room(self) -> None:
        """Close the connection, which has sent no request, for a new one."""
        self.refuse(Failure(FailureCode.BUSY, _describe_full(self._limits.connections)))

    # Messages.

    @property
    def _may_handle(self) -> bool:
        """True while the next request may be taken from the buffer."""
        return not (
            self._is_closing
            or self._is_write_buffer_full
            or self._unanswered_bytes >= self._limits.ahead_bytes
            or len(self._unanswered) >= self._limits.ahead_requests
            or (self._session is not None and self._session.should_pause_reading)
        )

    def _handle_messages(self) -> None:
        """Handle some complete messages; the rest in a later turn, so that others are served."""
        for _ in range(MESSAGES_PER_TURN):
            if not self._may_handle:
                break
            if self._buffer.is_too_long:
                self._refuse_message_size()
                break
            if not self._buffer.has_line:
                break
            self._message_deadline.stop()
            self._handle_message(self._buffer.take_line())
        self._update_reading()

    def _handle_message(self, line: bytes) -> None:
        """Handle one message; an unexpected one closes the connection."""
        message_type, _, rest = line.decode(codec.ENCODING).partition(" ")
        match message_type:
            case "STARTUP" if self._session is None:
                self._open_session(rest)
            case "QUERY" if self._session is not None:
                self._submit_request(self._session, rest)
            case "TERMINATE":
                self.close()
            case _:
                self.refuse(
                    Failure(FailureCode.MALFORMED, f"unexpected message {message_type[:20]}")
                )

    def _open_session(self, rest: str) -> None:
        self._startup_deadline.stop()
        self._intake.callers.mark_opened(self)
        database, _, key = rest.partition(" ")
        self._session = self._sessions.open(self, database, key)

    def _submit_request(self, session: CallerSession, rest: str) -> None:
        self._intake.callers.mark_used(self)
        self._unanswered.append(len(rest))
        self._unanswered_bytes += len(rest)
        # A request that exceeds the budget of the process is not started.
        self._intake.record(self)
        if self._is_cut_off:
            return
        request_id, _, text = rest.partition(" ")
        session.submit_request(request_id, codec.parse_statement(text))

    def _update_reading(self) -> None:
        """Read from the connection only while what is read can be handled."""
        if self._is_closing:
            return
        may_handle = self._may_handle
        if may_handle and self._buffer.has_line:
            self._next_turn.start(0)
        self._set_reading(may_handle and not self._buffer.has_line)

    def _set_reading(self, should_read: bool) -> None:
        transport: Any = self.transport
        if should_read and len(self._buffer):
            self._message_deadline.start(self._limits.message_timeout)
        else:
            self._message_deadline.stop()
        if transport is None or should_read is not self._is_reading_paused:
            return
        self._is_reading_paused = not should_read
        if should_read:
            transport.resumeProducing()
        else:
            transport.pauseProducing()

    # Limits.

    def _refuse_message_size(self) -> None:
        self._intake.callers.report(LimitReason.MESSAGE)
        detail = f"program read message: a message has at most {codec.MAX_MESSAGE_BYTES} bytes"
        self.refuse(Failure(FailureCode.TOO_LARGE, f"{detail}; it did not run"))

    def _handle_message_timeout(self) -> None:
        self._cut_off(LimitReason.MESSAGE_TIME, "a message was not complete in time")

    def _handle_unread_timeout(self) -> None:
        self._cut_off(LimitReason.UNREAD_TIME, "answers were not read in time")

    def _cut_off(self, reason: LimitReason, detail: str) -> None:
        """Report a limit, tell the caller so if it reads, and close the connection."""
        if self._is_cut_off:
            return
        self._is_cut_off = True
        self._intake.callers.report(reason, bytes=self.count_held_bytes())
        if self._unanswered:
            text = f"program close connection: {detail}; unanswered requests may have run"
            failure = Failure(FailureCode.IN_DOUBT, text)
        else:
            text = f"program close connection: {detail}; nothing ran that is unanswered"
            failure = Failure(FailureCode.BUSY, text)
        has_unread = count_unsent_bytes(self.transport) > 0
        self.refuse(failure)
        if has_unread:
            self._abort()

    def _abort(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _stop_deadlines(self) -> None:
        for deadline in (
            self._startup_deadline,
            self._message_deadline,
            self._unread_deadline,
            self._next_turn,
        ):
            deadline.stop()

    def _send_lines(self, lines: list[str]) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.writeSequence([f"{line}\r\n".encode(codec.ENCODING) for line in lines])


class _RefusedCaller(Protocol):
    """A connection over the limit; it is told so and closed."""

    def __init__(self, reactor: Any, intake: Intake) -> None:
        self._intake = intake
        self._close_deadline = Deadline(reactor, self._abort)

    def connectionMade(self) -> None:  # noqa: N802
        """Send the refusal and close the connection."""
        transport: Any = self.transport
        failure = Failure(FailureCode.BUSY, _describe_full(self._intake.limits.connections))
        transport.write(f"{_format_failure(failure)}\r\n".encode(codec.ENCODING))
        transport.loseConnection()
        self._close_deadline.start(CLOSE_TIMEOUT_S)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Make room for another one."""
        self._close_deadline.stop()
        self._intake.callers.remove(self)

    def _abort(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()


class CallerFactory(ServerFactory):
    """Creates a `CallerProtocol` for each accepted connection."""

    noisy = False

    def __init__(self, sessions: SessionFactory, reactor: Any, intake: Intake) -> None:
        self._sessions = sessions
        self._reactor = reactor
        self._intake = intake
        # The listening port, once it is open.
        self.port: Any = None

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:  # noqa: N802
        """Return the protocol of a new connection; None closes one over the limit at once."""
        if self.port is not None:
            self.port.numberAccepts = ACCEPTS_PER_TURN
        protocol = CallerProtocol(self._sessions, self._reactor, self._intake)
        match self._intake.callers.accept(protocol):
            case Refused(may_reply=True):
                refused = _RefusedCaller(self._reactor, self._intake)
                self._intake.callers.add_refused(refused)
                return refused
            case Refused():
                return None
        return protocol


def _describe_full(limit: int) -> str:
    return f"program accept: this proxy serves at most {limit} connections; nothing ran"


def _format_failure(failure: Failure) -> str:
    return f"ERROR {codec.WIRE_CODES[failure.code]} {failure.detail}"
