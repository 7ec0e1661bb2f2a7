"""All sessions of a gateway: who may open one, and how they end with it."""

from __future__ import annotations

from itertools import count

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from orioleplank.decision.session import Failure, FailureCode
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._interfaces import CallerLink
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._sessions import SessionDependencies, SessionTask
from orioleplank.gateway._statements import StatementExecutor
from orioleplank.gateway._transactions import TransactionExecutor

# How often a caller that came early is looked after although nothing changed, in seconds.
START_LOOK_S = 0.2


class SessionTable:
    """All sessions; implements the gateway's `SessionFactory`."""

    def __init__(
        self,
        beliefs: ClusterState,
        statements: StatementExecutor,
        journal: EventLog,
        metrics: Metrics,
    ) -> None:
        self._numbers = count(1)
        self._tasks: set[SessionTask] = set()
        self._is_leaving = False
        self._parts = SessionDependencies(
            beliefs,
            statements,
            TransactionExecutor(statements),
            journal,
            metrics,
            self._tasks.discard,
            self._take_rest,
        )

    def __len__(self) -> int:
        return len(self._tasks)

    def open(self, link: CallerLink, database: str) -> SessionTask | None:
        """Open a session; None when it was refused."""
        refusal = self._find_refusal(database)
        is_early = (
            self._parts.cluster_state.routes.version == 0 and self._parts.cluster_state.is_starting
        )
        if refusal is not None and not is_early:
            link.refuse(refusal)
            return None
        task = SessionTask(next(self._numbers), link, database, self._parts)
        self._tasks.add(task)
        if is_early:
            Deferred.fromCoroutine(self._greet_later(task, link, database)).addErrback(self._fail)
        else:
            link.send_ready()
        return task

    def _find_refusal(self, database: str) -> Failure | None:
        """Return why a session cannot be opened; None when it can."""
        beliefs = self._parts.cluster_state
        if beliefs.routes.version == 0:
            return Failure(FailureCode.BUSY, "program start: no configuration is known yet")
        if beliefs.route(database) is None:
            detail = f"program find route: no route is called {database[:60]}"
            return Failure(FailureCode.UNKNOWN_DATABASE, detail)
        return None

    async def _greet_later(self, task: SessionTask, link: CallerLink, database: str) -> None:
        """Greet a caller that came before the first configuration, once it is known."""
        beliefs = self._parts.cluster_state
        while beliefs.routes.version == 0 and beliefs.is_starting:
            await beliefs.changed.wait(START_LOOK_S)
        if task not in self._tasks:
            return
        refusal = self._find_refusal(database)
        if refusal is None:
            link.send_ready()
        else:
            link.refuse(refusal)

    def _fail(self, failure: TwistedFailure) -> None:
        self._parts.event_log.log_event(EventType.ERROR, step="open session", detail=str(failure))

    def abort_idle_transactions(self, now: float, limit: float) -> None:
        """Roll back transactions that their callers have left alone for longer than `limit`."""
        for task in list(self._tasks):
            if task.idle_in_transaction_seconds(now) > limit:
                task.abort_transaction()

    def close_when_idle(self) -> None:
        """Close every session as soon as it rests."""
        self._is_leaving = True
        for task in list(self._tasks):
            if task.is_idle:
                task.close()

    def abort_transactions(self) -> None:
        """Roll back all transactions that wait for their callers."""
        for task in list(self._tasks):
            task.abort_transaction()

    def _take_rest(self, task: SessionTask) -> None:
        if self._is_leaving and task.is_idle:
            task.close()
