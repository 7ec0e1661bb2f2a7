"""Steps that reads, writes and transactions share: get and set up a connection, await a reply."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any, TypeVar

from msgspec import Struct
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.admission import StatementResult
from orioleplank.decision.instances import Route
from orioleplank.decision.session import (
    ExecutableStatement,
    ExecutePrepared,
    FailureCode,
    Reply,
    Session,
    TransactionState,
    plan_connection_setup,
)
from orioleplank.gateway._cancellation import NO_CANCELLATION, Cancellation
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._interfaces import (
    CallerLeftError,
    InstanceRefusedError,
    InstanceUnreachableError,
    RequestOptions,
)
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._replica_progress import ReplicaProgress
from orioleplank.gateway._running_statements import judge_error, judge_reply
from orioleplank.gateway._wait_queue import QueueTooLongError

T = TypeVar("T")

# Errors that occur before a statement is sent; the statement has not run.
NOT_SENT_ERRORS = (
    InstanceUnreachableError,
    InstanceRefusedError,
    QueueTooLongError,
    TwistedTimeoutError,
    CancelledError,
)
# Errors after which it is unknown whether a statement that was sent has run.
NO_REPLY_ERRORS = (InstanceUnreachableError, TwistedTimeoutError, CancelledError)


class PreparationError(OrioleplankError):
    """An instance rejected a session value or a prepared statement; nothing has run."""


class Request(Struct, frozen=True):
    """A request of a session that has to run at an instance."""

    # The request id chosen by the caller.
    id: str
    # The session's state when the request was taken from its queue.
    session: Session
    session_id: int
    route: Route
    # Account of the caller.
    account: ClientAccount
    # When the first byte of the request was read, in seconds of the lease clock.
    received_at: float
    # When the route's timeout expires, in seconds of the monotonic clock.
    deadline: float
    # Tells that the caller has left.
    cancellation: Cancellation = NO_CANCELLATION


class InstanceExecutor:
    """Gets connections to instances, sets them up, and awaits replies on them."""

    def __init__(
        self,
        cluster_state: ClusterState,
        reactor: Any,
        zone: str,
        random: Random | None = None,
    ) -> None:
        self.cluster_state = cluster_state
        # For the choice between instances of similar expected times; None for always the best.
        self.random = random
        self.reactor = reactor
        self.zone = zone
        self.progress = ReplicaProgress(cluster_state, reactor)

    def remaining_time(self, request: Request) -> float:
        """Return the seconds until the deadline of a request, or until all work has to end.

        0 once its caller has left, so that nothing is sent or retried for it.
        """
        if request.cancellation.is_cancelled:
            return 0.0
        shutdown, deadline = self.cluster_state.shutdown, request.deadline
        if shutdown is not None:
            deadline = min(deadline, shutdown.work_ends_at)
        return deadline - self.cluster_state.now()

    async def with_timeout(self, deferred: Deferred[T], seconds: float) -> T:
        """Wait for a result for at most `seconds`; raise Twisted's `TimeoutError` on expiry."""
        return await deferred.addTimeout(max(0.001, seconds), self.reactor)

    async def acquire(
        self, pool: InstancePool, request: Request, seconds: float, is_transaction: bool = False
    ) -> PooledConnection:
        """Acquire a connection within `seconds`; raise one of `NOT_SENT_ERRORS` on failure.

        The wait ends with `CancelledError` when the caller leaves.
        """
        connection_request = ConnectionRequest(
            self.remaining_time(request),
            request.account,
            request.route.priority,
            request.session.values,
            request.session_id,
            is_transaction=is_transaction,
        )
        acquisition = pool.acquire(connection_request)
        with request.cancellation.calling(acquisition.cancel):
            return await self.with_timeout(acquisition, seconds)

    async def prepare_connection(
        self,
        pool: InstancePool,
        connection: PooledConnection,
        values: Mapping[str, str],
        statement: ExecutableStatement | None,
        options: RequestOptions,
    ) -> None:
        """Set the session's values and prepare the statement on a connection, where needed.

        Raise one of `NOT_SENT_ERRORS` or `PreparationError` on failure; the connection is unusable
        afterwards.
        """
        connection.link.set_next_request_options(options)
        prepared_statement = (
            statement.prepared_statement if isinstance(statement, ExecutePrepared) else None
        )
        steps = plan_connection_setup(connection.state, values, prepared_statement)
        if not steps:
            return
        pending = [(step, connection.link.prepare(step)) for step in steps]
        connection.is_usable = False
        try:
            for step, deferred in pending:
                reply = await self.with_timeout(deferred, options.timeout)
                if reply.failure is not None:
                    raise PreparationError("prepare", pool.entry.id, reply.failure.code.value)
                connection.state = connection.state.apply(step)
        except NOT_SENT_ERRORS:
            pool.record_failure()
            pool.record_work(False)
            raise
        finally:
            for _, deferred in pending:
                deferred.addErrback(lambda _: None)
        connection.is_usable = True

    async def await_reply(
        self,
        pool: InstancePool,
        connection: PooledConnection,
        pending_reply: Deferred[Reply],
        seconds: float,
        is_latency_sample: bool = True,
    ) -> Reply:
        """Wait for a reply and record it in the pool; raise one of `NO_REPLY_ERRORS` on failure.

        The statement counts as in progress at the instance until then. With `is_latency_sample`
        the time until the reply counts towards the pool's latency.
        """
        sent_at = self.cluster_state.now()
        pool.statements.start(connection)
        try:
            reply = await self.with_timeout(pending_reply, seconds)
        except CallerLeftError:
            pool.statements.end(connection, StatementResult.NO_SAMPLE)
            raise
        except NO_REPLY_ERRORS as error:
            pool.statements.end(connection, judge_error(error))
            pool.record_failure()
            pool.record_work(False)
            raise
        if reply.failure is None and is_latency_sample:
            pool.record_work(True)
        elif reply.failure is not None and reply.failure.code is FailureCode.EXECUTION_FAILED:
            pool.record_work(False)
        pool.statements.end(connection, judge_reply(reply, is_latency_sample))
        if reply.state is not TransactionState.IDLE:
            # The connection is not released, but its statement makes room for a waiter.
            pool.serve_waiters()
        pool.record_reply(self.cluster_state.now() - sent_at if is_latency_sample else None)
        pool.record_position(reply.position)
        self.progress.record(pool, reply.position)
        return reply

    def prepared_name(self, connection: PooledConnection, statement: ExecutableStatement) -> str:
        """Return the connection's name of a prepared statement; empty for other statements."""
        prepared_statement = getattr(statement, "prepared_statement", None)
        return (
            connection.state.prepared.get(prepared_statement, "")
            if prepared_statement is not None
            else ""
        )

    def release_after_reply(
        self, pool: InstancePool, connection: PooledConnection, reply: Reply
    ) -> None:
        """Return a connection to its pool after a reply, or discard it.

        It is discarded while a transaction is open on it, and when the instance does not know a
        name that this proxy has prepared.
        """
        unknown_name = reply.failure is not None and reply.failure.code is FailureCode.UNKNOWN_NAME
        if reply.state is not TransactionState.IDLE or unknown_name:
            pool.discard(connection)
        else:
            pool.release(connection)
