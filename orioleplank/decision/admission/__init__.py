"""Whether work may wait for a connection to an instance, or is refused at once."""

from orioleplank.decision.admission._wait import (
    MayWait,
    QueueLoad,
    TooLong,
    WaitVerdict,
    find_too_late,
    judge_wait,
    learn_hold,
)

__all__ = [
    "MayWait",
    "QueueLoad",
    "TooLong",
    "WaitVerdict",
    "find_too_late",
    "judge_wait",
    "learn_hold",
]
