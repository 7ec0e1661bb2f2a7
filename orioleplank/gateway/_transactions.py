"""Runs transactions; each holds one connection from its first statement until it ends."""

from __future__ import annotations

from msgspec.structs import replace

from orioleplank.decision.group import Lease
from orioleplank.decision.routing import NoInstanceAvailable
from orioleplank.decision.session import (
    NOT_EXECUTED_CODES,
    ExecutableStatement,
    FailureCode,
    Reply,
    TransactionState,
    is_write,
)
from orioleplank.gateway._avoided_instances import AvoidedInstances
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._instance_executor import NO_REPLY_ERRORS, Request
from orioleplank.gateway._interfaces import RequestOptions
from orioleplank.gateway._outcome import Completed, Outcome, Refused, refuse
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._statements import (
    ATTEMPT_TIME_SHARE,
    CALLER_LEFT_REASON,
    INSTANCE_RECHECK_INTERVAL_S,
    MIN_ATTEMPT_S,
    StatementExecutor,
)
from orioleplank.gateway._transaction import Transaction

# Delay before a commit is resent to an instance that had no free slot for it, in seconds.
COMMIT_RETRY_DELAY_S = 0.02
# Timeout of a rollback at an instance, in seconds.
ROLLBACK_TIMEOUT_S = 1.0


