"""HTTP client with bounded waits for responses, and with connections that are kept.

A response may take as long as its size requires on a busy link, as long as more of it arrives.
"""

from __future__ import annotations

from typing import Any, TypeVar

import httptools
from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import ClientCreator, Protocol, connectionDone
from twisted.python.failure import Failure

from orioleplank._exceptions import OrioleplankError
from orioleplank.http._message import Request, Response, encode_request

# Longest response body, in bytes.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Longest time from a request to the end of its response, beyond the wait for its beginning, in
# seconds. It ends responses of which a little arrives again and again.
MAX_TRANSFER_S = 20.0


T = TypeVar("T")


class NoResponseError(OrioleplankError):
    """No complete response arrived; the request may have taken effect."""

    # Bytes of the response that have arrived.
    received_bytes: int

    def __init__(self, step: str, peer: str, detail: str, received_bytes: int = 0) -> None:
        self.received_bytes = received_bytes
        super().__init__(step, peer, detail)

    @property
    def description(self) -> str:
        """The cause, and how much of the response had arrived."""
        return f"{self.detail} after {self.received_bytes} bytes"


class HttpClient:
    """Sends requests to one address, each on a connection that no other request uses meanwhile.

    A request times out if nothing of its response arrives for a time. Then its connection is
    closed, so that the request cannot take effect later if it was not delivered, and the idle
    connections too: they may be as unresponsive.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        connect_timeout: float,
        silence_timeout: float,
        max_idle_connections: int = 0,
        kept_headers: frozenset[str] = frozenset(),
    ) -> None:
        """Create a client of the server at HOST:PORT.

        A response that has begun times out when nothing more of it arrives for `silence_timeout`
        seconds. `kept_headers` are the lower-case names of the headers that a `Response` shall
        contain.
        """
        self._reactor = reactor
        self._address = address
        # In seconds.
        self._connect_timeout = connect_timeout
        # In seconds.
        self._silence_timeout = silence_timeout
        self._max_idle_connections = max_idle_connections
        self.kept_headers = kept_headers
        self._idle: list[_ClientConnection] = []

    def send(self, request: Request, timeout: float) -> Deferred[Response]:
        """Send a request, and wait at most `timeout` seconds for its response to begin.

        Fails with `NoResponseError`, also when the response stops before its end.
        """
        step = f"{request.method} {request.target.partition('?')[0]}"
        data = encode_request(request, self._address, self._max_idle_connections > 0)
        pending: Deferred[Any] = self._acquire()
        progress = _Progress(self._reactor, pending, timeout, self._silence_timeout)
        pending.addCallback(lambda connection: connection.exchange(data, progress))
        pending.addBoth(progress.finish)

        def convert_error(failure: Failure) -> Failure:
            if progress.has_timed_out:
                self.close_idle_connections()
            detail = "TimeoutError" if progress.has_timed_out else type(failure.value).__name__
            received_bytes = progress.received_bytes
            raise NoResponseError(step, self._address, detail, received_bytes) from failure.value

        return pending.addErrback(convert_error)

    def close_idle_connections(self) -> None:
        """Close the connections that no request uses."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _acquire(self) -> Deferred[_ClientConnection]:
        if self._idle:
            return succeed(self._idle.pop())
        host, _, port = self._address.rpartition(":")
        creator = ClientCreator(self._reactor, _ClientConnection, self)
        connecting: Deferred[_ClientConnection] = creator.connectTCP(
            host, int(port), timeout=self._connect_timeout
        )
        return connecting

    def _release(self, connection: _ClientConnection) -> None:
        """Keep a connection whose response is complete, or close it."""
        if len(self._idle) < self._max_idle_connections:
            self._idle.append(connection)
        else:
            connection.end()

    def _discard(self, connection: _ClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)


class _Progress:
    """How much of one response has arrived; cancels the request when it times out."""

    def __init__(
        self, reactor: Any, pending: Deferred[Any], timeout: float, silence_timeout: float
    ) -> None:
        self._reactor = reactor
        self._pending = pending
        self._silence_timeout = silence_timeout
        self._started_at: float | None = None
        self.received_bytes = 0
        self.has_timed_out = False
        self._silence_timer = reactor.callLater(timeout, self._expire)
        self._transfer_timer = reactor.callLater(timeout + MAX_TRANSFER_S, self._expire)

    def add(self, size: int) -> None:
        """Count received bytes."""
        if self._started_at is None:
            self._started_at = self._reactor.seconds()
        self.received_bytes += size
        if self._silence_timer.active():
            self._silence_timer.reset(self._silence_timeout)

    def finish(self, result: T) -> T:
        """Stop the timers when the request has ended; return its result."""
        for timer in (self._silence_timer, self._transfer_timer):
            if timer.active():
                timer.cancel()
        return result

    @property
    def seconds(self) -> float:
        """Seconds since the first byte."""
        if self._started_at is None:
            return 0.0
        return float(self._reactor.seconds() - self._started_at)

    def _expire(self) -> None:
        self.has_timed_out = True
        self._pending.cancel()


class _ClientConnection(Protocol):
    """One connection; parses the response of the request in progress."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._pending: Deferred[Response] | None = None
        self._progress: _Progress | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_length = 0

    def exchange(self, data: bytes, progress: _Progress) -> Deferred[Response]:
        """Send an encoded request; return its response. Cancelling it closes the connection."""
        self._progress = progress
        self._pending = Deferred(self._cancel)
        self._parser = httptools.HttpResponseParser(self)
        self._headers, self._body, self._body_length = {}, [], 0
        pending, transport = self._pending, self._transport
        if transport is None or not transport.connected:
            self._fail(connectionDone)
        else:
            transport.write(data)
        return pending

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abortConnection()

    def end(self) -> None:
        """Close the connection in order."""
        if self._transport is not None:
            self._transport.loseConnection()

    @property
    def _transport(self) -> Any:
        return self.transport

    # Methods called by Twisted.

    def connectionMade(self) -> None:  # noqa: N802
        """Disable send delays."""
        self._transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of a response; data that nobody waits for closes the connection."""
        if self._pending is None:
            self.close()
            return
        if self._progress is not None:
            self._progress.add(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(Failure(error))
            self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fail the request in progress."""
        self._client._discard(self)
        self._fail(reason)

    # Methods called by the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header that the client was told to keep."""
        text = name.decode("latin-1").lower()
        if text in self._client.kept_headers:
            self._headers[text] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._body_length += len(body)
        if self._body_length > MAX_BODY_BYTES:
            raise ValueError(f"the body is longer than {MAX_BODY_BYTES} bytes")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Return the response, and the connection to the client."""
        pending, self._pending = self._pending, None
        response = Response(
            self._parser.get_status_code(),
            b"".join(self._body),
            headers=self._headers,
            transfer_seconds=self._progress.seconds if self._progress else 0.0,
        )
        if self._parser.should_keep_alive():
            self._client._release(self)
        else:
            self.end()
        if pending is not None:
            pending.callback(response)

    def _cancel(self, _: object) -> None:
        self._pending = None
        self.close()

    def _fail(self, reason: Failure) -> None:
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.errback(reason)
