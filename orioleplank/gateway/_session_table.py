"""The sessions of a proxy: opens them, and closes them when the proxy stops."""

from __future__ import annotations

from itertools import count

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from orioleplank.decision.session import Failure, FailureCode
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._intake import Intake
from orioleplank.gateway._interfaces import CallerLink
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._operation_admission import SHUTDOWN_REASON, UNKNOWN_KEY_REASON
from orioleplank.gateway._rate_limiter import RateLimiter
from orioleplank.gateway._request_handler import SessionDependencies
from orioleplank.gateway._sessions import SessionTask
from orioleplank.gateway._statements import StatementExecutor
from orioleplank.gateway._transactions import TransactionExecutor

# Longest wait for the first configuration before its state is checked again, in seconds.
START_CHECK_INTERVAL_S = 0.2


class SessionTable:
    """Holds all sessions of a proxy; implements `SessionFactory`.

    Sessions that are opened while the first configuration is still being loaded wait for it.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        statements: StatementExecutor,
        event_log: EventLog,
        metrics: Metrics,
        rate_limiter: RateLimiter,
        intake: Intake,
    ) -> None:
        self._session_numbers = count(1)
        self._tasks: set[SessionTask] = set()
        self._is_stopping = False
        self._dependencies = SessionDependencies(
            cluster_state,
            statements,
            TransactionExecutor(statements),
            event_log,
            metrics,
            rate_limiter,
            intake,
        )

    def __len__(self) -> int:
        return len(self._tasks)

    def open(self, link: CallerLink, database: str, key: str) -> SessionTask | None:
        """Open a session; return None if it was refused."""
        refusal = self._find_refusal(database, key)
        awaits_configuration = (
            self._dependencies.cluster_state.routes.version == 0
            and self._dependencies.cluster_state.is_starting
        )
        if refusal is not None and not awaits_configuration:
            link.refuse(refusal)
            return None
        number = next(self._session_numbers)
        task = SessionTask(
            number,
            link,
            database,
            key,
            self._dependencies,
            self._tasks.discard,
            self._handle_idle_session,
        )
        self._tasks.add(task)
        if awaits_configuration:
            Deferred.fromCoroutine(
                self._accept_when_configured(task, link, database, key)
            ).addErrback(self._handle_internal_error)
        else:
            link.send_ready()
        return task

    def _find_refusal(self, database: str, key: str) -> Failure | None:
        """Return why a session cannot be opened; None if it can."""
        cluster_state = self._dependencies.cluster_state
        if cluster_state.routes.version == 0:
            return Failure(FailureCode.BUSY, "program start: no configuration is known yet")
        route = cluster_state.route(database)
        if route is None:
            detail = f"program find route: no route is called {database[:60]}"
            return Failure(FailureCode.UNKNOWN_DATABASE, detail)
        if cluster_state.identify(key, route) is None:
            detail = f"operator open session: {UNKNOWN_KEY_REASON}"
            return Failure(FailureCode.UNAUTHENTICATED, detail)
        if not cluster_state.accepts_request(route.timeout):
            return Failure(FailureCode.BUSY, f"program open session: {SHUTDOWN_REASON}")
        return None

    async def _accept_when_configured(
        self, task: SessionTask, link: CallerLink, database: str, key: str
    ) -> None:
        """Accept or refuse a session opened during start, once the configuration is known."""
        cluster_state = self._dependencies.cluster_state
        while cluster_state.routes.version == 0 and cluster_state.is_starting:
            await cluster_state.changed.wait(START_CHECK_INTERVAL_S)
        if task not in self._tasks:
            return
        refusal = self._find_refusal(database, key)
        if refusal is None:
            link.send_ready()
        else:
            link.refuse(refusal)

    def _handle_internal_error(self, failure: TwistedFailure) -> None:
        self._dependencies.event_log.log_event(
            EventType.ERROR, step="open session", detail=str(failure)
        )

    def abort_idle_transactions(self, now: float, limit: float) -> None:
        """Roll back transactions that have been idle for more than `limit` seconds."""
        for task in list(self._tasks):
            if task.idle_in_transaction_seconds(now) > limit:
                task.abort_transaction()

    def close_when_idle(self) -> None:
        """Close each session as soon as it is idle."""
        self._is_stopping = True
        for task in list(self._tasks):
            if task.is_idle:
                task.close()

    def abort_transactions(self) -> None:
        """Roll back all open transactions that have no request in progress."""
        for task in list(self._tasks):
            task.abort_transaction()

    def end_all(self) -> None:
        """Answer all unanswered requests at once, and close all sessions."""
        for task in list(self._tasks):
            task.end()

    def _handle_idle_session(self, task: SessionTask) -> None:
        if self._is_stopping and task.is_idle:
            task.close()
