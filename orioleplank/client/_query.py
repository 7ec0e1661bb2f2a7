"""Queries and results as plain Python values."""

from __future__ import annotations

from orioleplank._protos import orioleplank_common_pb2 as common

SqlValue = int | float | str | bytes | None


def make_query(sql: str, *args: SqlValue) -> common.Query:
    """Return a query with its positional arguments."""
    return common.Query(sql=sql, args=[_write_value(value) for value in args])


def make_payload(*queries: common.Query) -> bytes:
    """Return the payload of a request that runs `queries` atomically."""
    return common.Queries(queries=queries).SerializeToString()


def read_rows(result: bytes) -> list[list[tuple[SqlValue, ...]]]:
    """Return the rows of each query in a result."""
    message = common.Result.FromString(result)
    return [
        [tuple(_read_value(value) for value in row.values) for row in part.rows]
        for part in message.sets
    ]


def _write_value(value: SqlValue) -> common.Value:
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


def _read_value(value: common.Value) -> SqlValue:
    match value.WhichOneof("value"):
        case "integer":
            return value.integer
        case "real":
            return value.real
        case "text":
            return value.text
        case "blob":
            return value.blob
        case _:
            return None
