"""An in-memory SQL database that also stores the ledger of request ids."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.wire import decode_value, encode_value


class StatementError(Exception):
    """A statement failed and was rolled back."""


@dataclass(frozen=True, slots=True)
class LedgerRow:
    """The ledger entry of one request id."""

    # Result of the first execution; empty for a tombstone.
    result: bytes
    tombstone: bool
    # Log index of the entry that wrote the row.
    index: int


class Database:
    """One sqlite3 database in memory.

    Statements run one at a time. A transaction is stored as a list of payloads, and all of them
    run again at commit. The commit fails if a result differs from the one returned before, which
    makes transactions serializable without locks.
    """

    def __init__(self) -> None:
        self._connection = sqlite3.connect(":memory:", isolation_level=None)
        self._connection.execute(
            "CREATE TABLE orioleplank_ledger"
            " (id TEXT PRIMARY KEY, result BLOB, tombstone INTEGER, position INTEGER)"
        )

    def close(self) -> None:
        """Close the connection and discard all data."""
        self._connection.close()

    def read(self, payload: bytes) -> bytes:
        """Run queries with writes disabled; raise `StatementError` when one fails or writes."""
        self._connection.execute("PRAGMA query_only=ON")
        try:
            return self._run_all(payload)
        except sqlite3.Error as error:
            raise StatementError(str(error)) from error
        finally:
            self._connection.execute("PRAGMA query_only=OFF")

    def dry_run(self, payloads: list[bytes]) -> list[bytes]:
        """Run payloads in a transaction that is rolled back; return their results."""
        self._connection.execute("BEGIN")
        try:
            return [self._run_all(payload) for payload in payloads]
        except sqlite3.Error as error:
            raise StatementError(str(error)) from error
        finally:
            self._connection.execute("ROLLBACK")

    def write(
        self,
        payloads: list[bytes],
        expected_results: list[bytes] | None,
        ledger_id: str,
        index: int,
    ) -> list[bytes]:
        """Run payloads and commit them together with a ledger row; return their results.

        An empty `ledger_id` writes no ledger row. `expected_results` are the results that an
        interactive transaction returned before; raise `StatementError` if the results differ
        from them. They are None outside a transaction.
        """
        self._connection.execute("BEGIN")
        try:
            results = [self._run_all(payload) for payload in payloads]
            if expected_results is not None and results != expected_results:
                raise StatementError("the transaction conflicts with another")
            if ledger_id:
                last_result = results[-1] if expected_results is None and results else b""
                self._insert_ledger(ledger_id, last_result, False, index)
        except sqlite3.Error as error:
            self._connection.execute("ROLLBACK")
            raise StatementError(str(error)) from error
        except StatementError:
            self._connection.execute("ROLLBACK")
            raise
        self._connection.execute("COMMIT")
        return results

    def write_tombstone(self, ledger_id: str, index: int) -> None:
        """Write a tombstone; the ledger must not contain the id yet."""
        self._insert_ledger(ledger_id, b"", True, index)

    def insert_outcome(self, ledger_id: str, result: bytes, index: int) -> None:
        """Write the result of a request that replication has replayed into the ledger."""
        self._insert_ledger(ledger_id, result, False, index)

    def find_ledger_row(self, ledger_id: str) -> LedgerRow | None:
        """Return the ledger row of an id, or None."""
        row = self._connection.execute(
            "SELECT result, tombstone, position FROM orioleplank_ledger WHERE id = ?", (ledger_id,)
        ).fetchone()
        return LedgerRow(row[0], bool(row[1]), row[2]) if row else None

    def _insert_ledger(self, ledger_id: str, result: bytes, tombstone: bool, index: int) -> None:
        self._connection.execute(
            "INSERT INTO orioleplank_ledger VALUES (?, ?, ?, ?)",
            (ledger_id, result, int(tombstone), index),
        )

    def _run_all(self, payload: bytes) -> bytes:
        try:
            queries = common.Queries.FromString(payload)
        except DecodeError as error:
            raise StatementError(f"the payload is malformed: {error}") from error
        sets = [self._run(query) for query in queries.queries]
        return common.Result(sets=sets).SerializeToString()

    def _run(self, query: common.Query) -> common.ResultSet:
        arguments = [decode_value(value) for value in query.args]
        cursor = self._connection.execute(query.sql, arguments)
        rows = [
            common.Row(values=[encode_value(value) for value in row]) for row in cursor.fetchall()
        ]
        return common.ResultSet(rows=rows, changed=max(0, cursor.rowcount))
