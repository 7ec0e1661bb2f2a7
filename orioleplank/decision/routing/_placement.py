"""Places a read on the instance that is expected to answer it first.

The load it answers: slow or busy instances, and links between availability zones that cost time
and money. An instance nearby is preferred until its expected wait exceeds the way to another one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from orioleplank.decision._position import Position

# Added for an instance of another availability zone, in seconds: the way there and back, twice,
# since bytes between zones cost more than time.
AWAY_PENALTY_S = 0.05


@dataclass(frozen=True, slots=True)
class ReadCandidate:
    """An instance that might take a read."""

    # Its id.
    id: str
    # True when it is in the proxy's availability zone.
    nearby: bool
    # True when it is the primary, under a lease that is good enough for the read.
    is_primary: bool
    # Statements it runs at once.
    slots: int
    # Statements of this proxy that it runs or that wait for it here.
    in_flight: int
    # Recent time for a statement, in seconds.
    latency: float
    # True when its log is likely to lack the position that the read asks for.
    is_lagging: bool = False


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """What an instance has to show for a read."""

    # Position that the log must reach; None when only the primary will do.
    min_position: Position | None


@dataclass(frozen=True, slots=True)
class SelectedInstance:
    """Send it to an instance."""

    # Its id.
    id: str
    # Position to ask for; None at the primary, which shows everything.
    min_position: Position | None


@dataclass(frozen=True, slots=True)
class NoInstanceAvailable:
    """No instance may serve it now."""

    # Why, for a person.
    reason: str


Placement = SelectedInstance | NoInstanceAvailable


def place_read(candidates: Sequence[ReadCandidate], need: ReadRequirement) -> Placement:
    """Choose the candidate with the least expected time; ids break ties."""
    able = [candidate for candidate in candidates if _may_serve(candidate, need)]
    if not able:
        return NoInstanceAvailable(_explain(candidates, need))
    best = min(able, key=_expected_time)
    return SelectedInstance(best.id, None if best.is_primary else need.min_position)


def _may_serve(candidate: ReadCandidate, need: ReadRequirement) -> bool:
    if candidate.is_primary:
        return True
    return need.min_position is not None and not candidate.is_lagging


def _expected_time(candidate: ReadCandidate) -> tuple[float, str]:
    share = candidate.in_flight / max(1, candidate.slots)
    away = 0.0 if candidate.nearby else AWAY_PENALTY_S
    return candidate.latency * (1.0 + share) + away, candidate.id


def _explain(candidates: Sequence[ReadCandidate], need: ReadRequirement) -> str:
    if not candidates:
        return "no instance of the service answers here"
    if need.min_position is None:
        return "no position is recent enough for a replica"
    return "every replica that answers here lags"
