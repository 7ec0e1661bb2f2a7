"""A caller's connection over the platform's line protocol."""

from __future__ import annotations

from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure as TwistedFailure

from orioleplank.decision.session import Failure, FailureCode, Reply
from orioleplank.gateway import CallerSession, SessionFactory
from orioleplank.platform import _codec as codec

# Time for the first message of a connection, in seconds.
STARTUP_LIMIT_S = 5.0
# Time for a caller to take what was sent before its connection is cut, in seconds.
CLOSE_LIMIT_S = 3.0


class CallerProtocol(LineOnlyReceiver):
    """One caller; implements the gateway's `CallerLink`."""

    delimiter = b"\r\n"
    MAX_LENGTH = codec.MAX_MESSAGE_BYTES

    def __init__(self, sessions: SessionFactory, reactor: Any) -> None:
        self._sessions = sessions
        self._reactor = reactor
        self._session: CallerSession | None = None
        self._timer: Any = None
        # True while the caller does not take its replies.
        self._is_slow = False
        self._is_paused = False
        # True once the connection is being closed.
        self._is_closing = False

    # Twisted's side.

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for the first message."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)
        transport.registerProducer(self, True)
        self._timer = self._reactor.callLater(STARTUP_LIMIT_S, self.close)

    def pauseProducing(self) -> None:  # noqa: N802
        """Read nothing more: the caller does not take its replies."""
        self._is_slow = True
        self._read_if_wanted()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read again: the caller has taken its replies."""
        self._is_slow = False
        self._read_if_wanted()

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing to do: the connection is lost."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; those that come while the connection is being closed are dropped."""
        if not self._is_closing:
            super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Take one message."""
        word, _, rest = line.decode(codec.ENCODING).partition(" ")
        match word:
            case "STARTUP" if self._session is None:
                self._open(rest)
            case "QUERY" if self._session is not None:
                request, _, text = rest.partition(" ")
                self._session.submit_request(request, codec.parse_statement(text))
                self._read_if_wanted()
            case "TERMINATE":
                self.close()
            case _:
                self.refuse(Failure(FailureCode.MALFORMED, f"unexpected message {word[:20]}"))

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a message that is too large."""
        self.refuse(
            Failure(FailureCode.TOO_LARGE, f"a message has at most {self.MAX_LENGTH} bytes")
        )

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Forget the session."""
        self._stop_timer()
        if self._session is not None:
            self._session.handle_disconnect()
            self._session = None

    # The gateway's side.

    def send_ready(self) -> None:
        """Tell that the session is open."""
        self._send_lines([f"READY I {codec.NO_POSITION}"])

    def reply(self, reply: Reply) -> None:
        """Answer the oldest request that is not answered."""
        lines = [f"DATAROW {row}" for row in reply.rows]
        if reply.failure is None:
            lines.append(f"COMPLETE {reply.signature}")
        else:
            lines.append(_format_failure(reply.failure))
        letter = codec.STATE_LETTERS[reply.state]
        lines.append(f"READY {letter} {codec.format_position(reply.position)}")
        self._send_lines(lines)

    def refuse(self, failure: Failure) -> None:
        """Refuse the session and end it."""
        self._send_lines([_format_failure(failure)])
        self.close()

    def resume_reading(self) -> None:
        """Read requests again after the session was behind."""
        self._read_if_wanted()

    def close(self) -> None:
        """End the session once what was sent is delivered; nothing more is read."""
        transport: Any = self.transport
        if transport is None or self._is_closing:
            return
        self._is_closing = True
        self._stop_timer()
        self._timer = self._reactor.callLater(CLOSE_LIMIT_S, transport.abortConnection)
        transport.unregisterProducer()
        transport.loseConnection()

    def _read_if_wanted(self) -> None:
        transport: Any = self.transport
        wanted = not self._is_slow and not (
            self._session is not None and self._session.should_pause_reading
        )
        if transport is None or self._is_closing or wanted is not self._is_paused:
            return
        self._is_paused = not wanted
        if wanted:
            transport.resumeProducing()
        else:
            transport.pauseProducing()

    def _open(self, rest: str) -> None:
        self._stop_timer()
        # The word after the database names the caller.
        database, _, _ = rest.partition(" ")
        self._session = self._sessions.open(self, database)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _send_lines(self, lines: list[str]) -> None:
        text = "".join(f"{line}\r\n" for line in lines)
        transport: Any = self.transport
        if transport is not None:
            transport.write(text.encode(codec.ENCODING))


class CallerFactory(ServerFactory):
    """Builds a protocol for each caller."""

    noisy = False

    def __init__(self, sessions: SessionFactory, reactor: Any) -> None:
        self._sessions = sessions
        self._reactor = reactor

    def buildProtocol(self, addr: IAddress | None) -> Protocol:  # noqa: N802
        """Return a caller's protocol."""
        return CallerProtocol(self._sessions, self._reactor)


def _format_failure(failure: Failure) -> str:
    return f"ERROR {codec.WIRE_CODES[failure.code]} {failure.detail}"
