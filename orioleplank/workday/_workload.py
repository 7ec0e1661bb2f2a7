"""The callers of a working day: fitters, showrooms, officers, directors and field offices."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count
from random import Random

from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank.client import (
    Caller,
    Session,
    Stream,
    StreamLostError,
    make_payload,
    make_query,
    read_rows,
)
from orioleplank.workday._observation import Observations, Outcome, RequestRecord

TIMEOUT_MS = 5000
CATALOGUE_MAX_AGE_MS = 5000
DASHBOARD_MAX_AGE_MS = 2000
MAX_ATTEMPTS = 3
MS_PER_S = 1000.0
MEAN_PAUSE_S = 0.06

SCHEMA = (
    "CREATE TABLE quote (request TEXT, fitter TEXT, total INTEGER)",
    "CREATE TABLE signoff (request TEXT, officer TEXT, amount INTEGER)",
    "CREATE TABLE receipt (request TEXT PRIMARY KEY, office TEXT)",
)


@dataclass(frozen=True, slots=True)
class WorkloadOptions:
    """The targets and the number of callers."""

    service: str
    # Addresses at which the proxies accept callers.
    proxies: tuple[str, ...]
    # Number of callers in each of the five roles.
    callers: int = 4
    # Seed of the pauses, and part of each request id.
    seed: int = 1


@dataclass(frozen=True, slots=True)
class _RequestResult:
    """A request and its reply."""

    request: pb.CallerRequest
    # None when the stream broke at every attempt.
    reply: pb.CallerReply | None

    @property
    def is_answered(self) -> bool:
        """True when the reply is an answer, not a refusal."""
        return self.reply is not None and self.reply.WhichOneof("outcome") == "answer"


class Workload:
    """Runs all callers and records what they observe."""

    def __init__(self, options: WorkloadOptions) -> None:
        self.observations = Observations()
        self._options = options
        self._caller = Caller(options.proxies)
        self._ids = count(1)
        self._random = Random(options.seed)
        self._is_stopped = asyncio.Event()

    async def create_tables(self) -> None:
        """Create the tables of the callers; raise `RuntimeError` when one cannot be created."""
        for statement in SCHEMA:
            payload = make_payload(make_query(statement))
            request_result = await self._send_request(Session(), "save-quote", payload, write=True)
            if not request_result.is_answered:
                raise RuntimeError(f"the tables could not be created: {request_result.reply}")
        self.observations.requests.clear()

    async def run(self) -> None:
        """Run all callers until `stop` is called."""
        actions: tuple[Callable[[int], Awaitable[None]], ...] = (
            self._save_quotes,
            self._read_catalogue,
            self._sign_off,
            self._read_dashboard,
            self._send_receipt,
        )
        async with asyncio.TaskGroup() as group:
            for action in actions:
                for number in range(self._options.callers):
                    group.create_task(self._repeat(action, number))
        await self._caller.close()

    def stop(self) -> None:
        """Stop the callers; actions in progress are finished."""
        self._is_stopped.set()

    async def _repeat(self, action: Callable[[int], Awaitable[None]], number: int) -> None:
        while not self._is_stopped.is_set():
            await action(number)

    async def _pause(self) -> None:
        await asyncio.sleep(MEAN_PAUSE_S * (0.5 + self._random.random()))

    # Actions of each role.

    async def _save_quotes(self, number: int) -> None:
        """A fitter saves quotes and reads each one back in the same session, at any proxy."""
        session = Session()
        fitter = f"fitter-{number}-{next(self._ids)}"
        for total in range(1, 6):
            request_id = self._new_id()
            insert = "INSERT INTO quote VALUES (?, ?, ?)"
            payload = make_payload(make_query(insert, request_id, fitter, total))
            save_result = await self._send_request(
                session, "save-quote", payload, write=True, request_id=request_id
            )
            await self._pause()
            if not save_result.is_answered:
                return
            await self._read_quote(session, fitter, total)

    async def _read_quote(self, session: Session, fitter: str, total: int) -> None:
        marker = self._new_id()
        select = "SELECT ?, max(total), count(*) FROM quote WHERE fitter = ?"
        payload = make_payload(make_query(select, marker, fitter))
        request_result = await self._send_request(
            session, "read-quote", payload, replica_may_serve=True
        )
        if not request_result.is_answered or request_result.reply is None:
            return
        rows = read_rows(request_result.reply.answer.result)
        if len(rows) != 1 or len(rows[0]) != 1 or rows[0][0][0] != marker:
            self.observations.cut_answers += 1
        elif rows[0][0][1:] != (total, total):
            self.observations.stale_own_reads += 1

    async def _read_catalogue(self, number: int) -> None:
        """A showroom reads the catalogue with a maximum age of five seconds."""
        marker = self._new_id()
        select = "SELECT ?, count(*) FROM quote"
        payload = make_payload(make_query(select, marker), make_query(select, marker))
        sent_at = self._now()
        request_result = await self._send_request(
            Session(), "catalogue", payload, max_age_ms=CATALOGUE_MAX_AGE_MS, replica_may_serve=True
        )
        if request_result.is_answered and request_result.reply is not None:
            rows = read_rows(request_result.reply.answer.result)
            if [part[0][0] for part in rows] != [marker, marker]:
                self.observations.cut_answers += 1
            else:
                row_count = rows[0][0][1]
                assert isinstance(row_count, int)
                self._check_max_age(
                    "save-quote", row_count, sent_at - CATALOGUE_MAX_AGE_MS / MS_PER_S
                )
        await self._pause()

    def _check_max_age(self, kind: str, row_count: int, cutoff: float) -> None:
        if row_count < self.observations.count_answered_before(kind, cutoff):
            self.observations.over_age_reads += 1

    async def _sign_off(self, number: int) -> None:
        """An officer signs off: one transaction inserts two rows whose amounts add up to zero."""
        session, stream = Session(), self._caller.stream()
        commit_id = self._new_id()
        transaction = f"t-{commit_id}"
        sent_at = self._now()
        insert = "INSERT INTO signoff VALUES (?, ?, ?)"
        steps: list[tuple[pb.Operation, bytes, str]] = [(pb.OPERATION_BEGIN, b"", self._new_id())]
        for amount in (number + 1, -number - 1):
            query = make_query(insert, commit_id, f"officer-{number}", amount)
            steps.append((pb.OPERATION_STEP, make_payload(query), self._new_id()))
        steps.append((pb.OPERATION_COMMIT, b"", commit_id))
        with stream.held():
            reply = await self._run_steps(session, stream, transaction, steps)
        if reply is None:
            reply = await self._query_outcome(session, commit_id)
        self._record_request(commit_id, "sign-off", True, sent_at, reply, False)
        await self._pause()

    async def _run_steps(
        self,
        session: Session,
        stream: Stream,
        transaction: str,
        steps: list[tuple[pb.Operation, bytes, str]],
    ) -> pb.CallerReply | None:
        """Run the steps of a transaction; return the last reply, or None when the stream broke."""
        reply: pb.CallerReply | None = None
        for operation, payload, step_id in steps:
            request = self._build_request("sign-off", payload, step_id, write=True)
            request.operation = operation
            request.transaction = transaction
            try:
                reply = await session.ask(stream, request)
            except StreamLostError:
                return None
            if reply.WhichOneof("outcome") != "answer":
                return reply
        return reply

    async def _query_outcome(self, session: Session, request_id: str) -> pb.CallerReply | None:
        """Query the outcome of a request at another proxy; None when every attempt fails."""
        request = self._build_request("sign-off", b"", request_id, write=True)
        request.operation = pb.OPERATION_OUTCOME
        for _ in range(MAX_ATTEMPTS):
            try:
                return await session.ask(self._caller.stream(), request)
            except StreamLostError:
                await self._pause()
        return None

    async def _read_dashboard(self, number: int) -> None:
        """A director's dashboard reads totals with a maximum age of two seconds."""
        marker = self._new_id()
        select = "SELECT ?, coalesce(sum(amount), 0), count(*) FROM signoff"
        sent_at = self._now()
        request_result = await self._send_request(
            Session(),
            "dashboard",
            make_payload(make_query(select, marker)),
            max_age_ms=DASHBOARD_MAX_AGE_MS,
            replica_may_serve=True,
        )
        if request_result.is_answered and request_result.reply is not None:
            rows = read_rows(request_result.reply.answer.result)
            row_count = rows[0][0][2]
            assert isinstance(row_count, int)
            if rows[0][0][0] != marker:
                self.observations.cut_answers += 1
            if rows[0][0][1] != 0 or row_count % 2:
                self.observations.wrong_totals += 1
            self._check_max_age(
                "sign-off", row_count // 2, sent_at - DASHBOARD_MAX_AGE_MS / MS_PER_S
            )
        await self._pause()

    async def _send_receipt(self, number: int) -> None:
        """A field office sends a receipt; the statement is idempotent."""
        request_id = self._new_id()
        insert = "INSERT OR REPLACE INTO receipt VALUES (?, ?)"
        payload = make_payload(make_query(insert, request_id, f"office-{number}"))
        await self._send_request(Session(), "sync", payload, write=True, request_id=request_id)
        await self._pause()

    # Requests.

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _new_id(self) -> str:
        return f"r-{self._options.seed}-{next(self._ids)}"

    def _build_request(
        self, kind: str, payload: bytes, request_id: str, write: bool
    ) -> pb.CallerRequest:
        return pb.CallerRequest(
            id=request_id,
            service=self._options.service,
            kind=kind,
            payload=payload,
            write=write,
            timeout_ms=TIMEOUT_MS,
        )

    async def _send_request(
        self,
        session: Session,
        kind: str,
        payload: bytes,
        write: bool = False,
        request_id: str = "",
        max_age_ms: int = 0,
        replica_may_serve: bool = False,
    ) -> _RequestResult:
        """Send a request; when its stream breaks, resend it with the same id to another proxy."""
        request = self._build_request(kind, payload, request_id or self._new_id(), write)
        if max_age_ms:
            request.freshness = pb.FRESHNESS_MAX_AGE
            request.max_age_ms = max_age_ms
        sent_at = self._now()
        reply: pb.CallerReply | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                reply = await session.ask(self._caller.stream(), request)
                break
            except StreamLostError:
                request.sent_before = True
                await self._pause()
        self._record_request(request.id, kind, write, sent_at, reply, replica_may_serve)
        return _RequestResult(request, reply)

    def _record_request(
        self,
        request_id: str,
        kind: str,
        write: bool,
        sent_at: float,
        reply: pb.CallerReply | None,
        replica_may_serve: bool,
    ) -> None:
        outcome, reason, person, by_replica = Outcome.UNKNOWN, "stream-lost", "", False
        match reply.WhichOneof("outcome") if reply is not None else None:
            case "answer":
                assert reply is not None
                outcome, reason = Outcome.ANSWERED, ""
                by_replica = reply.answer.by_replica
            case "refusal":
                assert reply is not None
                ran = reply.refusal.did_run != pb.DID_RUN_NO
                outcome = Outcome.UNKNOWN if ran else Outcome.REFUSED
                reason, person = reply.refusal.reason, reply.refusal.person
        self.observations.requests.append(
            RequestRecord(
                request_id,
                kind,
                write,
                sent_at,
                self._now(),
                outcome,
                reason,
                person,
                by_replica,
                replica_may_serve,
            )
        )
