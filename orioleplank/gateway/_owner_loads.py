"""Load reports of connection owners: added to responses by owners, kept by senders."""

from __future__ import annotations

from collections.abc import Callable

from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.routing import LoadReport, OwnerLoad, update_load_report
from orioleplank.gateway._frames import (
    Answered,
    BeginAsked,
    LoadFields,
    NotSent,
    ResponseFrame,
    RunAsked,
    Unanswered,
)
from orioleplank.gateway._pool import InstancePool

# Load reports older than this, in seconds, are removed; they have lost all weight.
REPORT_RETENTION_S = 10.0


def encode_load(pool: InstancePool) -> LoadFields | None:
    """Return the load of a pool for a response; None if this proxy does not report it."""
    if not pool.mechanisms.is_on(Mechanism.OWNER_LOAD):
        return None
    limit = pool.statements.limit or pool.statements.connections
    wait_ms = round(pool.expected_wait * 1000)
    return (pool.servable_waiting, len(pool.statements), limit, wait_ms)


class OwnerLoads:
    """The newest load report of each owner on each instance, and what was sent there since."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        # By (instance, owner).
        self._reports: dict[tuple[str, str], LoadReport] = {}

    def report(self, instance: str, owner: str) -> LoadReport | None:
        """Return the newest load report of an owner on an instance; None if there is none."""
        return self._reports.get((instance, owner))

    def record_sent(self, instance: str, owner: str, request: object) -> None:
        """Record that a request was sent; one that needs no new connection there adds no load."""
        if not isinstance(request, RunAsked | BeginAsked):
            return
        report = self._reports.get((instance, owner))
        if report is not None:
            self._reports[instance, owner] = report.add_sent()

    def record_response(
        self, instance: str, owner: str, request: object, response: ResponseFrame, sent_at: float
    ) -> None:
        """Record the load in a response to a request that was sent at `sent_at`, in seconds.

        An owner of the previous version reports none.
        """
        if not isinstance(response, Answered | NotSent | Unanswered) or response.load is None:
            return
        waiting, running, limit, wait_ms = response.load
        load = OwnerLoad(waiting, running, limit, wait_ms / 1000)
        is_sample = isinstance(request, RunAsked) and _has_run(response)
        elapsed = self._now() - sent_at if is_sample else None
        report = self._reports.get((instance, owner))
        if report is None:
            self._remove_old()
        self._reports[instance, owner] = update_load_report(report, load, elapsed, self._now())

    def _remove_old(self) -> None:
        oldest = self._now() - REPORT_RETENTION_S
        self._reports = {
            key: report for key, report in self._reports.items() if report.received_at >= oldest
        }


def _has_run(response: ResponseFrame) -> bool:
    return isinstance(response, Answered) and response.failure is None
