"""Transactions: each owns one connection from its first statement to its end."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

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
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._instance_executor import NO_REPLY_ERRORS, Request
from orioleplank.gateway._outcome import Completed, Outcome, Refused, refuse
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._statements import (
    ATTEMPT_TIME_SHARE,
    MIN_ATTEMPT_S,
    RECHECK_INTERVAL_S,
    AvoidedInstances,
    StatementExecutor,
)

# Pause before a commit is sent again that an instance had no slot for, in seconds.
COMMIT_AGAIN_S = 0.02
# Time for an instance to roll back, in seconds.
ROLL_BACK_S = 1.0


@dataclass(slots=True, eq=False)
class Transaction:
    """A transaction of a session."""

    # True when its caller said that it will not write.
    read_only: bool
    # When its first byte was read, in seconds of the clock of leases.
    began_at: float
    # Its connections' pool; None before its first statement.
    pool: InstancePool | None = None
    # Its connection; None before its first statement.
    connection: PooledConnection | None = None
    # The lease it runs under; None at a replica.
    lease: Lease | None = None
    # Values of its connection when it began; others may be undone by a rollback.
    values: Mapping[str, str] = field(default_factory=dict)
    # True once a write was sent.
    has_written: bool = False
    # Service whose primary it relies on; empty at a replica.
    relies_on: str = ""


class TransactionExecutor:
    """Runs the statements of transactions."""

    def __init__(self, statements: StatementExecutor) -> None:
        self._statements = statements
        self._beliefs = statements.cluster_state

    # Statements.

    async def run(
        self, transaction: Transaction, request: Request, statement: ExecutableStatement
    ) -> tuple[Outcome, bool]:
        """Run a statement; return the outcome and whether the transaction goes on."""
        if transaction.connection is None:
            return await self._run_first(transaction, request, statement)
        return await self._run_next(transaction, request, statement)

    async def _run_first(
        self, transaction: Transaction, request: Request, statement: ExecutableStatement
    ) -> tuple[Outcome, bool]:
        request = replace(request, received_at=transaction.began_at)
        avoided = AvoidedInstances(self._statements)
        last = refuse(FailureCode.BUSY, "begin transaction", "its time is over")
        while self._statements.remaining_time(request) > MIN_ATTEMPT_S:
            began = await self._begin(transaction, request, avoided)
            if isinstance(began, NoInstanceAvailable):
                if last.has_retry_after:
                    return last, False
                last = refuse(FailureCode.BUSY, "begin transaction", began.reason)
                if not self._statements.may_become_available(request, avoided):
                    return last, False
                left = self._statements.remaining_time(request)
                await self._beliefs.changed.wait(min(RECHECK_INTERVAL_S, left))
                continue
            if began is not None:
                if began.has_retry_after and not transaction.read_only:
                    return began, False
                last = began
                continue
            instance = self._instance(transaction)
            outcome, goes_on = await self._run_next(transaction, request, statement)
            if goes_on or isinstance(outcome, Completed) or not _may_begin_again(outcome):
                return outcome, goes_on
            last = outcome
            avoided.add(instance)
        return last, False

    async def _run_next(
        self, transaction: Transaction, request: Request, statement: ExecutableStatement
    ) -> tuple[Outcome, bool]:
        pool, connection = transaction.pool, transaction.connection
        assert pool is not None and connection is not None
        statements = self._statements
        if transaction.lease is not None and not self._is_still_led(transaction):
            await self.roll_back_transaction(transaction)
            return (
                refuse(FailureCode.ABORTED, "run in transaction", "the primary was replaced"),
                False,
            )
        try:
            values = request.session.values
            left = statements.remaining_time(request)
            priority = request.route.priority
            await statements.prepare_connection(pool, connection, values, statement, priority, left)
        except Exception as error:
            self._lose(transaction)
            return (
                refuse(FailureCode.ABORTED, "prepare connection", str(error), pool.entry.id),
                False,
            )
        transaction.has_written = transaction.has_written or is_write(statement)
        name = statements.prepared_name(connection, statement)
        asked_at = self._beliefs.lease_clock()
        asked = connection.link.run(request.id, statement, name, None)
        try:
            reply = await statements.await_reply(pool, asked, statements.remaining_time(request))
        except NO_REPLY_ERRORS as error:
            self._lose(transaction)
            detail = f"{pool.entry.id} did not answer: {type(error).__name__}"
            return refuse(FailureCode.ABORTED, "run in transaction", detail, pool.entry.id), False
        statements.record_primary_position(request, pool.entry.id, asked_at, reply)
        if reply.failure is None and reply.state is TransactionState.OPEN:
            return Completed(reply, pool.entry.id), True
        return await self._end_failed(transaction, reply), False

    async def _end_failed(self, transaction: Transaction, reply: Reply) -> Outcome:
        pool = transaction.pool
        assert pool is not None
        await self.roll_back_transaction(transaction)
        if reply.failure is None:
            detail = f"{pool.entry.id} left the transaction"
            return refuse(FailureCode.ABORTED, "run in transaction", detail, pool.entry.id)
        detail = f"{pool.entry.id} {reply.failure.detail}"
        return refuse(reply.failure.code, "run in transaction", detail, pool.entry.id)

    # The beginning.

    async def _begin(
        self, transaction: Transaction, request: Request, avoided: AvoidedInstances
    ) -> Refused | NoInstanceAvailable | None:
        """Begin at an instance; return why it could not, or None."""
        if transaction.read_only:
            placement = self._statements.select_instance(request, avoided)
            if isinstance(placement, NoInstanceAvailable):
                return placement
            instance, after = placement.id, placement.min_position
            lease = None
        else:
            lease = self._statements.find_write_lease(request, avoided)
            if lease is None:
                return NoInstanceAvailable(self._statements.explain_no_primary(request))
            instance, after = lease.primary, None
        pool = self._beliefs.pools[instance]
        seconds = self._statements.remaining_time(request) * ATTEMPT_TIME_SHARE
        taken = await self._statements.acquire_prepared_connection(pool, request, None, seconds)
        if not isinstance(taken, PooledConnection):
            avoided.add(instance)
            return taken
        began = taken.link.begin(transaction.read_only, after)
        try:
            reply = await self._statements.await_reply(
                pool, began, seconds, is_latency_sample=False
            )
        except NO_REPLY_ERRORS as error:
            pool.discard(taken)
            avoided.add(instance)
            detail = f"{instance} did not answer: {type(error).__name__}"
            return refuse(FailureCode.BUSY, "begin transaction", detail, instance)
        if reply.failure is not None or reply.state is not TransactionState.OPEN:
            return self._refuse_begin(pool, taken, reply, avoided)
        pool.record_caught_up()
        self._own(transaction, pool, taken, lease, request.route.service)
        return None

    def _refuse_begin(
        self, pool: InstancePool, taken: PooledConnection, reply: Reply, avoided: AvoidedInstances
    ) -> Refused:
        self._statements.release_after_reply(pool, taken, reply)
        avoided.add(pool.entry.id)
        if reply.failure is None:
            return refuse(FailureCode.BUSY, "begin transaction", "it did not begin", pool.entry.id)
        if reply.failure.code is FailureCode.LAGGING:
            pool.record_lagging()
        if reply.failure.code is FailureCode.READ_ONLY:
            pool.record_primary_role_denied()
        detail = f"{pool.entry.id} {reply.failure.code.value} {reply.failure.detail}"
        after = reply.failure.retry_after
        return refuse(FailureCode.BUSY, "begin transaction", detail, pool.entry.id, after)

    def _own(
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
        transaction.values = connection.state.values
        if lease is not None:
            transaction.relies_on = service
            self._beliefs.primary_in_flight[service] += 1

    # The end.

    async def commit(self, transaction: Transaction, request: Request) -> Outcome:
        """Commit; whatever the outcome, the transaction is over."""
        if transaction.connection is None:
            begun = await self._begin_empty(transaction, request)
            if begun is not None:
                return begun
        pool, connection = transaction.pool, transaction.connection
        assert pool is not None and connection is not None
        if transaction.lease is not None and not self._is_still_led(transaction):
            await self.roll_back_transaction(transaction)
            return refuse(FailureCode.ABORTED, "commit", "the primary was replaced", pool.entry.id)
        try:
            reply = await self._send_commit(transaction, request)
        except NO_REPLY_ERRORS:
            self._lose(transaction)
            detail = f"{pool.entry.id} did not answer the commit"
            return refuse(FailureCode.IN_DOUBT, "commit", detail, pool.entry.id)
        if reply.failure is not None:
            return await self._end_commit_failed(transaction, reply)
        lease = transaction.lease
        self._release(transaction, reply)
        if lease is None or not transaction.has_written:
            return Completed(reply, pool.entry.id)
        return await self._statements.confirm_commit(request, lease, reply)

    async def _begin_empty(self, transaction: Transaction, request: Request) -> Outcome | None:
        """Begin a transaction that has no statements, since only an instance can sign its end."""
        request = replace(request, received_at=transaction.began_at)
        avoided = AvoidedInstances(self._statements)
        began = await self._begin(transaction, request, avoided)
        if isinstance(began, NoInstanceAvailable):
            return refuse(FailureCode.BUSY, "begin transaction", began.reason)
        return began

    async def _send_commit(self, transaction: Transaction, request: Request) -> Reply:
        """Send the commit; again only while the instance has no slot for it."""
        pool, connection = transaction.pool, transaction.connection
        assert pool is not None and connection is not None
        while True:
            asked_at = self._beliefs.lease_clock()
            connection.link.set_next_request_options(
                request.route.priority, self._statements.remaining_time(request)
            )
            asked = connection.link.commit(request.id)
            reply = await self._statements.await_reply(
                pool, asked, self._statements.remaining_time(request)
            )
            self._statements.record_primary_position(request, pool.entry.id, asked_at, reply)
            is_full = reply.failure is not None and reply.failure.code is FailureCode.BUSY
            if not is_full or reply.state is not TransactionState.OPEN:
                return reply
            if self._statements.remaining_time(request) < MIN_ATTEMPT_S:
                return reply
            await self._beliefs.changed.wait(COMMIT_AGAIN_S)

    async def _end_commit_failed(self, transaction: Transaction, reply: Reply) -> Outcome:
        assert reply.failure is not None and transaction.pool is not None
        instance, code = transaction.pool.entry.id, reply.failure.code
        if code in NOT_EXECUTED_CODES:
            await self.roll_back_transaction(transaction)
            return refuse(FailureCode.ABORTED, "commit", f"{instance} {code.value}", instance)
        self._lose(transaction)
        return refuse(code, "commit", f"{instance} {reply.failure.detail}", instance)

    async def roll_back_transaction(self, transaction: Transaction) -> None:
        """Roll back and give the connection back; in doubt close it."""
        pool, connection = transaction.pool, transaction.connection
        if pool is None or connection is None:
            return
        self._let_go(transaction)
        try:
            rolled = connection.link.roll_back()
            reply = await self._statements.await_reply(
                pool, rolled, ROLL_BACK_S, is_latency_sample=False
            )
        except NO_REPLY_ERRORS:
            pool.discard(connection)
            return
        if connection.state.values != transaction.values:
            connection.state = connection.state.invalidate_values()
        if reply.failure is not None or reply.state is not TransactionState.IDLE:
            pool.discard(connection)
        else:
            pool.release(connection)

    def _release(self, transaction: Transaction, reply: Reply) -> None:
        pool, connection = transaction.pool, transaction.connection
        assert pool is not None and connection is not None
        self._let_go(transaction)
        self._statements.release_after_reply(pool, connection, reply)

    def _lose(self, transaction: Transaction) -> None:
        """Close the connection, which rolls back whatever is not committed."""
        pool, connection = transaction.pool, transaction.connection
        self._let_go(transaction)
        if pool is not None and connection is not None:
            pool.discard(connection)

    def _let_go(self, transaction: Transaction) -> None:
        transaction.pool = transaction.connection = None
        if transaction.relies_on:
            self._beliefs.primary_in_flight[transaction.relies_on] -= 1
            transaction.relies_on = ""

    def _is_still_led(self, transaction: Transaction) -> bool:
        """Tell whether the lease of a transaction still holds; a move may let it end."""
        lease = transaction.lease
        assert lease is not None
        held = self._beliefs.leases.lease_at_revision(transaction.relies_on, lease.revision)
        return held is not None and held.is_valid_at(self._beliefs.lease_clock())

    def _instance(self, transaction: Transaction) -> str:
        return transaction.pool.entry.id if transaction.pool else ""


def _may_begin_again(outcome: Refused) -> bool:
    """Tell whether the first statement provably did not run, so that another instance may."""
    return outcome.failure.code in NOT_EXECUTED_CODES
