"""HTTP server for requests without a body that are answered at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

from orioleplank.http._message import Request, Response, encode_response

# A connection without a complete request for this time is closed, in seconds.
IDLE_TIMEOUT_S = 60.0
# Longest request, in bytes, including its head.
MAX_REQUEST_BYTES = 64 * 1024

# Returns the response to a request.
Responder = Callable[[Request], Response]


class HttpServerFactory(ServerFactory):
    """Accepts connections and answers GET requests; other methods get status 405."""

    noisy = False

    def __init__(self, reactor: Any, respond: Responder) -> None:
        self.reactor = reactor
        self.respond = respond

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:  # noqa: N802
        """Return the protocol of an incoming connection."""
        return _ServerConnection(self)


class _ServerConnection(Protocol):
    """One incoming connection; invalid or too long requests close it."""

    def __init__(self, factory: HttpServerFactory) -> None:
        self._factory = factory
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        # Bytes received since the last complete request.
        self._received_bytes = 0
        self._idle_timer: Any = None

    @property
    def _transport(self) -> Any:
        return self.transport

    # Methods called by Twisted.

    def connectionMade(self) -> None:  # noqa: N802
        """Disable send delays, and start the idle timer."""
        self._transport.setTcpNoDelay(True)
        self._idle_timer = self._factory.reactor.callLater(
            IDLE_TIMEOUT_S, self._transport.abortConnection
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a request."""
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
            self._transport.loseConnection()
