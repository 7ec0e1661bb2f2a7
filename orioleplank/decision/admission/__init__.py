"""Admission control: whether a statement may queue for a connection or is refused at once."""

from orioleplank.decision.admission._queue_admission import (
    AdmissionDecision,
    AdmissionRefused,
    Admitted,
    QueueLoad,
    decide_admission,
    find_expiring_waiters,
    update_mean_hold_time,
)

__all__ = [
    "AdmissionDecision",
    "AdmissionRefused",
    "Admitted",
    "QueueLoad",
    "decide_admission",
    "find_expiring_waiters",
    "update_mean_hold_time",
]
