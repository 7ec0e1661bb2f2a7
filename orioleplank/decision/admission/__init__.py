"""Admission control: whether a statement may queue or start, or is refused at once."""

from orioleplank.decision.admission._concurrency_limit import (
    ConcurrencyLimit,
    StatementResult,
)
from orioleplank.decision.admission._queue_admission import (
    AdmissionDecision,
    AdmissionRefused,
    Admitted,
    QueueLoad,
    decide_admission,
    find_expiring_waiters,
    update_mean_hold_time,
)
from orioleplank.decision.admission._shutdown_schedule import ShutdownSchedule

__all__ = [
    "AdmissionDecision",
    "AdmissionRefused",
    "Admitted",
    "ConcurrencyLimit",
    "QueueLoad",
    "ShutdownSchedule",
    "StatementResult",
    "decide_admission",
    "find_expiring_waiters",
    "update_mean_hold_time",
]
