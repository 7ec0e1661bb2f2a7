"""Typed access to parts of an HTTP request received by Twisted."""

from __future__ import annotations

from twisted.web.server import Request


def get_path_segments(request: Request) -> list[str]:
    """Return the path segments below the resource that serves the request."""
    return [segment.decode(errors="replace") for segment in request.postpath or ()]


def read_request_body(request: Request, max_bytes: int = -1) -> bytes:
    """Return at most `max_bytes` bytes of the body; -1 means the whole body."""
    content = request.content
    return bytes(content.read(max_bytes)) if content is not None else b""


def abort_connection(request: Request) -> None:
    """Abort the connection of a request without sending a response."""
    if request.transport is not None:
        request.transport.abortConnection()