class TransactionExecutor:
    """Begins transactions, runs their statements, and commits or rolls them back."""

    def __init__(self, statements: StatementExecutor) -> None:
        self._statements = statements
        self._cluster_state = statements.cluster_state

    # Statements.

    async def run(
        self, transaction: Transaction, request: Request, statement: ExecutableStatement
    ) -> tuple[Outcome, bool]:
        """Run a statement; return the outcome and whether the transaction remains open."""
        if transaction.connection is None:
            request = replace(request, received_at=transaction.began_at)
            avoided = AvoidedInstances(self._statements)
            outcome, remains_open = await self._run_first(transaction, request, statement, avoided)
            if transaction.read_only:
                outcome = self._statements.reads.finish(request, avoided, outcome)
            return outcome, remains_open
        return await self._run_next(transaction, request, statement)

    async def _run_first(
        self,
        transaction: Transaction,
        request: Request,
        statement: ExecutableStatement,
        avoided: AvoidedInstances,
    ) -> tuple[Outcome, bool]:
        last_refusal = refuse(FailureCode.BUSY, "begin transaction", "its time is over")
        while self._statements.remaining_time(request) > MIN_ATTEMPT_S:
            begin_failure = await self._begin(transaction, request, avoided)
            if isinstance(begin_failure, NoInstanceAvailable):
                if last_refusal.instance and last_refusal.has_retry_after:
                    return last_refusal, False
                last_refusal = refuse(
                    FailureCode.BUSY,
                    "begin transaction",
                    begin_failure.reason,
                    retry_after=begin_failure.retry_after,
                )
                if not self._statements.may_become_available(request, avoided):
                    return last_refusal, False
                remaining = self._statements.remaining_time(request)
                await self._cluster_state.changed.wait(min(INSTANCE_RECHECK_INTERVAL_S, remaining))
                continue
            if begin_failure is not None:
                if begin_failure.has_retry_after and not transaction.read_only:
                    return begin_failure, False
                last_refusal = begin_failure
                continue
            instance = self._instance_id(transaction)
            outcome, remains_open = await self._run_next(transaction, request, statement)
            if remains_open or isinstance(outcome, Completed) or not _may_retry_elsewhere(outcome):
                return outcome, remains_open
            last_refusal = outcome
            avoided.add(instance, outcome)
        return last_refusal, False

    async def _run_next(
        self, transaction: Transaction, request: Request, statement: ExecutableStatement
    ) -> tuple[Outcome, bool]:
        pool, connection = transaction.pool, transaction.connection
        assert pool is not None and connection is not None
        statements = self._statements
        if transaction.lease is not None and not self._is_lease_valid(transaction):
            await self.roll_back_transaction(transaction)
            return (
                refuse(FailureCode.ABORTED, "run in transaction", "the primary was replaced"),
                False,
            )
        if request.cancellation.is_cancelled:
            return await self._end_after_caller_left(transaction), False
        try:
            options = self._build_options(request)
            await statements.prepare_connection(
                pool, connection, request.session.values, statement, options
            )
        except Exception as error:
            self._discard_connection(transaction)
            return (
                refuse(FailureCode.ABORTED, "prepare connection", str(error), pool.entry.id),
                False,
            )
        if request.cancellation.is_cancelled:
            return await self._end_after_caller_left(transaction), False
        transaction.has_written = transaction.has_written or is_write(statement)
        name = statements.prepared_name(connection, statement)
        sent = statements.note_sending(request)
        pending_reply = connection.link.run(request.id, statement, name, None)
        try:
            reply = await statements.await_reply(
                pool, connection, pending_reply, statements.remaining_time(request)
            )
        except NO_REPLY_ERRORS as error:
            self._discard_connection(transaction)
            detail = f"{pool.entry.id} did not answer: {type(error).__name__}"
            return refuse(FailureCode.ABORTED, "run in transaction", detail, pool.entry.id), False
        statements.record_primary_position(request, pool.entry.id, sent, reply)
        if reply.failure is None and reply.state is TransactionState.OPEN:
            return Completed(reply, pool.entry.id), True
        return await self._end_after_failure(transaction, reply), False

    async def _end_after_caller_left(self, transaction: Transaction) -> Outcome:
        await self.roll_back_transaction(transaction)
        return refuse(FailureCode.ABORTED, "run in transaction", CALLER_LEFT_REASON)

    async def _end_after_failure(self, transaction: Transaction, reply: Reply) -> Outcome:
        pool = transaction.pool
        assert pool is not None
        await self.roll_back_transaction(transaction)
        if reply.failure is None:
            detail = f"{pool.entry.id} left the transaction"
            return refuse(FailureCode.ABORTED, "run in transaction", detail, pool.entry.id)
        detail = f"{pool.entry.id} {reply.failure.detail}"
        return refuse(reply.failure.code, "run in transaction", detail, pool.entry.id)

    # Begin.

    async def _begin(
        self, transaction: Transaction, request: Request, avoided: AvoidedInstances
    ) -> Refused | NoInstanceAvailable | None:
        """Begin at an instance; return None on success, else why it could not begin."""
        if transaction.read_only:
            placement = await self._statements.reads.await_instance(request, avoided)
            if isinstance(placement, NoInstanceAvailable):
                return placement
            instance, min_position = placement.id, placement.min_position
            lease = None
        else:
            lease = self._statements.find_write_lease(request, avoided)
            if lease is None:
                return NoInstanceAvailable(self._statements.explain_no_primary(request))
            instance, min_position = lease.primary, None
        pool = self._cluster_state.pools[instance]
        timeout = self._statements.remaining_time(request) * ATTEMPT_TIME_SHARE
        attempt_end = self._cluster_state.now() + timeout
        acquired = await self._statements.acquire_prepared_connection(pool, request, None, timeout)
        if not isinstance(acquired, PooledConnection):
            avoided.add(instance, acquired)
            return acquired
        pending_reply = acquired.link.begin(transaction.read_only, min_position)
        try:
            timeout = max(MIN_ATTEMPT_S, attempt_end - self._cluster_state.now())
            reply = await self._statements.await_reply(
                pool, acquired, pending_reply, timeout, is_latency_sample=False
            )
        except NO_REPLY_ERRORS as error:
            pool.discard(acquired)
            detail = f"{instance} did not answer: {type(error).__name__}"
            refusal = refuse(FailureCode.BUSY, "begin transaction", detail, instance)
            avoided.add(instance, refusal)
            return refusal
        if reply.failure is not None or reply.state is not TransactionState.OPEN:
            return self._refuse_begin(request, pool, acquired, reply, avoided)
        pool.record_caught_up()
        self._attach_connection(transaction, pool, acquired, lease, request.route.service)
        return None

    def _refuse_begin(
        self,
        request: Request,
        pool: InstancePool,
        connection: PooledConnection,
        reply: Reply,
        avoided: AvoidedInstances,
    ) -> Refused:
        self._statements.release_after_reply(pool, connection, reply)
        refusal = _build_begin_refusal(pool, reply)
        if reply.failure is not None and reply.failure.code is FailureCode.LAGGING:
            self._statements.reads.avoid_lagging(request, avoided, pool.entry.id, refusal)
        else:
            avoided.add(pool.entry.id, refusal)
        return refusal

    def _attach_connection(
        self,
        transaction: Transaction,
        pool: InstancePool,
        connection: PooledConnection,
        lease: Lease | None,
        service: str,
    ) -> None:
        transaction.pool = pool
        transaction.connection = connection
        transaction.lease = lease
        transaction.values_at_begin = connection.state.values
        if lease is not None:
            transaction.primary_service = service
            self._cluster_state.primary_in_flight[service] += 1

    # Commit and rollback.

    async def commit(self, transaction: Transaction, request: Request) -> Outcome:
        """Commit; the transaction has ended whatever the outcome is."""
        if transaction.connection is None:
            refusal = await self._begin_empty(transaction, request)
            if refusal is not None:
                return refusal
        if request.cancellation.is_cancelled:
            return await self._end_after_caller_left(transaction)
        pool, connection = transaction.pool, transaction.connection
        assert pool is not None and connection is not None
        if transaction.lease is not None and not self._is_lease_valid(transaction):
            await self.roll_back_transaction(transaction)
            return refuse(FailureCode.ABORTED, "commit", "the primary was replaced", pool.entry.id)
        try:
            reply = await self._send_commit(transaction, request)
        except NO_REPLY_ERRORS:
            self._discard_connection(transaction)
            detail = f"{pool.entry.id} did not answer the commit"
            return refuse(FailureCode.IN_DOUBT, "commit", detail, pool.entry.id)
        if reply.failure is not None:
            return await self._end_after_failed_commit(transaction, reply)
        lease = transaction.lease
        self._release(transaction, reply)
        if lease is None or not transaction.has_written:
            return Completed(reply, pool.entry.id)
        return await self._statements.confirm_commit(request, lease, reply)

    async def _begin_empty(self, transaction: Transaction, request: Request) -> Outcome | None:
        """Begin a transaction that has no statements; return None on success.

        It must begin at an instance because the reply to a commit contains a signature that only an
        instance can create.
        """
        request = replace(request, received_at=transaction.began_at)
        avoided = AvoidedInstances(self._statements)
        begin_failure = await self._begin(transaction, request, avoided)
        if isinstance(begin_failure, NoInstanceAvailable):
            return refuse(FailureCode.BUSY, "begin transaction", begin_failure.reason)
        return begin_failure

    async def _send_commit(self, transaction: Transaction, request: Request) -> Reply:
        """Send the commit; it is resent only while the instance has no free slot for it."""
        pool, connection = transaction.pool, transaction.connection
        assert pool is not None and connection is not None
        while True:
            sent = self._statements.note_sending(request)
            connection.link.set_next_request_options(self._build_options(request))
            pending_reply = connection.link.commit(request.id)
            reply = await self._statements.await_reply(
                pool, connection, pending_reply, self._statements.remaining_time(request)
            )
            self._statements.record_primary_position(request, pool.entry.id, sent, reply)
            has_no_slot = reply.failure is not None and reply.failure.code is FailureCode.BUSY
            if not has_no_slot or reply.state is not TransactionState.OPEN:
                return reply
            if self._statements.remaining_time(request) < MIN_ATTEMPT_S:
                return reply
            await self._cluster_state.changed.wait(COMMIT_RETRY_DELAY_S)
            if request.cancellation.is_cancelled:
                return reply

    async def _end_after_failed_commit(self, transaction: Transaction, reply: Reply) -> Outcome:
        assert reply.failure is not None and transaction.pool is not None
        instance, code = transaction.pool.entry.id, reply.failure.code
        if code in NOT_EXECUTED_CODES:
            await self.roll_back_transaction(transaction)
            return refuse(FailureCode.ABORTED, "commit", f"{instance} {code.value}", instance)
        self._discard_connection(transaction)
        return refuse(code, "commit", f"{instance} {reply.failure.detail}", instance)

    async def roll_back_transaction(self, transaction: Transaction) -> None:
        """Roll back and return the connection to its pool, or close it if its state is in doubt."""
        pool, connection = transaction.pool, transaction.connection
        if pool is None or connection is None:
            return
        self._detach_connection(transaction)
        try:
            pending_reply = connection.link.roll_back()
            reply = await self._statements.await_reply(
                pool, connection, pending_reply, ROLLBACK_TIMEOUT_S, is_latency_sample=False
            )
        except NO_REPLY_ERRORS:
            pool.discard(connection)
            return
        if connection.state.values != transaction.values_at_begin:
            connection.state = connection.state.invalidate_values()
        if reply.failure is not None or reply.state is not TransactionState.IDLE:
            pool.discard(connection)
        else:
            pool.release(connection)

    def _release(self, transaction: Transaction, reply: Reply) -> None:
        pool, connection = transaction.pool, transaction.connection
        assert pool is not None and connection is not None
        self._detach_connection(transaction)
        self._statements.release_after_reply(pool, connection, reply)

    def _discard_connection(self, transaction: Transaction) -> None:
        """Close the connection, which makes the instance roll back the uncommitted transaction."""
        pool, connection = transaction.pool, transaction.connection
        self._detach_connection(transaction)
        if pool is not None and connection is not None:
            pool.discard(connection)

    def _detach_connection(self, transaction: Transaction) -> None:
        transaction.pool = transaction.connection = None
        if transaction.primary_service:
            self._cluster_state.primary_in_flight[transaction.primary_service] -= 1
            transaction.primary_service = ""

    def _is_lease_valid(self, transaction: Transaction) -> bool:
        """Return whether the lease of a transaction is still valid; a failover may end it."""
        lease = transaction.lease
        assert lease is not None
        current_lease = self._cluster_state.leases.lease_at_revision(
            transaction.primary_service, lease.revision
        )
        return current_lease is not None and current_lease.is_valid_at(
            self._cluster_state.lease_clock()
        )

    def _build_options(self, request: Request) -> RequestOptions:
        remaining = self._statements.remaining_time(request)
        return RequestOptions(request.account, request.route.priority, remaining)

    def _instance_id(self, transaction: Transaction) -> str:
        return transaction.pool.entry.id if transaction.pool else ""


def _build_begin_refusal(pool: InstancePool, reply: Reply) -> Refused:
    """Record a failed reply to a begin in the pool, and return the refusal for the caller."""
    if reply.failure is None:
        return refuse(FailureCode.BUSY, "begin transaction", "it did not begin", pool.entry.id)
    if reply.failure.code is FailureCode.LAGGING:
        pool.record_lagging()
    if reply.failure.code is FailureCode.READ_ONLY:
        pool.record_primary_role_denied()
    detail = f"{pool.entry.id} {reply.failure.code.value} {reply.failure.detail}"
    retry_after = reply.failure.retry_after
    return refuse(FailureCode.BUSY, "begin transaction", detail, pool.entry.id, retry_after)


def _may_retry_elsewhere(outcome: Refused) -> bool:
    """Return whether the first statement certainly did not run, so that it may run elsewhere."""
    return outcome.failure.code in NOT_EXECUTED_CODES
