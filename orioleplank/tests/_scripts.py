"""What callers do: write and read back, run transactions, read current and aged data."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import replace

from orioleplank.client import make_payload, make_query, read_rows
from orioleplank.decision.quorum import EMPTY_TOKEN, CurrentFreshness, MaxAgeFreshness, Operation
from orioleplank.tests._clients import Client, RequestResult, Script, ScriptRequest, WriteRecord

THINK_S = 0.06
SLOW_THINK_S = 0.3
REPEATS = 3
AGE_S = 1.0


def write_and_read(client: Client, pace: float = THINK_S) -> Script:
    """Write, repeat under the same id when cut, and read the session's own writes back."""
    session = f"session-{client.new_id()}"
    mine: list[WriteRecord] = []
    while not client.stop_requested:
        written = WriteRecord(client.new_id(), client.cluster.simulator.now, counted=True)
        client.history.writes.append(written)
        mine.append(written)
        insert = make_query("INSERT INTO t VALUES (?, ?, 0)", written.id, session)
        ask = ScriptRequest(written.id, "save", make_payload(insert), write=True)
        yield from _settle(client, ask, written)
        yield pace
        yield from _read_own(client, session, mine)


def _settle(
    client: Client, ask: ScriptRequest, written: WriteRecord
) -> Generator[ScriptRequest | float, RequestResult, None]:
    """Send a write until it is acknowledged or denied, then ask for its outcome."""
    for _ in range(REPEATS):
        told = yield ask
        if _note(written, told):
            return
        ask = replace(ask, sent_before=True)
        yield THINK_S
    for _ in range(REPEATS):
        told = yield ScriptRequest(ask.id, "save", b"", write=True, operation=Operation.OUTCOME)
        if _note(written, told):
            return
        yield THINK_S


def _note(written: WriteRecord, told: RequestResult) -> bool:
    if told.answer is not None:
        written.acknowledged_at = told.replied_at
        return True
    written.reported_not_run = told.reported_not_run and written.acknowledged_at is None
    return written.reported_not_run


def _read_own(client: Client, session: str, mine: list[WriteRecord]) -> Script:
    marker = client.new_id()
    select = make_query(
        "SELECT ?, count(*), count(DISTINCT id) FROM t WHERE s = ?", marker, session
    )
    due = sum(write.acknowledged_at is not None for write in mine)
    most = sum(not write.reported_not_run for write in mine)
    told = yield ScriptRequest(marker, "read", make_payload(select))
    if told.answer is None:
        return
    row = read_rows(told.answer.result)[0][0]
    if row[0] != marker:
        client.history.violations.append(f"read {marker} got the answer of {row[0]!r}")
        return
    seen, distinct = row[1], row[2]
    assert isinstance(seen, int) and isinstance(distinct, int)
    if distinct < due:
        client.history.violations.append(f"read {marker} missed own writes: {distinct} of {due}")
    if seen != distinct or distinct > most:
        client.history.violations.append(f"read {marker} saw doubled or denied writes: {row}")


def read_current(client: Client) -> Script:
    """Read without a token: every acknowledged write has to be there."""
    while not client.stop_requested:
        marker = client.new_id()
        due = client.history.count_acknowledged_before(client.cluster.simulator.now)
        client.token = EMPTY_TOKEN
        query = make_query("SELECT ?, count(*) FROM t WHERE s LIKE 'session-%'", marker)
        payload = make_payload(query)
        told = yield ScriptRequest(
            marker, "read", payload, freshness=CurrentFreshness(), any_live_proxy=True
        )
        if told.answer is not None:
            _check_count(client, marker, told, due, "a current read")
        yield THINK_S


