"""The callers of a working day: joiners, showrooms, officers, directors and field offices."""

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
CATALOGUE_AGE_MS = 5000
DASHBOARD_AGE_MS = 2000
RETRIES = 3
MILLISECONDS = 1000.0
THINK_S = 0.06

SCHEMA = (
    "CREATE TABLE quote (request TEXT, fitter TEXT, total INTEGER)",
    "CREATE TABLE signoff (request TEXT, officer TEXT, amount INTEGER)",
    "CREATE TABLE receipt (request TEXT PRIMARY KEY, office TEXT)",
)


@dataclass(frozen=True, slots=True)
class WorkloadOptions:
    """How long the day is and who works."""

    # Name of the service.
    service: str
    # Addresses of the proxies for callers.
    proxies: tuple[str, ...]
    # Callers of each of the five trades.
    callers: int = 4
    # Seed of the callers' choices.
    seed: int = 1


@dataclass(frozen=True, slots=True)
class _Asked:
    """A request's reply, None when the streams broke too often."""

    # The request.
    request: pb.CallerRequest
    # Its reply.
    reply: pb.CallerReply | None

    @property
    def answered(self) -> bool:
        """True when the reply is an answer."""
        return self.reply is not None and self.reply.WhichOneof("outcome") == "answer"


class Workload:
    """All callers of a day."""

    def __init__(self, options: WorkloadOptions) -> None:
        self.observations = Observations()
        self._options = options
        self._caller = Caller(options.proxies)
        self._ids = count(1)
        self._random = Random(options.seed)
        self._over = asyncio.Event()

    async def create_tables(self) -> None:
        """Create the tables."""
        for statement in SCHEMA:
            payload = make_payload(make_query(statement))
            asked = await self._ask(Session(), "save-quote", payload, write=True)
            if not asked.answered:
                raise RuntimeError(f"the tables could not be created: {asked.reply}")
        self.observations.requests.clear()

    async def run(self) -> None:
        """Let all callers work until the day is over."""
        trades: tuple[Callable[[int], Awaitable[None]], ...] = (
            self._fit,
            self._show,
            self._sign,
            self._direct,
            self._sync,
        )
        async with asyncio.TaskGroup() as group:
            for trade in trades:
                for number in range(self._options.callers):
                    group.create_task(self._repeat(trade, number))
        await self._caller.close()

    def stop(self) -> None:
        """End the day; what is in progress is finished."""
        self._over.set()

    async def _repeat(self, trade: Callable[[int], Awaitable[None]], number: int) -> None:
        while not self._over.is_set():
            await trade(number)

    async def _think(self) -> None:
        await asyncio.sleep(THINK_S * (0.5 + self._random.random()))

    # Trades.

    async def _fit(self, number: int) -> None:
        """A fitter saves Quotes and reads each back, through whichever proxy comes next."""
        session = Session()
        fitter = f"fitter-{number}-{next(self._ids)}"
        for total in range(1, 6):
            request_id = self._new_id()
            insert = "INSERT INTO quote VALUES (?, ?, ?)"
            payload = make_payload(make_query(insert, request_id, fitter, total))
            saved = await self._ask(session, "save-quote", payload, write=True, id_=request_id)
            await self._think()
            if not saved.answered:
                return
            await self._read_quote(session, fitter, total)

    async def _read_quote(self, session: Session, fitter: str, total: int) -> None:
        marker = self._new_id()
        select = "SELECT ?, max(total), count(*) FROM quote WHERE fitter = ?"
        payload = make_payload(make_query(select, marker, fitter))
        asked = await self._ask(session, "read-quote", payload, may=True)
        if not asked.answered or asked.reply is None:
            return
        rows = read_rows(asked.reply.answer.result)
        if len(rows) != 1 or len(rows[0]) != 1 or rows[0][0][0] != marker:
            self.observations.cut_answers += 1
        elif rows[0][0][1:] != (total, total):
            self.observations.stale_own_reads += 1

    async def _show(self, number: int) -> None:
        """A showroom reads the catalogue, at most five seconds old."""
        marker = self._new_id()
        select = "SELECT ?, count(*) FROM quote"
        payload = make_payload(make_query(select, marker), make_query(select, marker))
        sent_at = self._now()
        asked = await self._ask(
            Session(), "catalogue", payload, max_age_ms=CATALOGUE_AGE_MS, may=True
        )
        if asked.answered and asked.reply is not None:
            rows = read_rows(asked.reply.answer.result)
            if [part[0][0] for part in rows] != [marker, marker]:
                self.observations.cut_answers += 1
            else:
                seen = rows[0][0][1]
                assert isinstance(seen, int)
                self._check_age("save-quote", seen, sent_at - CATALOGUE_AGE_MS / MILLISECONDS)
        await self._think()

    def _check_age(self, kind: str, seen: int, at: float) -> None:
        if seen < self.observations.count_answered_before(kind, at):
            self.observations.over_age_reads += 1

    async def _sign(self, number: int) -> None:
        """An officer posts a sign-off: two lines in one transaction, which add up to nothing."""
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
            reply = await self._ask_outcome(session, commit_id)
        self._note(commit_id, "sign-off", True, sent_at, reply, False)
        await self._think()

    async def _run_steps(
        self,
        session: Session,
        stream: Stream,
        transaction: str,
        steps: list[tuple[pb.Operation, bytes, str]],
    ) -> pb.CallerReply | None:
        """Run the steps of a transaction; return the last reply, None when the stream broke."""
        reply: pb.CallerReply | None = None
        for operation, payload, step_id in steps:
            request = self._build("sign-off", payload, step_id, write=True)
            request.operation = operation
            request.transaction = transaction
            try:
                reply = await session.ask(stream, request)
            except StreamLostError:
                return None
            if reply.WhichOneof("outcome") != "answer":
                return reply
        return reply

    async def _ask_outcome(self, session: Session, request_id: str) -> pb.CallerReply | None:
        """Ask another proxy what became of a request."""
        request = self._build("sign-off", b"", request_id, write=True)
        request.operation = pb.OPERATION_OUTCOME
        for _ in range(RETRIES):
            try:
                return await session.ask(self._caller.stream(), request)
            except StreamLostError:
                await self._think()
        return None

    async def _direct(self, number: int) -> None:
        """A director's dashboard polls totals, at most two seconds old."""
        marker = self._new_id()
        select = "SELECT ?, coalesce(sum(amount), 0), count(*) FROM signoff"
        sent_at = self._now()
        asked = await self._ask(
            Session(),
            "dashboard",
            make_payload(make_query(select, marker)),
            max_age_ms=DASHBOARD_AGE_MS,
            may=True,
        )
        if asked.answered and asked.reply is not None:
            rows = read_rows(asked.reply.answer.result)
            lines = rows[0][0][2]
            assert isinstance(lines, int)
            if rows[0][0][0] != marker:
                self.observations.cut_answers += 1
            if rows[0][0][1] != 0 or lines % 2:
                self.observations.wrong_totals += 1
            self._check_age("sign-off", lines // 2, sent_at - DASHBOARD_AGE_MS / MILLISECONDS)
        await self._think()

    async def _sync(self, number: int) -> None:
        """A field office pushes a receipt; doing so twice does no harm."""
        request_id = self._new_id()
        insert = "INSERT OR REPLACE INTO receipt VALUES (?, ?)"
        payload = make_payload(make_query(insert, request_id, f"office-{number}"))
        await self._ask(Session(), "sync", payload, write=True, id_=request_id)
        await self._think()

    # Requests.

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _new_id(self) -> str:
        return f"r-{self._options.seed}-{next(self._ids)}"

    def _build(self, kind: str, payload: bytes, request_id: str, write: bool) -> pb.CallerRequest:
        return pb.CallerRequest(
            id=request_id,
            service=self._options.service,
            kind=kind,
            payload=payload,
            write=write,
            timeout_ms=TIMEOUT_MS,
        )

    async def _ask(
        self,
        session: Session,
        kind: str,
        payload: bytes,
        write: bool = False,
        id_: str = "",
        max_age_ms: int = 0,
        may: bool = False,
    ) -> _Asked:
        """Send a request; when its stream breaks, send it again under its id to another proxy."""
        request = self._build(kind, payload, id_ or self._new_id(), write)
        if max_age_ms:
            request.freshness = pb.FRESHNESS_MAX_AGE
            request.max_age_ms = max_age_ms
        sent_at = self._now()
        reply: pb.CallerReply | None = None
        for _ in range(RETRIES):
            try:
                reply = await session.ask(self._caller.stream(), request)
                break
            except StreamLostError:
                request.sent_before = True
                await self._think()
        self._note(request.id, kind, write, sent_at, reply, may)
        return _Asked(request, reply)

    def _note(
        self,
        request_id: str,
        kind: str,
        write: bool,
        sent_at: float,
        reply: pb.CallerReply | None,
        may: bool,
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
                may,
            )
        )
