"""Requests of one session: runs each, and keeps the session's state and open transaction."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.instances import Route
from orioleplank.decision.intake import find_excess, measure_session
from orioleplank.decision.mechanisms import Mechanism
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
from orioleplank.gateway._cancellation import Cancellation
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._intake import Intake, LimitReason, LimitSide
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._operation_admission import OperationAdmission
from orioleplank.gateway._outcome import Completed, Refused, refuse, refuse_by_operator
from orioleplank.gateway._rate_limiter import RateLimiter
from orioleplank.gateway._request_replies import PendingRequest, ReplyBuilder
from orioleplank.gateway._statements import StatementExecutor
from orioleplank.gateway._transaction import Transaction
from orioleplank.gateway._transaction_permits import TransactionPermits, ran_nothing
from orioleplank.gateway._transactions import TransactionExecutor

_TRANSACTION_STATES = {
    SessionPhase.IDLE: TransactionState.IDLE,
    SessionPhase.IN_TRANSACTION: TransactionState.OPEN,
    SessionPhase.FAILED: TransactionState.FAILED,
}


class SessionDependencies(Struct, frozen=True):
    """Dependencies that all sessions of a proxy share."""

    cluster_state: ClusterState
    # Runs statements outside transactions.
    statements: StatementExecutor
    transactions: TransactionExecutor
    event_log: EventLog
    metrics: Metrics
    # Admits operations of accounts with a rate limit.
    rate_limiter: RateLimiter
    intake: Intake


class RequestHandler:
    """Runs the requests of one session, one at a time.

    Holds the session's state and its open transaction.
    """

    def __init__(
        self,
        session_number: int,
        database: str,
        key: str,
        dependencies: SessionDependencies,
        replies: ReplyBuilder,
    ) -> None:
        self._session_number = session_number
        self._dependencies = dependencies
        self._replies = replies
        # True once the session needs no further replies.
        self.has_ended = False
        self._admission = OperationAdmission(database, key, dependencies.cluster_state)
        self._permits = TransactionPermits(dependencies.rate_limiter)
        self._session = Session(database)
        # Bytes of its values and prepared statements.
        self.kept_bytes = 0
        self._transaction: Transaction | None = None
        self._transaction_route: Route | None = None
        # Ends the work for the request in progress when the caller leaves.
        self._cancellation = Cancellation()

    @property
    def has_open_transaction(self) -> bool:
        """True while a transaction is open that was not rolled back."""
        return self._transaction is not None

    @property
    def transaction_state(self) -> TransactionState:
        """The state of the transaction as replies state it."""
        return _TRANSACTION_STATES[self._session.phase]

    def cancel(self) -> None:
        """End the work for the request in progress, because the caller has left."""
        if self._dependencies.cluster_state.mechanisms.is_on(Mechanism.CANCELLATION):
            self._cancellation.cancel()

    async def roll_back_open_transaction(self) -> None:
        """Roll back the open transaction, if any, without informing the caller."""
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._permits.give_back(transaction)
            await self._dependencies.transactions.roll_back_transaction(transaction)

    @property
    def _was_rolled_back(self) -> bool:
        """True when the transaction was rolled back and the caller has not been informed yet."""
        return self._session.phase is SessionPhase.IN_TRANSACTION and self._transaction is None

    async def handle(self, pending: PendingRequest) -> Reply:
        """Run a request and return its reply, which lacks the state of the transaction."""
        phase = self._session.phase
        match pending.statement:
            case Rollback():
                return await self._roll_back()
            case Commit():
                return await self._commit(pending)
            case Unreadable(detail):
                return self._replies.refuse(
                    pending, refuse(FailureCode.MALFORMED, "read request", detail)
                )
            case _ if phase is SessionPhase.FAILED:
                detail = "the transaction failed; only its end is accepted"
                return self._replies.refuse(
                    pending, refuse(FailureCode.MALFORMED, "check session", detail)
                )
            case Begin(read_only):
                return await self._begin(pending, read_only)
            case Read() | Write() | Execute() if self._was_rolled_back:
                self._session = self._session.with_phase(SessionPhase.FAILED)
                detail = "the transaction rested for too long, or the proxy is stopping"
                return self._replies.refuse(
                    pending, refuse(FailureCode.ABORTED, "run in transaction", detail)
                )
            case SetValue() | Prepare() if excess := self._find_excess(pending.statement):
                return self._replies.refuse(pending, refuse(FailureCode.TOO_LARGE, "keep", excess))
            case SetValue(name, value):
                self._keep(self._session.set_value(name, value))
                return Reply()
            case Prepare(name, prepared_statement):
                self._keep(self._session.prepare(name, prepared_statement))
                return Reply()
            case ClosePrepared(name):
                self._keep(self._session.close_prepared(name))
                return Reply()
            case Read() | Write() | Execute() as statement:
                return await self._run_statement(pending, statement)

    def _find_excess(self, statement: Statement) -> str | None:
        """Return which limit the session would exceed; None if it may keep what is sent."""
        intake = self._dependencies.intake
        excess = find_excess(self._session, statement, intake.limits)
        if excess is not None:
            intake.report(LimitSide.CALLER, LimitReason.SESSION, session=self._session_number)
        return excess

    def _keep(self, session: Session) -> None:
        """Replace the session by one with other values or prepared statements."""
        self._session = session
        self.kept_bytes = measure_session(session).byte_count

    async def _begin(self, pending: PendingRequest, read_only: bool) -> Reply:
        if self._session.phase is not SessionPhase.IDLE:
            self._session = self._session.with_phase(SessionPhase.FAILED)
            detail = "a transaction is open already"
            return self._replies.refuse(pending, refuse(FailureCode.MALFORMED, "begin", detail))
        caller = self._admission.check_transaction()
        if isinstance(caller, Refused):
            return self._replies.refuse(pending, caller)
        permit = await self._dependencies.rate_limiter.admit(caller.account, caller.route.timeout)
        if isinstance(permit, Refused):
            return self._replies.build(
                pending, self._build_request(pending, caller.route, caller.account), permit
            )
        self._transaction = Transaction(
            read_only, pending.received_at, caller.account, permit=permit
        )
        self._transaction_route = caller.route
        self._session = self._session.with_phase(SessionPhase.IN_TRANSACTION)
        return Reply()

    async def _roll_back(self) -> Reply:
        await self.roll_back_open_transaction()
        self._session = self._session.with_phase(SessionPhase.IDLE)
        return Reply()

    async def _commit(self, pending: PendingRequest) -> Reply:
        phase, transaction = self._session.phase, self._transaction
        self._transaction = None
        self._session = self._session.with_phase(SessionPhase.IDLE)
        if phase is SessionPhase.IDLE:
            detail = "no transaction is open"
            return self._replies.refuse(pending, refuse(FailureCode.MALFORMED, "commit", detail))
        if phase is SessionPhase.FAILED or transaction is None:
            if transaction is not None:
                self._permits.give_back(transaction)
                await self._dependencies.transactions.roll_back_transaction(transaction)
            detail = "the transaction failed and was rolled back"
            return self._replies.refuse(pending, refuse(FailureCode.ABORTED, "commit", detail))
        assert self._transaction_route is not None
        if not self._is_account_unchanged(transaction):
            self._permits.give_back(transaction)
            await self._dependencies.transactions.roll_back_transaction(transaction)
            return self._replies.refuse(pending, _refuse_withdrawn_key("commit"))
        request = self._build_request(pending, self._transaction_route, transaction.account)
        refusal = await self._permits.renew(transaction)
        if refusal is not None:
            await self._dependencies.transactions.roll_back_transaction(transaction)
            return self._replies.build(pending, request, refusal)
        outcome = await self._dependencies.transactions.commit(transaction, request)
        self._permits.settle(transaction, outcome, remains_open=False)
        if isinstance(outcome, Completed) and transaction.has_written:
            self._session = self._session.record_commit(outcome.reply.position)
        return self._replies.build(pending, request, outcome)

    async def _run_statement(
        self, pending: PendingRequest, statement: Read | Write | Execute
    ) -> Reply:
        resolved = self._session.resolve(statement)
        if resolved is None:
            if self._transaction is not None:
                self._session = self._session.with_phase(SessionPhase.FAILED)
            detail = "the session has prepared no such name"
            return self._replies.refuse(
                pending, refuse(FailureCode.UNKNOWN_NAME, "find prepared name", detail)
            )
        if self._transaction is not None:
            return await self._run_in_transaction(pending, self._transaction, resolved)
        caller = self._admission.check_statement()
        if isinstance(caller, Refused):
            return self._replies.refuse(pending, caller)
        rate_limiter = self._dependencies.rate_limiter
        permit = await rate_limiter.admit(caller.account, caller.route.timeout)
        if self.has_ended and not isinstance(permit, Refused):
            rate_limiter.give_back(permit)
            return Reply()
        request = self._build_request(pending, caller.route, caller.account)
        if isinstance(permit, Refused):
            return self._replies.build(pending, request, permit)
        statements = self._dependencies.statements
        run = statements.run_write if is_write(resolved) else statements.run_read
        outcome = await run(request, resolved)
        if ran_nothing(outcome):
            rate_limiter.give_back(permit)
        if isinstance(outcome, Completed):
            self._record_success(request, resolved, outcome)
        return self._replies.build(pending, request, outcome)

    def _record_success(
        self, request: Request, statement: ExecutableStatement, outcome: Completed
    ) -> None:
        session, lease = self._session, self._dependencies.cluster_state.lease(
            request.route.service
        )
        at_primary = lease is not None and lease.primary == outcome.instance
        # After a failover the session may still have a position of an earlier term. The position
        # in a reply of the new primary, also to a read, then replaces it.
        has_old_term = at_primary and lease is not None and 0 < session.position.term < lease.term
        if is_write(statement) or has_old_term:
            self._session = session.record_commit(outcome.reply.position)

    async def _run_in_transaction(
        self, pending: PendingRequest, transaction: Transaction, statement: ExecutableStatement
    ) -> Reply:
        assert self._transaction_route is not None
        if not self._is_account_unchanged(transaction):
            await self.roll_back_open_transaction()
            self._session = self._session.with_phase(SessionPhase.FAILED)
            return self._replies.refuse(pending, _refuse_withdrawn_key("run in transaction"))
        request = self._build_request(pending, self._transaction_route, transaction.account)
        refusal = await self._permits.renew(transaction)
        if refusal is not None:
            await self.roll_back_open_transaction()
            self._session = self._session.with_phase(SessionPhase.FAILED)
            return self._replies.build(pending, request, refusal)
        outcome, remains_open = await self._dependencies.transactions.run(
            transaction, request, statement
        )
        self._permits.settle(transaction, outcome, remains_open)
        if not remains_open:
            self._transaction = None
            self._session = self._session.with_phase(SessionPhase.FAILED)
        return self._replies.build(pending, request, outcome)

    def _is_account_unchanged(self, transaction: Transaction) -> bool:
        """Return whether the caller's key still belongs to the account that began it."""
        assert self._transaction_route is not None
        return self._admission.is_account_unchanged(self._transaction_route, transaction.account)

    def _build_request(
        self, pending: PendingRequest, route: Route, account: ClientAccount
    ) -> Request:
        return Request(
            pending.request_id,
            self._session,
            self._session_number,
            route,
            account,
            pending.received_at,
            pending.arrived_at + route.timeout,
            self._cancellation,
        )


def _refuse_withdrawn_key(step: str) -> Refused:
    detail = "the key was withdrawn or given to another account; the transaction was rolled back"
    return refuse_by_operator(FailureCode.ABORTED, step, detail)
