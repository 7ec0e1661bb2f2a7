"""Sessions of callers; each runs its requests one at a time, in order of arrival."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from msgspec import Struct
from msgspec.structs import replace
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

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
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._intake import Intake, LimitReason, LimitSide
from orioleplank.gateway._interfaces import CallerLink
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._outcome import (
    Completed,
    Outcome,
    Refused,
    refuse,
    refuse_by_operator,
)
from orioleplank.gateway._rate_limiter import RateLimiter
from orioleplank.gateway._statements import StatementExecutor
from orioleplank.gateway._transaction_permits import TransactionPermits, ran_nothing
from orioleplank.gateway._transactions import Transaction, TransactionExecutor

# Why a request is refused while the proxy shuts down.
SHUTDOWN_REASON = "this proxy is stopping; use another connection"
# Why a caller is refused whose key no account has.
UNKNOWN_KEY_REASON = "the key belongs to no account of the configuration"
# Number of pending requests of one session from which on reading from its caller is paused.
MAX_PENDING_REQUESTS = 4

_TRANSACTION_STATES = {
    SessionPhase.IDLE: TransactionState.IDLE,
    SessionPhase.IN_TRANSACTION: TransactionState.OPEN,
    SessionPhase.FAILED: TransactionState.FAILED,
}


class _PendingRequest(Struct, frozen=True):
    """A request that has arrived and is not answered yet."""

    request_id: str
    statement: Statement
    # Time of arrival on the lease clock, in seconds.
    received_at: float
    # The same time on the monotonic clock, in seconds.
    arrived_at: float


class SessionTask:
    """The session of one caller; implements `CallerSession`.

    Holds the session's state and its open transaction, and runs its requests in order.
    """

    def __init__(
        self,
        number: int,
        link: CallerLink,
        database: str,
        key: str,
        dependencies: SessionDependencies,
    ) -> None:
        self.number = number
        self._link = link
        # Identifies the caller; never logged or sent on.
        self._key = key
        self._dependencies = dependencies
        self._permits = TransactionPermits(dependencies.rate_limiter)
        self._session = Session(database)
        # Bytes of its values and prepared statements.
        self.kept_bytes = 0
        self._pending_requests: deque[_PendingRequest] = deque()
        # The request that is in progress.
        self._current_request: _PendingRequest | None = None
        self._transaction: Transaction | None = None
        self._transaction_route: Route | None = None
        self._last_active_at = dependencies.cluster_state.now()
        self._is_running = False
        self._has_ended = False
        # Ends the work for the request in progress when the caller leaves.
        self._cancellation = Cancellation()

    @property
    def should_pause_reading(self) -> bool:
        """True while `MAX_PENDING_REQUESTS` or more requests are pending."""
        return len(self._pending_requests) >= MAX_PENDING_REQUESTS

    @property
    def is_idle(self) -> bool:
        """True when no transaction is open and no request is in progress."""
        return not self._is_running and self._transaction is None

    # Calls from the caller's connection and from the session table.

    def submit_request(self, request_id: str, statement: Statement) -> None:
        """Queue a request; its reply is sent on the session's link."""
        cluster_state = self._dependencies.cluster_state
        pending = _PendingRequest(
            request_id, statement, cluster_state.lease_clock(), cluster_state.now()
        )
        self._pending_requests.append(pending)
        if not self._is_running:
            self._spawn(self._process_requests())

    def handle_disconnect(self) -> None:
        """Remove the session, end its request in progress and roll back its open transaction."""
        self._has_ended = True
        self._pending_requests.clear()
        self._dependencies.on_disconnected(self)
        if self._dependencies.cluster_state.mechanisms.is_on(Mechanism.CANCELLATION):
            self._cancellation.cancel()
        if not self._is_running:
            self._spawn(self._roll_back_open_transaction())

    def close(self) -> None:
        """Close the connection to the caller."""
        self._link.close()

    def end(self) -> None:
        """Answer all unanswered requests at once, and close the connection to the caller.

        The one in progress may have run; the others have not.
        """
        current, self._has_ended = self._current_request, True
        if current is not None:
            self._link.reply(
                self._refuse(current, refuse(FailureCode.IN_DOUBT, "shut down", SHUTDOWN_REASON))
            )
        while self._pending_requests:
            refusal = refuse(FailureCode.BUSY, "shut down", SHUTDOWN_REASON)
            self._link.reply(self._refuse(self._pending_requests.popleft(), refusal))
        self._link.close()

    @property
    def _was_rolled_back(self) -> bool:
        """True when the transaction was rolled back and the caller has not been informed yet."""
        return self._session.phase is SessionPhase.IN_TRANSACTION and self._transaction is None

    def abort_transaction(self) -> None:
        """Roll back the transaction unless a request is in progress.

        The caller is informed in the reply to its next request.
        """
        if self._transaction is not None and not self._is_running:
            self._spawn(self._roll_back_open_transaction())

    def idle_in_transaction_seconds(self, now: float) -> float:
        """Return for how many seconds the open transaction has been idle.

        0 without a transaction and while a request is in progress.
        """
        if self._transaction is None or self._is_running:
            return 0.0
        return now - self._last_active_at

    # Request processing.

    def _spawn(self, coroutine: Any) -> None:
        Deferred.fromCoroutine(coroutine).addErrback(self._handle_internal_error)

    def _handle_internal_error(self, failure: TwistedFailure) -> None:
        self._dependencies.event_log.log_event(
            EventType.ERROR, step="serve session", detail=str(failure)
        )
        self._is_running = False
        self._link.close()

    async def _roll_back_open_transaction(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            self._permits.give_back(transaction)
            await self._dependencies.transactions.roll_back_transaction(transaction)

    async def _process_requests(self) -> None:
        self._is_running = True
        while self._pending_requests:
            pending = self._current_request = self._pending_requests.popleft()
            reply = await self._handle_request(pending)
            self._current_request = None
            self._last_active_at = self._dependencies.cluster_state.now()
            if self._has_ended:
                break
            state = _TRANSACTION_STATES[self._session.phase]
            self._link.reply(replace(reply, state=state))
            # The rows are not kept while the next request runs.
            del reply
            if not self.should_pause_reading:
                self._link.resume_reading()
        self._is_running = False
        if self._has_ended:
            await self._roll_back_open_transaction()
        else:
            self._dependencies.on_idle(self)

    async def _handle_request(self, pending: _PendingRequest) -> Reply:
        phase = self._session.phase
        match pending.statement:
            case Rollback():
                return await self._roll_back()
            case Commit():
                return await self._commit(pending)
            case Unreadable(detail):
                return self._refuse(pending, refuse(FailureCode.MALFORMED, "read request", detail))
            case _ if phase is SessionPhase.FAILED:
                detail = "the transaction failed; only its end is accepted"
                return self._refuse(pending, refuse(FailureCode.MALFORMED, "check session", detail))
            case Begin(read_only):
                return await self._begin(pending, read_only)
            case Read() | Write() | Execute() if self._was_rolled_back:
                self._session = self._session.with_phase(SessionPhase.FAILED)
                detail = "the transaction rested for too long, or the proxy is stopping"
                return self._refuse(
                    pending, refuse(FailureCode.ABORTED, "run in transaction", detail)
                )
            case SetValue() | Prepare() if excess := self._find_excess(pending.statement):
                return self._refuse(pending, refuse(FailureCode.TOO_LARGE, "keep", excess))
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
            intake.report(LimitSide.CALLER, LimitReason.SESSION, session=self.number)
        return excess

    def _keep(self, session: Session) -> None:
        """Replace the session by one with other values or prepared statements."""
        self._session = session
        self.kept_bytes = measure_session(session).byte_count

    async def _begin(self, pending: _PendingRequest, read_only: bool) -> Reply:
        if self._session.phase is not SessionPhase.IDLE:
            self._session = self._session.with_phase(SessionPhase.FAILED)
            detail = "a transaction is open already"
            return self._refuse(pending, refuse(FailureCode.MALFORMED, "begin", detail))
        cluster_state = self._dependencies.cluster_state
        route = cluster_state.route(self._session.database)
        if route is None:
            return self._refuse(pending, self._route_refusal())
        account = cluster_state.identify(self._key, route)
        if account is None:
            return self._refuse(pending, _refuse_key("begin"))
        if not cluster_state.accepts_transaction():
            return self._refuse(pending, refuse(FailureCode.BUSY, "begin", SHUTDOWN_REASON))
        permit = await self._dependencies.rate_limiter.admit(account)
        if isinstance(permit, Refused):
            return self._build_reply(pending, self._build_request(pending, route, account), permit)
        self._transaction = Transaction(read_only, pending.received_at, account, permit=permit)
        self._transaction_route = route
        self._session = self._session.with_phase(SessionPhase.IN_TRANSACTION)
        return Reply()

    async def _roll_back(self) -> Reply:
        await self._roll_back_open_transaction()
        self._session = self._session.with_phase(SessionPhase.IDLE)
        return Reply()

    async def _commit(self, pending: _PendingRequest) -> Reply:
        phase, transaction = self._session.phase, self._transaction
        self._transaction = None
        self._session = self._session.with_phase(SessionPhase.IDLE)
        if phase is SessionPhase.IDLE:
            detail = "no transaction is open"
            return self._refuse(pending, refuse(FailureCode.MALFORMED, "commit", detail))
        if phase is SessionPhase.FAILED or transaction is None:
            if transaction is not None:
                self._permits.give_back(transaction)
                await self._dependencies.transactions.roll_back_transaction(transaction)
            detail = "the transaction failed and was rolled back"
            return self._refuse(pending, refuse(FailureCode.ABORTED, "commit", detail))
        assert self._transaction_route is not None
        if not self._is_account_unchanged(transaction):
            self._permits.give_back(transaction)
            await self._dependencies.transactions.roll_back_transaction(transaction)
            return self._refuse(pending, _refuse_withdrawn_key("commit"))
        request = self._build_request(pending, self._transaction_route, transaction.account)
        refusal = await self._permits.renew(transaction)
        if refusal is not None:
            await self._dependencies.transactions.roll_back_transaction(transaction)
            return self._build_reply(pending, request, refusal)
        outcome = await self._dependencies.transactions.commit(transaction, request)
        self._permits.settle(transaction, outcome, remains_open=False)
        if isinstance(outcome, Completed) and transaction.has_written:
            self._session = self._session.record_commit(outcome.reply.position)
        return self._build_reply(pending, request, outcome)

    async def _run_statement(
        self, pending: _PendingRequest, statement: Read | Write | Execute
    ) -> Reply:
        resolved = self._session.resolve(statement)
        if resolved is None:
            if self._transaction is not None:
                self._session = self._session.with_phase(SessionPhase.FAILED)
            detail = "the session has prepared no such name"
            return self._refuse(
                pending, refuse(FailureCode.UNKNOWN_NAME, "find prepared name", detail)
            )
        if self._transaction is not None:
            return await self._run_in_transaction(pending, self._transaction, resolved)
        cluster_state = self._dependencies.cluster_state
        route = cluster_state.route(self._session.database)
        if route is None:
            return self._refuse(pending, self._route_refusal())
        account = cluster_state.identify(self._key, route)
        if account is None:
            return self._refuse(pending, _refuse_key("admit"))
        if not cluster_state.accepts_request(route.timeout):
            return self._refuse(pending, refuse(FailureCode.BUSY, "admit", SHUTDOWN_REASON))
        rate_limiter = self._dependencies.rate_limiter
        permit = await rate_limiter.admit(account)
        if self._has_ended and not isinstance(permit, Refused):
            rate_limiter.give_back(permit)
            return Reply()
        request = self._build_request(pending, route, account)
        if isinstance(permit, Refused):
            return self._build_reply(pending, request, permit)
        statements = self._dependencies.statements
        run = statements.run_write if is_write(resolved) else statements.run_read
        outcome = await run(request, resolved)
        if ran_nothing(outcome):
            rate_limiter.give_back(permit)
        if isinstance(outcome, Completed):
            self._record_success(request, resolved, outcome)
        return self._build_reply(pending, request, outcome)

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
        self, pending: _PendingRequest, transaction: Transaction, statement: ExecutableStatement
    ) -> Reply:
        assert self._transaction_route is not None
        if not self._is_account_unchanged(transaction):
            await self._roll_back_open_transaction()
            self._session = self._session.with_phase(SessionPhase.FAILED)
            return self._refuse(pending, _refuse_withdrawn_key("run in transaction"))
        request = self._build_request(pending, self._transaction_route, transaction.account)
        refusal = await self._permits.renew(transaction)
        if refusal is not None:
            await self._roll_back_open_transaction()
            self._session = self._session.with_phase(SessionPhase.FAILED)
            return self._build_reply(pending, request, refusal)
        outcome, remains_open = await self._dependencies.transactions.run(
            transaction, request, statement
        )
        self._permits.settle(transaction, outcome, remains_open)
        if not remains_open:
            self._transaction = None
            self._session = self._session.with_phase(SessionPhase.FAILED)
        return self._build_reply(pending, request, outcome)

    def _is_account_unchanged(self, transaction: Transaction) -> bool:
        """Return whether the caller's key still belongs to the account that began it."""
        assert self._transaction_route is not None
        account = self._dependencies.cluster_state.identify(self._key, self._transaction_route)
        return account is not None and account.name == transaction.account.name

    # Replies.

    def _build_request(
        self, pending: _PendingRequest, route: Route, account: ClientAccount
    ) -> Request:
        return Request(
            pending.request_id,
            self._session,
            self.number,
            route,
            account,
            pending.received_at,
            pending.arrived_at + route.timeout,
            self._cancellation,
        )

    def _route_refusal(self) -> Outcome:
        if self._dependencies.cluster_state.routes.version == 0:
            return refuse(FailureCode.BUSY, "find route", "no configuration is known yet")
        detail = f"no route is called {self._session.database[:60]}"
        return refuse(FailureCode.UNKNOWN_DATABASE, "find route", detail)

    def _build_reply(self, pending: _PendingRequest, request: Request, outcome: Outcome) -> Reply:
        elapsed = self._dependencies.cluster_state.now() - pending.arrived_at
        self._dependencies.metrics.record_statement(request, pending.statement, outcome, elapsed)
        match outcome:
            case Completed(reply):
                return reply
            case _:
                return self._refuse(pending, outcome, request)

    def _refuse(
        self, pending: _PendingRequest, outcome: Outcome, request: Request | None = None
    ) -> Reply:
        assert not isinstance(outcome, Completed)
        cluster_state = self._dependencies.cluster_state
        service = request.route.service if request else ""
        lease = cluster_state.lease(service)
        self._dependencies.event_log.log_request(
            id=pending.request_id,
            session=self.number,
            database=self._session.database[:60],
            service=service,
            account=request.account.name if request else "",
            statement=type(pending.statement).__name__,
            code=outcome.failure.code.value,
            step=outcome.step,
            why=outcome.failure.detail,
            instance=outcome.instance,
            candidates=outcome.candidates,
            caller_left=request is not None and request.cancellation.is_cancelled,
            elapsed=round(cluster_state.now() - pending.arrived_at, 4),
            routes=cluster_state.routes.version,
            primary=lease.primary if lease else None,
            term=lease.term if lease else None,
            lease_left=round(lease.expires_at - cluster_state.lease_clock(), 3) if lease else None,
        )
        return Reply(failure=outcome.failure)


def _refuse_key(step: str) -> Refused:
    return refuse_by_operator(FailureCode.UNAUTHENTICATED, step, UNKNOWN_KEY_REASON)


def _refuse_withdrawn_key(step: str) -> Refused:
    detail = "the key was withdrawn or given to another account; the transaction was rolled back"
    return refuse_by_operator(FailureCode.ABORTED, step, detail)


class SessionDependencies(Struct, frozen=True):
    """Dependencies and callbacks that all sessions of a proxy share."""

    cluster_state: ClusterState
    # Runs statements outside transactions.
    statements: StatementExecutor
    transactions: TransactionExecutor
    event_log: EventLog
    metrics: Metrics
    # Admits operations of accounts with a rate limit.
    rate_limiter: RateLimiter
    # Called when the caller's connection has closed.
    on_disconnected: Callable[[SessionTask], None]
    # Called when a session has answered all its pending requests.
    on_idle: Callable[[SessionTask], None]
    intake: Intake
