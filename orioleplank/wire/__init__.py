"""Conversion between protocol messages and the data classes of the decisions."""

from orioleplank.wire._caller import read_request, write_reply
from orioleplank.wire._token import read_token, write_token
from orioleplank.wire._upstream import (
    read_ledger,
    read_position,
    read_report,
    read_statement_reply,
    write_position,
    write_report,
    write_statement,
)
from orioleplank.wire._value import SqlValue, read_value, write_value

__all__ = [
    "SqlValue",
    "read_ledger",
    "read_position",
    "read_report",
    "read_request",
    "read_statement_reply",
    "read_token",
    "read_value",
    "write_position",
    "write_reply",
    "write_report",
    "write_statement",
    "write_token",
    "write_value",
]
