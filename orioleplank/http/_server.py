"""HTTP server for requests without a body that are answered at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol as TypingProtocol

import httptools
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from orioleplank._exceptions import OrioleplankError
from orioleplank.http._message import Request, Response, encode_response

# A connection without a complete request for this time is closed, in seconds.
IDLE_TIMEOUT_S = 60.0
# Longest request, in bytes, including its head.
MAX_REQUEST_BYTES = 64 * 1024

# Requests that one connection may send ahead of their responses. The clients of the proxies send
# one at a time; a piece of 64 KB may hold a thousand.
MAX_REQUESTS_AHEAD = 16


class GuardedConnection(TypingProtocol):
    """A connection to a port with a limit on connections."""

    def close_for_room(self) -> None:
        """Close it, because another connection takes its place."""


class ConnectionGuard(TypingProtocol):
    """Limits the connections to a port."""

    def may_serve(self, connection: GuardedConnection) -> bool:
        """Return whether a new connection is served; another one may be closed for it."""

    def mark_used(self, connection: object) -> None:
        """Record that a connection has sent a request."""

    def remove(self, connection: object) -> None:
        """Remove a connection that was closed."""

    def report_ahead(self) -> None:
        """Report a connection that sends too many requests ahead."""


class TooManyRequestsError(OrioleplankError):
    """A connection has sent more requests ahead than allowed."""


# Returns the response to a request.
Responder = Callable[[Request], Response]


class HttpServerFactory(ServerFactory):
    """Accepts connections and answers GET requests; other methods get status 405."""

    noisy = False

    def __init__(self, reactor: Any, respond: Responder) -> None:
        self.reactor = reactor
        self.respond = respond
        # None if the number of connections is not limited.
        self.guard: ConnectionGuard | None = None

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:  # noqa: N802
        """Return the protocol of an incoming connection; None if there are too many."""
        connection = _ServerConnection(self)
        if self.guard is not None and not self.guard.may_serve(connection):
            return None
        return connection


class _ServerConnection(Protocol):
    """One incoming connection; invalid or too long requests close it."""

    def __init__(self, factory: HttpServerFactory) -> None:
        self._factory = factory
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        # Bytes received since the last complete request.
        self._received_bytes = 0
        # Requests that were read while the peer did not read, or in one piece.
        self._ahead = 0
        self._is_write_buffer_full = False
        self._idle_timer: Any = None

    @property
    def _transport(self) -> Any:
        return self.transport

    # Methods called by Twisted.

    def connectionMade(self) -> None:  # noqa: N802
        """Disable send delays, and start the idle timer."""
        self._transport.setTcpNoDelay(True)
        self._transport.registerProducer(self, True)
        self._idle_timer = self._factory.reactor.callLater(
            IDLE_TIMEOUT_S, self._transport.abortConnection
        )

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading requests: the peer does not read the responses."""
        self._is_write_buffer_full = True
        self._transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading requests."""
        self._is_write_buffer_full = False
        self._transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; `connectionLost` handles the end of the connection."""

    def close_for_room(self) -> None:
        """Close the connection, because another one takes its place."""
        self._transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a request."""
        if not self._is_write_buffer_full:
            self._ahead = 0
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abortConnection()
            return
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Stop the idle timer."""
        if self._factory.guard is not None:
            self._factory.guard.remove(self)
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()

    # Methods called by the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Keep a part of the target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Respond to a request."""
        self._received_bytes = 0
        self._count_ahead()
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.reset(IDLE_TIMEOUT_S)
        method = self._parser.get_method().decode("latin-1")
        if method == "GET":
            response = self._factory.respond(Request(method, self._target.decode("latin-1")))
        else:
            response = Response(405)
        keep_alive = self._parser.should_keep_alive()
        self._transport.write(encode_response(response, keep_alive))
        if not keep_alive:
            self._transport.unregisterProducer()
            self._transport.loseConnection()

    def _count_ahead(self) -> None:
        """Count a request; raise an error, which closes the connection, if there are too many."""
        guard = self._factory.guard
        if guard is not None:
            guard.mark_used(self)
        self._ahead += 1
        if self._ahead > MAX_REQUESTS_AHEAD:
            if guard is not None:
                guard.report_ahead()
            raise TooManyRequestsError("read requests", "", f"over {MAX_REQUESTS_AHEAD} ahead")
