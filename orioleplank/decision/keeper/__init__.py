"""When a primary is replaced, by whom, and by which instance."""

from orioleplank.decision.keeper._evidence import (
    Deposed,
    Evidence,
    FoundDead,
    Leaving,
    StillThere,
    Verdict,
    judge_primary,
)
from orioleplank.decision.keeper._successor import InstanceReport, choose_successors, has_caught_up
from orioleplank.decision.keeper._witness import choose_witnesses

__all__ = [
    "Deposed",
    "Evidence",
    "FoundDead",
    "InstanceReport",
    "Leaving",
    "StillThere",
    "Verdict",
    "choose_successors",
    "choose_witnesses",
    "has_caught_up",
    "judge_primary",
]
