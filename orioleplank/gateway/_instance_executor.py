"""Parts that reads, writes and transactions share: connections, preparation, one statement."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank._exceptions import OrioleplankError
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
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._interfaces import InstanceRefusedError, InstanceUnreachableError
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._wait_queue import QueueTooLongError

T = TypeVar("T")

# What fails before a statement is sent.
NOT_SENT_ERRORS = (
    InstanceUnreachableError,
    InstanceRefusedError,
    QueueTooLongError,
    TwistedTimeoutError,
    CancelledError,
)
# What leaves open whether a statement that was sent has run.
NO_REPLY_ERRORS = (InstanceUnreachableError, TwistedTimeoutError, CancelledError)


class PreparationError(OrioleplankError):
    """An instance did not accept a session's values or a prepared shape; nothing ran."""


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a session that an instance is to serve."""

    # The caller's id.
    id: str
    # The session as it was when the request came.
    session: Session
    # Number of the session.
    session_id: int
    # Its route.
    route: Route
    # When its first byte was read, in seconds of the clock of leases.
    received_at: float
    # When the route's time is over, in seconds of the steady clock.
    deadline: float


class InstanceExecutor:
    """Carries statements to connections."""

    def __init__(self, beliefs: ClusterState, reactor: Any, zone: str) -> None:
        self.cluster_state = beliefs
        self.reactor = reactor
        self.zone = zone

    def remaining_time(self, request: Request) -> float:
        """Return the seconds that a request has left."""
        return request.deadline - self.cluster_state.now()

    async def with_timeout(self, deferred: Deferred[T], seconds: float) -> T:
        """Wait for a result for at most `seconds`."""
        return await deferred.addTimeout(max(0.001, seconds), self.reactor)

    async def acquire(
        self, pool: InstancePool, request: Request, seconds: float
    ) -> PooledConnection:
        """Take a connection within `seconds`; raise one of `NOT_SENT_ERRORS`."""
        session = request.session
        priority, left = request.route.priority, self.remaining_time(request)
        waiting = pool.acquire(session.values, request.session_id, priority, left)
        return await self.with_timeout(waiting, seconds)

    async def prepare_connection(
        self,
        pool: InstancePool,
        connection: PooledConnection,
        values: Mapping[str, str],
        statement: ExecutableStatement | None,
        priority: int,
        seconds: float,
    ) -> None:
        """Give a connection the session's values and the statement's shape.

        Raise one of `NOT_SENT_ERRORS`, or `PreparationError`; the connection is unusable then.
        """
        connection.link.set_next_request_options(priority, seconds)
        shape = statement.prepared_statement if isinstance(statement, ExecutePrepared) else None
        steps = plan_connection_setup(connection.state, values, shape)
        if not steps:
            return
        waiting = [(step, connection.link.prepare(step)) for step in steps]
        connection.is_usable = False
        try:
            for step, deferred in waiting:
                reply = await self.with_timeout(deferred, seconds)
                if reply.failure is not None:
                    raise PreparationError("prepare", pool.entry.id, reply.failure.code.value)
                connection.state = connection.state.apply(step)
        except NOT_SENT_ERRORS:
            pool.record_failure()
            raise
        finally:
            for _, deferred in waiting:
                deferred.addErrback(lambda _: None)
        connection.is_usable = True

    async def await_reply(
        self,
        pool: InstancePool,
        asked: Deferred[Reply],
        seconds: float,
        is_latency_sample: bool = True,
    ) -> Reply:
        """Wait for an instance's reply; raise one of `NO_REPLY_ERRORS`."""
        sent_at = self.cluster_state.now()
        try:
            reply = await self.with_timeout(asked, seconds)
        except NO_REPLY_ERRORS:
            pool.record_failure()
            raise
        pool.record_reply(self.cluster_state.now() - sent_at if is_latency_sample else None)
        pool.record_position(reply.position)
        return reply

    def prepared_name(self, connection: PooledConnection, statement: ExecutableStatement) -> str:
        """Return the connection's own name for the statement's shape; empty without one."""
        shape = getattr(statement, "prepared_statement", None)
        return connection.state.prepared.get(shape, "") if shape is not None else ""

    def release_after_reply(
        self, pool: InstancePool, connection: PooledConnection, reply: Reply
    ) -> None:
        """Give a connection back after a statement outside a transaction."""
        unknown_name = reply.failure is not None and reply.failure.code is FailureCode.UNKNOWN_NAME
        if reply.state is not TransactionState.IDLE or unknown_name:
            pool.discard(connection)
        else:
            pool.release(connection)
