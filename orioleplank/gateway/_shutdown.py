"""The graceful shutdown of a proxy: which work still runs, and when the process may end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orioleplank.decision.admission import ShutdownSchedule
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._forwarding_server import ForwardingServer
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._session_table import SessionTable

# Interval of the checks whether all work has ended.
SHUTDOWN_CHECK_INTERVAL_S = 0.05
# Time for the last replies to reach their callers before the process ends.
DELIVERY_TIMEOUT_S = 0.2


class GracefulShutdown:
    """Ends the work of a proxy in the phases of its `ShutdownSchedule`.

    A request is refused as not run when the process may end before its timeout. Whatever is
    unanswered when all work has to end is answered then, so that no request is cut off.
    """

    def __init__(
        self,
        reactor: Any,
        cluster_state: ClusterState,
        sessions: SessionTable,
        forwarding_server: ForwardingServer,
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster_state
        self._sessions = sessions
        self._forwarding_server = forwarding_server

    def begin(self, grace: float) -> ShutdownSchedule:
        """Put the schedule into force; `grace` is the time until the process is killed."""
        schedule = ShutdownSchedule.begin(self._cluster_state.now(), grace)
        self._cluster_state.shutdown = schedule
        return schedule

    async def end_work(
        self, schedule: ShutdownSchedule, stop_accepting: Callable[[], object]
    ) -> None:
        """Return once all work has ended; `stop_accepting` closes the port for callers."""
        await sleep(self._reactor, schedule.sessions_close_at - self._cluster_state.now())
        self._sessions.close_when_idle()
        await self._wait_for_work_to_end(schedule)
        stop_accepting()
        # Sessions that were accepted just before the port was closed are served too.
        await self._wait_for_work_to_end(schedule)
        self._sessions.end_all()
        await self._wait_for_delivery()

    @property
    def _has_work(self) -> bool:
        """True while sessions are open or forwarded statements of other proxies are running."""
        return bool(len(self._sessions) or self._forwarding_server.in_flight)

    async def _wait_for_work_to_end(self, schedule: ShutdownSchedule) -> None:
        """Return once no work is in progress, or when it has to end.

        Transactions that are open past `transactions_end_at` are rolled back.
        """
        while self._has_work and self._cluster_state.now() < schedule.work_ends_at:
            if self._cluster_state.now() >= schedule.transactions_end_at:
                self._sessions.abort_transactions()
            await sleep(self._reactor, SHUTDOWN_CHECK_INTERVAL_S)

    async def _wait_for_delivery(self) -> None:
        """Return once all sessions are closed, or after `DELIVERY_TIMEOUT_S`."""
        deadline = self._cluster_state.now() + DELIVERY_TIMEOUT_S
        while len(self._sessions) and self._cluster_state.now() < deadline:
            await sleep(self._reactor, SHUTDOWN_CHECK_INTERVAL_S)
