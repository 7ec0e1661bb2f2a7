"""Calls over HTTP with a time limit, and how they fail when the other side gives no answer."""

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

# Errors of a call that was not answered: refused, broken off, or out of time.
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
    limit: float,
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
) -> Deferred[Any]:
    """Send a request; return the head of its answer, awaited for `limit` seconds at most.

    Fails with one of `NO_RESPONSE_ERRORS`; its connection is cut then.
    """
    lines = Headers({name: [value] for name, value in (headers or {}).items()})
    producer = None if body is None else FileBodyProducer(BytesIO(body))
    sending: Deferred[Any] = agent.request(method.encode(), url.encode(), lines, producer)
    return sending.addTimeout(limit, reactor)


def read_response_body(reactor: Any, response: Any, limit: float) -> Deferred[bytes]:
    """Return the body that follows the head of an answer, awaited for `limit` seconds at most.

    Fails with one of `NO_RESPONSE_ERRORS`; its connection is cut then.
    """
    reading: Deferred[bytes] = readBody(response)
    return reading.addTimeout(limit, reactor)
