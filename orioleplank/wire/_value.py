"""Conversion of SQL values to and from protobuf messages."""

from __future__ import annotations

from orioleplank._protos import orioleplank_common_pb2 as common

SqlValue = int | float | str | bytes | None


def encode_value(value: SqlValue) -> common.Value:
    """Encode a value; `None` is SQL NULL."""
    match value:
        case int():
            return common.Value(integer=value)
        case float():
            return common.Value(real=value)
        case str():
            return common.Value(text=value)
        case bytes():
            return common.Value(blob=value)
        case None:
            return common.Value(null=True)


def decode_value(message: common.Value) -> SqlValue:
    """Decode a value; an empty message is SQL NULL."""
    match message.WhichOneof("value"):
        case "integer":
            return message.integer
        case "real":
            return message.real
        case "text":
            return message.text
        case "blob":
            return message.blob
        case _:
            return None
