"""A simulated working day of callers on real processes, and an audit of all answers."""

from orioleplank.workday._audit import AuditReport, audit_workload
from orioleplank.workday._observation import Observations, Outcome, RequestRecord
from orioleplank.workday._workload import Workload, WorkloadOptions

__all__ = [
    "AuditReport",
    "Observations",
    "Outcome",
    "RequestRecord",
    "Workload",
    "WorkloadOptions",
    "audit_workload",
]
