"""Sessions of callers: one request at a time, in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from orioleplank.decision.instances import Route
from orioleplank.decision.session import (
    Begin,
    ClosePrepared,
    Commit,
    ExecutableStatement,
    Execute,
    FailureCode,
    Prepare,
    Read,
    Reply,
    Rollback,
    Session,
    SessionPhase,
    SetValue,
    Statement,
    TransactionState,
    Unreadable,
    Write,
    is_write,
)
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._interfaces import CallerLink
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._outcome import Completed, Outcome, refuse
from orioleplank.gateway._statements import StatementExecutor
from orioleplank.gateway._transactions import Transaction, TransactionExecutor

# Requests of one session that wait before no more are read.
BEHIND_LIMIT = 4

_STATES = {
    SessionPhase.IDLE: TransactionState.IDLE,
    SessionPhase.IN_TRANSACTION: TransactionState.OPEN,
    SessionPhase.FAILED: TransactionState.FAILED,
}


@dataclass(frozen=True, slots=True)
class _Asked:
    """A request that waits."""

    request: str
    statement: Statement
    # Seconds of the clock of leases, and of the steady clock.
    received_at: float
    arrived_at: float


class SessionTask:
    """One caller's session; implements the gateway's `CallerSession`."""

    def __init__(
        self, number: int, link: CallerLink, database: str, parts: SessionDependencies
    ) -> None:
        self.number = number
        self._link = link
        self._parts = parts
        self._session = Session(database)
        self._waiting: deque[_Asked] = deque()
        self._transaction: Transaction | None = None
        self._transaction_route: Route | None = None
        self._used_at = parts.cluster_state.now()
        self._is_running = False
        self._has_ended = False

    @property
    def should_pause_reading(self) -> bool:
        """True while so many requests wait that no more should be read."""
        return len(self._waiting) >= BEHIND_LIMIT

    @property
    def is_idle(self) -> bool:
        """True when it is in no transaction and no request is in progress."""
        return not self._is_running and self._transaction is None

    # The caller's side.

    def submit_request(self, request: str, statement: Statement) -> None:
        """Take a request; it is answered on the session's link."""
        beliefs = self._parts.cluster_state
        asked = _Asked(request, statement, beliefs.lease_clock(), beliefs.now())
        self._waiting.append(asked)
        if not self._is_running:
            self._start(self._serve())

    def handle_disconnect(self) -> None:
        """Forget the session; what it has not committed is rolled back."""
        self._has_ended = True
        self._waiting.clear()
        self._parts.forget(self)
        if not self._is_running:
            self._start(self._abandon())

    def close(self) -> None:
        """End the caller's connection."""
        self._link.close()

    @property
    def _is_rolled_back(self) -> bool:
        """True when the transaction is gone and its caller does not know yet."""
        return self._session.phase is SessionPhase.IN_TRANSACTION and self._transaction is None

    def abort_transaction(self) -> None:
        """Roll the transaction back; its caller is told with its next request."""
        if self._transaction is not None and not self._is_running:
            self._start(self._abandon())

    def idle_in_transaction_seconds(self, now: float) -> float:
        """Return for how many seconds the caller has left a transaction alone; 0 without one."""
        if self._transaction is None or self._is_running:
            return 0.0
        return now - self._used_at

    # Work.

    def _start(self, work: Any) -> None:
        Deferred.fromCoroutine(work).addErrback(self._fail)

    def _fail(self, failure: TwistedFailure) -> None:
        self._parts.event_log.log_event(EventType.ERROR, step="serve session", detail=str(failure))
        self._is_running = False
        self._link.close()

    async def _abandon(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            await self._parts.transactions.roll_back_transaction(transaction)

    async def _serve(self) -> None:
        self._is_running = True
        while self._waiting:
            asked = self._waiting.popleft()
            reply = await self._answer(asked)
            self._used_at = self._parts.cluster_state.now()
            if self._has_ended:
                break
            state = _STATES[self._session.phase]
            self._link.reply(replace(reply, state=state))
            if not self.should_pause_reading:
                self._link.resume_reading()
        self._is_running = False
        if self._has_ended:
            await self._abandon()
        else:
            self._parts.on_rest(self)

    async def _answer(self, asked: _Asked) -> Reply:
        phase = self._session.phase
        match asked.statement:
            case Rollback():
                return await self._roll_back()
            case Commit():
                return await self._commit(asked)
            case Unreadable(detail):
                return self._refuse(asked, refuse(FailureCode.MALFORMED, "read request", detail))
            case _ if phase is SessionPhase.FAILED:
                detail = "the transaction failed; only its end is accepted"
                return self._refuse(asked, refuse(FailureCode.MALFORMED, "check session", detail))
            case Begin(read_only):
                return self._begin(asked, read_only)
            case Read() | Write() | Execute() if self._is_rolled_back:
                self._session = self._session.with_phase(SessionPhase.FAILED)
                detail = "the transaction rested for too long, or the proxy is stopping"
                return self._refuse(
                    asked, refuse(FailureCode.ABORTED, "run in transaction", detail)
                )
            case SetValue(name, value):
                self._session = self._session.set_value(name, value)
                return Reply()
            case Prepare(name, shape):
                self._session = self._session.prepare(name, shape)
                return Reply()
            case ClosePrepared(name):
                self._session = self._session.close_prepared(name)
                return Reply()
            case Read() | Write() | Execute() as statement:
                return await self._run(asked, statement)

    def _begin(self, asked: _Asked, read_only: bool) -> Reply:
        if self._session.phase is not SessionPhase.IDLE:
            self._session = self._session.with_phase(SessionPhase.FAILED)
            detail = "a transaction is open already"
            return self._refuse(asked, refuse(FailureCode.MALFORMED, "begin", detail))
        route = self._parts.cluster_state.route(self._session.database)
        if route is None:
            return self._refuse(asked, self._no_route())
        self._transaction = Transaction(read_only, asked.received_at)
        self._transaction_route = route
        self._session = self._session.with_phase(SessionPhase.IN_TRANSACTION)
        return Reply()

    async def _roll_back(self) -> Reply:
        await self._abandon()
        self._session = self._session.with_phase(SessionPhase.IDLE)
        return Reply()

    async def _commit(self, asked: _Asked) -> Reply:
        phase, transaction = self._session.phase, self._transaction
        self._transaction = None
        self._session = self._session.with_phase(SessionPhase.IDLE)
        if phase is SessionPhase.IDLE:
            detail = "no transaction is open"
            return self._refuse(asked, refuse(FailureCode.MALFORMED, "commit", detail))
        if phase is SessionPhase.FAILED or transaction is None:
            if transaction is not None:
                await self._parts.transactions.roll_back_transaction(transaction)
            detail = "the transaction failed and was rolled back"
            return self._refuse(asked, refuse(FailureCode.ABORTED, "commit", detail))
        assert self._transaction_route is not None
        request = self._describe(asked, self._transaction_route)
        outcome = await self._parts.transactions.commit(transaction, request)
        if isinstance(outcome, Completed) and transaction.has_written:
            self._session = self._session.record_commit(outcome.reply.position)
        return self._report(asked, request, outcome)

    async def _run(self, asked: _Asked, statement: Read | Write | Execute) -> Reply:
        resolved = self._session.resolve(statement)
        if resolved is None:
            if self._transaction is not None:
                self._session = self._session.with_phase(SessionPhase.FAILED)
            detail = "the session has prepared no such name"
            return self._refuse(
                asked, refuse(FailureCode.UNKNOWN_NAME, "find prepared name", detail)
            )
        if self._transaction is not None:
            return await self._run_in_transaction(asked, self._transaction, resolved)
        route = self._parts.cluster_state.route(self._session.database)
        if route is None:
            return self._refuse(asked, self._no_route())
        request = self._describe(asked, route)
        statements = self._parts.statements
        run = statements.run_write if is_write(resolved) else statements.run_read
        outcome = await run(request, resolved)
        if isinstance(outcome, Completed):
            self._note_success(request, resolved, outcome)
        return self._report(asked, request, outcome)

    def _note_success(
        self, request: Request, statement: ExecutableStatement, outcome: Completed
    ) -> None:
        session, lease = self._session, self._parts.cluster_state.lease(request.route.service)
        at_primary = lease is not None and lease.primary == outcome.instance
        old = at_primary and lease is not None and 0 < session.position.term < lease.term
        if is_write(statement) or old:
            self._session = session.record_commit(outcome.reply.position)

    async def _run_in_transaction(
        self, asked: _Asked, transaction: Transaction, statement: ExecutableStatement
    ) -> Reply:
        assert self._transaction_route is not None
        request = self._describe(asked, self._transaction_route)
        outcome, goes_on = await self._parts.transactions.run(transaction, request, statement)
        if not goes_on:
            self._transaction = None
            self._session = self._session.with_phase(SessionPhase.FAILED)
        return self._report(asked, request, outcome)

    # Replies.

    def _describe(self, asked: _Asked, route: Route) -> Request:
        deadline = asked.arrived_at + route.timeout
        return Request(
            asked.request, self._session, self.number, route, asked.received_at, deadline
        )

    def _no_route(self) -> Outcome:
        if self._parts.cluster_state.routes.version == 0:
            return refuse(FailureCode.BUSY, "find route", "no configuration is known yet")
        detail = f"no route is called {self._session.database[:60]}"
        return refuse(FailureCode.UNKNOWN_DATABASE, "find route", detail)

    def _report(self, asked: _Asked, request: Request, outcome: Outcome) -> Reply:
        elapsed = self._parts.cluster_state.now() - asked.arrived_at
        self._parts.metrics.record_statement(request, asked.statement, outcome, elapsed)
        match outcome:
            case Completed(reply):
                return reply
            case _:
                return self._refuse(asked, outcome, request)

    def _refuse(self, asked: _Asked, outcome: Outcome, request: Request | None = None) -> Reply:
        assert not isinstance(outcome, Completed)
        beliefs = self._parts.cluster_state
        service = request.route.service if request else ""
        lease = beliefs.lease(service)
        self._parts.event_log.log_request(
            id=asked.request,
            session=self.number,
            database=self._session.database[:60],
            service=service,
            statement=type(asked.statement).__name__,
            code=outcome.failure.code.value,
            step=outcome.step,
            why=outcome.failure.detail,
            instance=outcome.instance,
            elapsed=round(beliefs.now() - asked.arrived_at, 4),
            routes=beliefs.routes.version,
            primary=lease.primary if lease else None,
            term=lease.term if lease else None,
            lease_left=round(lease.expires_at - beliefs.lease_clock(), 3) if lease else None,
        )
        return Reply(failure=outcome.failure)


@dataclass(frozen=True, slots=True)
class SessionDependencies:
    """What all sessions share."""

    # What the proxy believes.
    cluster_state: ClusterState
    # Runs single statements.
    statements: StatementExecutor
    # Runs transactions.
    transactions: TransactionExecutor
    # Where lines are written.
    event_log: EventLog
    # What is counted.
    metrics: Metrics
    # Called when a session's connection has ended.
    forget: Callable[[SessionTask], None]
    # Called when a session has nothing left to answer.
    on_rest: Callable[[SessionTask], None]
