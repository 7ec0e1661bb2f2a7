"""Parts of an HTTP request under Twisted, typed."""

from __future__ import annotations

from twisted.web.server import Request


def read_path(request: Request) -> list[str]:
    """Return the parts of a request's path."""
    return [part.decode(errors="replace") for part in request.postpath or ()]


def read_body(request: Request, limit: int = -1) -> bytes:
    """Return a request's body, `limit` bytes of it at the most."""
    content = request.content
    return bytes(content.read(limit)) if content is not None else b""


def cut_connection(request: Request) -> None:
    """Cut the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abortConnection()
