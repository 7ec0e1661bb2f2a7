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
    Code,
    ExecuteShape,
    Reply,
    Runnable,
    Session,
    TransactionState,
    find_preparation,
)
from orioleplank.gateway._beliefs import Beliefs
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._ports import InstanceRefusedError, InstanceUnreachableError
from orioleplank.gateway._waiters import QueueTooLongError

T = TypeVar("T")

# What fails before a statement is sent.
NOT_SENT = (
    InstanceUnreachableError,
    InstanceRefusedError,
    QueueTooLongError,
    TwistedTimeoutError,
    CancelledError,
)
# What leaves open whether a statement that was sent has run.
NOT_ANSWERED = (InstanceUnreachableError, TwistedTimeoutError, CancelledError)


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
    number: int
    # Its route.
    route: Route
    # When its first byte was read, in seconds of the clock of leases.
    received_at: float
    # When the route's time is over, in seconds of the steady clock.
    deadline: float


class Exchange:
    """Carries statements to connections."""

    def __init__(self, beliefs: Beliefs, reactor: Any, zone: str) -> None:
        self.beliefs = beliefs
        self.reactor = reactor
        self.zone = zone

    def left(self, request: Request) -> float:
        """Return the seconds that a request has left."""
        return request.deadline - self.beliefs.now()

    async def limit(self, deferred: Deferred[T], seconds: float) -> T:
        """Wait for a result for at most `seconds`."""
        return await deferred.addTimeout(max(0.001, seconds), self.reactor)

    async def acquire(
        self, pool: InstancePool, request: Request, seconds: float
    ) -> PooledConnection:
        """Take a connection within `seconds`; raise one of `NOT_SENT`."""
        session = request.session
        priority, left = request.route.priority, self.left(request)
        waiting = pool.acquire(session.values, request.number, priority, left)
        return await self.limit(waiting, seconds)

    async def prepare(
        self,
        pool: InstancePool,
        connection: PooledConnection,
        values: Mapping[str, str],
        statement: Runnable | None,
        priority: int,
        seconds: float,
    ) -> None:
        """Give a connection the session's values and the statement's shape.

        Raise one of `NOT_SENT`, or `PreparationError`; the connection is unusable then.
        """
        connection.link.expect(priority, seconds)
        shape = statement.shape if isinstance(statement, ExecuteShape) else None
        steps = find_preparation(connection.state, values, shape)
        if not steps:
            return
        waiting = [(step, connection.link.prepare(step)) for step in steps]
        connection.usable = False
        try:
            for step, deferred in waiting:
                reply = await self.limit(deferred, seconds)
                if reply.failure is not None:
                    raise PreparationError("prepare", pool.entry.id, reply.failure.code.value)
                connection.state = connection.state.apply(step)
        except NOT_SENT:
            pool.note_failure()
            raise
        finally:
            for _, deferred in waiting:
                deferred.addErrback(lambda _: None)
        connection.usable = True

    async def run(
        self, pool: InstancePool, asked: Deferred[Reply], seconds: float, tells_load: bool = True
    ) -> Reply:
        """Wait for an instance's reply; raise one of `NOT_ANSWERED`."""
        sent_at = self.beliefs.now()
        try:
            reply = await self.limit(asked, seconds)
        except NOT_ANSWERED:
            pool.note_failure()
            raise
        pool.note_answer(self.beliefs.now() - sent_at if tells_load else None)
        pool.note_position(reply.position)
        return reply

    def prepared_name(self, connection: PooledConnection, statement: Runnable) -> str:
        """Return the connection's own name for the statement's shape; empty without one."""
        shape = getattr(statement, "shape", None)
        return connection.state.prepared.get(shape, "") if shape is not None else ""

    def settle(self, pool: InstancePool, connection: PooledConnection, reply: Reply) -> None:
        """Give a connection back after a statement outside a transaction."""
        unknown_name = reply.failure is not None and reply.failure.code is Code.UNKNOWN_NAME
        if reply.state is not TransactionState.IDLE or unknown_name:
            pool.discard(connection)
        else:
            pool.release(connection)
