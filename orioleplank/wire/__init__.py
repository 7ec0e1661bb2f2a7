"""Conversion between protobuf messages and the data classes of `orioleplank.decision`."""

from orioleplank.wire._caller import decode_request, encode_reply
from orioleplank.wire._token import decode_token, encode_token
from orioleplank.wire._upstream import (
    decode_ledger_reply,
    decode_position,
    decode_report,
    decode_statement_reply,
    encode_position,
    encode_report,
    encode_statement,
)
from orioleplank.wire._value import SqlValue, decode_value, encode_value

__all__ = [
    "SqlValue",
    "decode_ledger_reply",
    "decode_position",
    "decode_report",
    "decode_request",
    "decode_statement_reply",
    "decode_token",
    "decode_value",
    "encode_position",
    "encode_reply",
    "encode_report",
    "encode_statement",
    "encode_token",
    "encode_value",
]
