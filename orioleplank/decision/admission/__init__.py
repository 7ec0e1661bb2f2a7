"""Admission control: whether a statement may queue or start, or is refused at once."""

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
    "QueueLoad",
    "ShutdownSchedule",
    "decide_admission",
    "find_expiring_waiters",
    "update_mean_hold_time",
]
