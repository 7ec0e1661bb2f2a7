"""Wire format of session tokens: a version byte, a protobuf message and a CRC-32 checksum."""

from __future__ import annotations

from zlib import crc32

from google.protobuf.message import DecodeError

from orioleplank._exceptions import MalformedTokenError
from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.decision.quorum import EMPTY_TOKEN, Position, SessionToken, TokenEntry

TOKEN_VERSION = b"\x01"
CHECKSUM_BYTES = 4
MAX_TOKEN_BYTES = 16_384


def encode_token(token: SessionToken) -> bytes:
    """Encode a token; a token without entries becomes an empty string."""
    if not token.entries:
        return b""
    message = common.Token(
        entries=[
            common.TokenEntry(
                service=entry.service,
                position=common.Position(term=entry.position.term, index=entry.position.index),
            )
            for entry in token.entries
        ]
    )
    content = TOKEN_VERSION + message.SerializeToString()
    return content + crc32(content).to_bytes(CHECKSUM_BYTES, "big")


def decode_token(data: bytes) -> SessionToken:
    """Decode a token; raise `MalformedTokenError` if it is invalid or too long."""
    if not data:
        return EMPTY_TOKEN
    if len(data) > MAX_TOKEN_BYTES:
        raise MalformedTokenError(f"{len(data)} bytes, {MAX_TOKEN_BYTES} are allowed")
    content, checksum = data[:-CHECKSUM_BYTES], data[-CHECKSUM_BYTES:]
    if not content.startswith(TOKEN_VERSION):
        raise MalformedTokenError("it has an unknown version")
    if crc32(content).to_bytes(CHECKSUM_BYTES, "big") != checksum:
        raise MalformedTokenError("its checksum does not match")
    try:
        message = common.Token.FromString(content[len(TOKEN_VERSION) :])
    except DecodeError as error:
        raise MalformedTokenError(str(error)) from error
    return SessionToken(
        tuple(
            TokenEntry(entry.service, Position(entry.position.term, entry.position.index))
            for entry in message.entries
        )
    )
