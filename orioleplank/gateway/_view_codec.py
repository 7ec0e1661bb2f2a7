"""Encoding of views for the transfer between proxies: MessagePack, compressed."""

from __future__ import annotations

import zlib

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from orioleplank.decision.instances import RouteChanges
from orioleplank.gateway._store_view import StoreView

# Longest part of a view before compression, in bytes.
MAX_PART_BYTES = 64 * 1024 * 1024
# Encoded changes of the configuration that are kept. Nearly all requests after a change come from
# proxies that have the version before it.
KEPT_CHANGES = 4


class _Envelope(Struct, frozen=True, array_like=True):
    # The view without the configuration.
    head: bytes
    # The changes of the configuration; empty if there are none.
    routes: bytes


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)
_HEAD_DECODER = msgspec.msgpack.Decoder(StoreView)
_ROUTES_DECODER = msgspec.msgpack.Decoder(RouteChanges)


class ViewEncoder:
    """Encodes views; all requests for the same changes of the configuration share one encoding."""

    def __init__(self) -> None:
        # Encoded changes by their base and version, the latest ones last.
        self._encoded_routes: dict[tuple[int, int], bytes] = {}

    def encode(self, view: StoreView) -> bytes:
        """Encode a view."""
        routes = b"" if view.routes is None else self._encode_routes(view.routes)
        head = zlib.compress(msgspec.msgpack.encode(replace(view, routes=None)))
        return msgspec.msgpack.encode(_Envelope(head, routes))

    def _encode_routes(self, changes: RouteChanges) -> bytes:
        key = (changes.base, changes.version)
        encoded = self._encoded_routes.get(key)
        if encoded is None:
            encoded = zlib.compress(msgspec.msgpack.encode(changes))
            self._encoded_routes[key] = encoded
            for outdated in list(self._encoded_routes)[:-KEPT_CHANGES]:
                del self._encoded_routes[outdated]
        return encoded


def decode_view(data: bytes) -> StoreView:
    """Decode a view; raise `ValueError` when it is invalid."""
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
        view = _HEAD_DECODER.decode(_decompress(envelope.head))
        if not envelope.routes:
            return view
        return replace(view, routes=_ROUTES_DECODER.decode(_decompress(envelope.routes)))
    except (zlib.error, RecursionError) as error:
        raise ValueError("the view is not valid") from error


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    part = decompressor.decompress(data, MAX_PART_BYTES)
    if not decompressor.eof:
        raise ValueError("a part of the view is too long or not complete")
    return part
