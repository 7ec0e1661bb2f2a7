"""Datagrams between proxies. Each may be lost; senders that need a response repeat the request."""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, get_args

import msgspec
from twisted.internet.protocol import DatagramProtocol

from orioleplank.decision.membership import PeerMessage

# The name of the message's type, and the undecoded fields.
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_DECODERS = MappingProxyType(
    {kind.__name__: msgspec.msgpack.Decoder(kind) for kind in get_args(PeerMessage)}
)


class PeerSocket(DatagramProtocol):
    """A UDP socket that sends messages to other proxies and passes received ones on."""

    def __init__(self, on_message: Callable[[PeerMessage], None]) -> None:
        self._on_message = on_message

    def send(self, address: str, message: PeerMessage) -> None:
        """Send a message to HOST:PORT; dropped while the socket is closed, and may be lost."""
        host, _, port = address.rpartition(":")
        transport: Any = self.transport
        if transport is not None:
            transport.write(encode_message(message), (host, int(port)))

    def datagramReceived(self, datagram: bytes, addr: object) -> None:  # noqa: N802
        """Decode a datagram and pass it on; an invalid one is dropped."""
        message = decode_message(datagram)
        if message is not None:
            self._on_message(message)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as the content of a datagram."""
    return msgspec.msgpack.encode((type(message).__name__, message))


def decode_message(datagram: bytes) -> PeerMessage | None:
    """Decode a datagram; None when it is invalid."""
    try:
        name, fields = _ENVELOPE.decode(datagram)
        message: PeerMessage = _DECODERS[name].decode(fields)
    except (ValueError, KeyError, RecursionError):
        return None
    return message
