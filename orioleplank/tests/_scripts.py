"""Caller scripts: writes with read-back, transactions, reads (current, with a maximum age)."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import replace

from orioleplank.client import make_payload, make_query, read_rows
from orioleplank.decision.quorum import EMPTY_TOKEN, CurrentFreshness, MaxAgeFreshness, Operation
from orioleplank.tests._clients import Client, RequestResult, Script, ScriptRequest, WriteRecord

THINK_TIME_S = 0.06
SLOW_THINK_TIME_S = 0.3
MAX_ATTEMPTS = 3
MAX_AGE_S = 1.0


def write_and_read(client: Client, think_time: float = THINK_TIME_S) -> Script:
    """Write rows, repeating unanswered writes under the same id, and read the rows back."""
    session = f"session-{client.new_id()}"
    session_writes: list[WriteRecord] = []
    while not client.stop_requested:
        record = WriteRecord(client.new_id(), client.cluster.simulator.now, counted=True)
        client.history.writes.append(record)
        session_writes.append(record)
        insert = make_query("INSERT INTO t VALUES (?, ?, 0)", record.id, session)
        request = ScriptRequest(record.id, "save", make_payload(insert), write=True)
        yield from _resolve_write(client, request, record)
        yield think_time
        yield from _read_own_writes(client, session, session_writes)


def _resolve_write(
    client: Client, request: ScriptRequest, record: WriteRecord
) -> Generator[ScriptRequest | float, RequestResult, None]:
    """Send a write until it is acknowledged or reported as not run, then query its outcome.

    Each of the two is attempted at most MAX_ATTEMPTS times.
    """
    for _ in range(MAX_ATTEMPTS):
        result = yield request
        if _record_result(record, result):
            return
        request = replace(request, sent_before=True)
        yield THINK_TIME_S
    for _ in range(MAX_ATTEMPTS):
        result = yield ScriptRequest(
            request.id, "save", b"", write=True, operation=Operation.OUTCOME
        )
        if _record_result(record, result):
            return
        yield THINK_TIME_S


def _record_result(record: WriteRecord, result: RequestResult) -> bool:
    if result.answer is not None:
        record.acknowledged_at = result.replied_at
        return True
    record.reported_not_run = result.reported_not_run and record.acknowledged_at is None
    return record.reported_not_run


def _read_own_writes(client: Client, session: str, session_writes: list[WriteRecord]) -> Script:
    marker = client.new_id()
    select = make_query(
        "SELECT ?, count(*), count(DISTINCT id) FROM t WHERE s = ?", marker, session
    )
    expected = sum(write.acknowledged_at is not None for write in session_writes)
    upper_bound = sum(not write.reported_not_run for write in session_writes)
    result = yield ScriptRequest(marker, "read", make_payload(select))
    if result.answer is None:
        return
    row = read_rows(result.answer.result)[0][0]
    if row[0] != marker:
        client.history.violations.append(f"read {marker} got the answer of {row[0]!r}")
        return
    count, distinct_count = row[1], row[2]
    assert isinstance(count, int) and isinstance(distinct_count, int)
    if distinct_count < expected:
        client.history.violations.append(
            f"read {marker} missed own writes: {distinct_count} of {expected}"
        )
    if count != distinct_count or distinct_count > upper_bound:
        client.history.violations.append(
            f"read {marker} saw duplicate writes or writes reported as not run: {row}"
        )


def read_current(client: Client) -> Script:
    """Read with current freshness and no token; every acknowledged write must be included."""
    while not client.stop_requested:
        marker = client.new_id()
        expected = client.history.count_acknowledged_before(client.cluster.simulator.now)
        client.token = EMPTY_TOKEN
        query = make_query("SELECT ?, count(*) FROM t WHERE s LIKE 'session-%'", marker)
        payload = make_payload(query)
        result = yield ScriptRequest(
            marker, "read", payload, freshness=CurrentFreshness(), any_live_proxy=True
        )
        if result.answer is not None:
            _check_count(client, marker, result, expected, "a current read")
        yield THINK_TIME_S


def read_with_max_age(client: Client) -> Script:
    """Read with a maximum age; the values written by transactions must always add up to 0."""
    highest_count = 0
    while not client.stop_requested:
        marker = client.new_id()
        query = make_query("SELECT ?, count(*) FROM t WHERE s LIKE 'session-%'", marker)
        total = make_query("SELECT coalesce(sum(v), 0), count(*) FROM t WHERE s = 'pair'")
        request = ScriptRequest(
            marker, "read", make_payload(query, total), freshness=MaxAgeFreshness(MAX_AGE_S)
        )
        result = yield request
        if result.answer is not None:
            expected = client.history.count_acknowledged_before(result.replied_at - MAX_AGE_S)
            highest_count = max(
                highest_count,
                _check_count(
                    client, marker, result, expected, "a read with a maximum age", highest_count
                ),
            )
            rows = read_rows(result.answer.result)
            if rows[1][0][0] != 0:
                client.history.violations.append(f"read {marker} saw an incomplete transaction")
        yield THINK_TIME_S


def _check_count(
    client: Client,
    marker: str,
    result: RequestResult,
    expected: int,
    read_kind: str,
    previous_count: int = 0,
) -> int:
    assert result.answer is not None
    row = read_rows(result.answer.result)[0][0]
    if row[0] != marker:
        client.history.violations.append(f"{read_kind} {marker} got the answer of {row[0]!r}")
        return previous_count
    row_count = row[1]
    assert isinstance(row_count, int)
    if row_count < expected:
        client.history.violations.append(
            f"{read_kind} {marker} saw {row_count} of {expected} expected writes"
        )
    if row_count < previous_count:
        client.history.violations.append(
            f"{read_kind} {marker} decreased from {previous_count} to {row_count}"
        )
    return row_count


def run_slow_transactions(client: Client) -> Script:
    """Run transactions with a think time before each step after the first."""
    return run_transactions(client, SLOW_THINK_TIME_S)


def run_transactions(client: Client, think_time: float = 0.0) -> Script:
    """Insert two rows whose values add up to 0 in one transaction.

    The outcome is queried if the commit is unanswered.
    """
    while not client.stop_requested:
        record = WriteRecord(client.new_id(), client.cluster.simulator.now)
        client.history.writes.append(record)
        transaction = f"t-{record.id}"
        insert = "INSERT INTO t VALUES (?, 'pair', ?)"
        steps = [
            ScriptRequest(
                client.new_id(),
                "save",
                b"",
                True,
                operation=Operation.BEGIN,
                transaction=transaction,
            )
        ]
        for value in (1, -1):
            payload = make_payload(make_query(insert, f"{record.id}/{value}", value))
            steps.append(
                ScriptRequest(
                    client.new_id(),
                    "save",
                    payload,
                    True,
                    operation=Operation.STEP,
                    transaction=transaction,
                    same_proxy=True,
                )
            )
        commit = ScriptRequest(
            record.id,
            "save",
            b"",
            True,
            operation=Operation.COMMIT,
            transaction=transaction,
            same_proxy=True,
        )
        result = RequestResult(None)
        for step in (*steps, commit):
            if think_time and step.same_proxy:
                yield think_time
            result = yield step
            if result.answer is None:
                break
        else:
            record.acknowledged_at = result.replied_at
        if result.answer is None:
            yield from _resolve_commit(client, record, result, step is commit)
        yield THINK_TIME_S


def _resolve_commit(
    client: Client, record: WriteRecord, result: RequestResult, commit_sent: bool
) -> Script:
    if not commit_sent or result.reported_not_run:
        record.reported_not_run = True
        return
    for _ in range(MAX_ATTEMPTS):
        result = yield ScriptRequest(
            record.id, "save", b"", write=True, operation=Operation.OUTCOME
        )
        if _record_result(record, result):
            return
        yield THINK_TIME_S


def run_repeatable_writes(client: Client) -> Script:
    """Send idempotent writes, once each."""
    while not client.stop_requested:
        record = WriteRecord(client.new_id(), client.cluster.simulator.now)
        client.history.writes.append(record)
        insert = make_query("INSERT OR REPLACE INTO u VALUES (?)", record.id)
        request = ScriptRequest(
            record.id, "sync", make_payload(insert), write=True, repeatable=True
        )
        result = yield request
        if result.answer is not None:
            record.acknowledged_at = result.replied_at
        yield THINK_TIME_S


def create_tables(client: Client) -> Script:
    """Create the tables that the other scripts use."""
    for statement in (
        "CREATE TABLE t (id TEXT, s TEXT, v INTEGER)",
        "CREATE TABLE u (id TEXT PRIMARY KEY)",
    ):
        payload = make_payload(make_query(statement))
        result = yield ScriptRequest(client.new_id(), "save", payload, write=True)
        if result.answer is None:
            client.history.violations.append(f"{statement} was not answered: {result.outcome}")
