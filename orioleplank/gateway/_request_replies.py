"""Replies to the requests of one session, and the log lines of its refused requests."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.session import Reply, Statement
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._outcome import Completed, Outcome


class PendingRequest(Struct, frozen=True):
    """A request that has arrived and is not answered yet."""

    request_id: str
    statement: Statement
    # Time of arrival on the lease clock, in seconds.
    received_at: float
    # The same time on the monotonic clock, in seconds.
    arrived_at: float


class ReplyBuilder:
    """Builds the replies of one session; records outcomes in the metrics and logs refusals."""

    def __init__(
        self,
        session_number: int,
        database: str,
        cluster_state: ClusterState,
        event_log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._session_number = session_number
        self._database = database
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._metrics = metrics

    def build(self, pending: PendingRequest, request: Request, outcome: Outcome) -> Reply:
        """Record the outcome of a request in the metrics, and return its reply."""
        elapsed = self._cluster_state.now() - pending.arrived_at
        self._metrics.record_statement(request, pending.statement, outcome, elapsed)
        match outcome:
            case Completed(reply):
                return reply
            case _:
                return self.refuse(pending, outcome, request)

    def refuse(
        self, pending: PendingRequest, outcome: Outcome, request: Request | None = None
    ) -> Reply:
        """Log a refused request, and return its reply.

        `request` is None for one that was refused before a permit was requested for it.
        """
        assert not isinstance(outcome, Completed)
        cluster_state = self._cluster_state
        service = request.route.service if request else ""
        lease = cluster_state.lease(service)
        self._event_log.log_request(
            id=pending.request_id,
            session=self._session_number,
            database=self._database[:60],
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