def read_with_max_age(client: Client) -> Script:
    """Poll data that may be a second old, and whose total is always nought."""
    seen_before = 0
    while not client.stop_requested:
        marker = client.new_id()
        query = make_query("SELECT ?, count(*) FROM t WHERE s LIKE 'session-%'", marker)
        total = make_query("SELECT coalesce(sum(v), 0), count(*) FROM t WHERE s = 'pair'")
        ask = ScriptRequest(
            marker, "read", make_payload(query, total), freshness=MaxAgeFreshness(AGE_S)
        )
        told = yield ask
        if told.answer is not None:
            due = client.history.count_acknowledged_before(told.replied_at - AGE_S)
            seen_before = max(
                seen_before, _check_count(client, marker, told, due, "an aged read", seen_before)
            )
            rows = read_rows(told.answer.result)
            if rows[1][0][0] != 0:
                client.history.violations.append(f"read {marker} saw half a transaction")
        yield THINK_S


def _check_count(
    client: Client, marker: str, told: RequestResult, due: int, what: str, before: int = 0
) -> int:
    assert told.answer is not None
    row = read_rows(told.answer.result)[0][0]
    if row[0] != marker:
        client.history.violations.append(f"{what} {marker} got the answer of {row[0]!r}")
        return before
    count_ = row[1]
    assert isinstance(count_, int)
    if count_ < due:
        client.history.violations.append(f"{what} {marker} saw {count_} of {due} writes due")
    if count_ < before:
        client.history.violations.append(f"{what} {marker} went back from {before} to {count_}")
    return count_


def run_slow_transactions(client: Client) -> Script:
    """Run transactions whose caller thinks between the steps."""
    return run_transactions(client, SLOW_THINK_S)


def run_transactions(client: Client, pace: float = 0.0) -> Script:
    """Insert two lines that add up to nought in one transaction; ask for the outcome when cut."""
    while not client.stop_requested:
        written = WriteRecord(client.new_id(), client.cluster.simulator.now)
        client.history.writes.append(written)
        name = f"t-{written.id}"
        insert = "INSERT INTO t VALUES (?, 'pair', ?)"
        steps = [
            ScriptRequest(
                client.new_id(), "save", b"", True, operation=Operation.BEGIN, transaction=name
            )
        ]
        for value in (1, -1):
            payload = make_payload(make_query(insert, f"{written.id}/{value}", value))
            steps.append(
                ScriptRequest(
                    client.new_id(),
                    "save",
                    payload,
                    True,
                    operation=Operation.STEP,
                    transaction=name,
                    same_proxy=True,
                )
            )
        commit = ScriptRequest(
            written.id,
            "save",
            b"",
            True,
            operation=Operation.COMMIT,
            transaction=name,
            same_proxy=True,
        )
        told = RequestResult(None)
        for step in (*steps, commit):
            if pace and step.same_proxy:
                yield pace
            told = yield step
            if told.answer is None:
                break
        else:
            written.acknowledged_at = told.replied_at
        if told.answer is None:
            yield from _settle_commit(client, written, told, step is commit)
        yield THINK_S


def _settle_commit(client: Client, written: WriteRecord, told: RequestResult, sent: bool) -> Script:
    if not sent or told.reported_not_run:
        written.reported_not_run = True
        return
    for _ in range(REPEATS):
        told = yield ScriptRequest(written.id, "save", b"", write=True, operation=Operation.OUTCOME)
        if _note(written, told):
            return
        yield THINK_S


def run_repeatable_writes(client: Client) -> Script:
    """Push receipts, which may be run twice."""
    while not client.stop_requested:
        written = WriteRecord(client.new_id(), client.cluster.simulator.now)
        client.history.writes.append(written)
        insert = make_query("INSERT OR REPLACE INTO u VALUES (?)", written.id)
        ask = ScriptRequest(written.id, "sync", make_payload(insert), write=True, repeatable=True)
        told = yield ask
        if told.answer is not None:
            written.acknowledged_at = told.replied_at
        yield THINK_S


def create_tables(client: Client) -> Script:
    """Create the tables of the other scripts."""
    for statement in (
        "CREATE TABLE t (id TEXT, s TEXT, v INTEGER)",
        "CREATE TABLE u (id TEXT PRIMARY KEY)",
    ):
        payload = make_payload(make_query(statement))
        told = yield ScriptRequest(client.new_id(), "save", payload, write=True)
        if told.answer is None:
            client.history.violations.append(f"{statement} was not answered: {told.outcome}")
