"""HTTP requests with a timeout, and the exceptions that mean that no response arrived."""

from __future__ import annotations

from collections.abc import Mapping
from io import BytesIO
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionDone,
    ConnectionLost,
)
from twisted.web.client import (
    FileBodyProducer,
    PartialDownloadError,
    ResponseFailed,
    ResponseNeverReceived,
    readBody,
)
from twisted.web.http_headers import Headers

# Exceptions of a request without a response: connection refused, connection lost, or timeout.
NO_RESPONSE_ERRORS = (
    CancelledError,
    ConnectError,
    ConnectingCancelledError,
    ConnectionDone,
    ConnectionLost,
    DeferredTimeoutError,
    PartialDownloadError,
    ResponseFailed,
    ResponseNeverReceived,
)


def send_request(
    reactor: Any,
    agent: Any,
    method: str,
    url: str,
    timeout: float,
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
) -> Deferred[Any]:
    """Send a request; return the response without its body.

    Waits at most `timeout` seconds. Fails with one of `NO_RESPONSE_ERRORS`, after which the
    connection is closed.
    """
    header_lines = Headers({name: [value] for name, value in (headers or {}).items()})
    producer = None if body is None else FileBodyProducer(BytesIO(body))
    pending_response: Deferred[Any] = agent.request(
        method.encode(), url.encode(), header_lines, producer
    )
    return pending_response.addTimeout(timeout, reactor)


def read_response_body(reactor: Any, response: Any, timeout: float) -> Deferred[bytes]:
    """Read the body of a response returned by `send_request`.

    Waits at most `timeout` seconds. Fails with one of `NO_RESPONSE_ERRORS`, after which the
    connection is closed.
    """
    pending_body: Deferred[bytes] = readBody(response)
    return pending_body.addTimeout(timeout, reactor)
