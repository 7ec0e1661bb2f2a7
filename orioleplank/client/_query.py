"""Conversion of queries and results between Python values and request payloads."""

from __future__ import annotations

from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.wire import SqlValue, decode_value, encode_value


def make_query(sql: str, *args: SqlValue) -> common.Query:
    """Build a query from SQL text and its positional arguments."""
    return common.Query(sql=sql, args=[encode_value(value) for value in args])


def make_payload(*queries: common.Query) -> bytes:
    """Build the payload of a request that runs `queries` atomically."""
    return common.Queries(queries=queries).SerializeToString()


def read_rows(result: bytes) -> list[list[tuple[SqlValue, ...]]]:
    """Decode the result of a request: one list of rows for each query."""
    message = common.Result.FromString(result)
    return [
        [tuple(decode_value(value) for value in row.values) for row in result_set.rows]
        for result_set in message.sets
    ]
