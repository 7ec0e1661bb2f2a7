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
from orioleplank.decision.admission._service_order import (
    AccountUse,
    QueuedRequest,
    order_by_service,
)
from orioleplank.decision.admission._shutdown_schedule import ShutdownSchedule
from orioleplank.decision.admission._transaction_share import (
    RECENT_USE_S,
    TransactionShare,
    share_transactions,
)

__all__ = [
    "AccountUse",
    "AdmissionDecision",
    "AdmissionRefused",
    "Admitted",
    "ConcurrencyLimit",
    "QueueLoad",
    "QueuedRequest",
    "RECENT_USE_S",
    "ShutdownSchedule",
    "StatementResult",
    "TransactionShare",
    "decide_admission",
    "find_expiring_waiters",
    "order_by_service",
    "share_transactions",
    "update_mean_hold_time",
]
