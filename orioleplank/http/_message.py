"""Requests and responses."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from msgspec import Struct


class Request(Struct, frozen=True):
    """A request, as the client sends it or as the server received it."""

    method: str
    # The path, with the query if there is one; already percent-encoded.
    target: str
    headers: Mapping[str, str] = {}
    # None if the request has no body.
    body: bytes | None = None


class Response(Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes = b""
    # Not filled in by the client.
    content_type: str = "application/octet-stream"
    # Filled in by the client, with the headers that it was told to keep, by lower-case name.
    headers: Mapping[str, str] = {}
    # Seconds from the first byte to the last; filled in by the client.
    transfer_seconds: float = 0.0


def encode_request(request: Request, host: str, keep_alive: bool) -> bytes:
    """Encode a request to `host`, which may include a port.

    Without `keep_alive` it asks the server to close the connection after the response.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    if not keep_alive:
        lines.append("Connection: close")
    if request.body is not None:
        lines.append(f"Content-Length: {len(request.body)}")
    return _join_head(lines) + (request.body or b"")


def encode_response(response: Response, keep_alive: bool) -> bytes:
    """Encode a response; without `keep_alive` it announces the end of the connection."""
    lines = [
        f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
    ]
    if not keep_alive:
        lines.append("Connection: close")
    return _join_head(lines) + response.body


def _join_head(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
