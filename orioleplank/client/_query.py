"""Queries and results as plain Python values."""

from __future__ import annotations

from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.wire import SqlValue, decode_value, encode_value


def make_query(sql: str, *args: SqlValue) -> common.Query:
    """Return a query with its positional arguments."""
    return common.Query(sql=sql, args=[encode_value(value) for value in args])


def make_payload(*queries: common.Query) -> bytes:
    """Return the payload of a request that runs `queries` atomically."""
    return common.Queries(queries=queries).SerializeToString()


def read_rows(result: bytes) -> list[list[tuple[SqlValue, ...]]]:
    """Return the rows of each query in a result."""
    message = common.Result.FromString(result)
    return [
        [tuple(decode_value(value) for value in row.values) for row in part.rows]
        for part in message.sets
    ]
