"""Parts of an HTTP request under Twisted, typed."""

from __future__ import annotations

from twisted.web.server import Request


def get_path_segments(request: Request) -> list[str]:
    """Return the parts of a request's path."""
    return [part.decode(errors="replace") for part in request.postpath or ()]


def read_request_body(request: Request, limit: int = -1) -> bytes:
    """Return a request's body, `limit` bytes of it at the most."""
    content = request.content
    return bytes(content.read(limit)) if content is not None else b""


def abort_connection(request: Request) -> None:
    """Cut the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abortConnection()
