"""Chooses the instance that is expected to respond first to a read.

Instances may be slow or busy, and traffic between availability zones costs time and money. An
instance in the proxy's own zone is preferred unless it is slower than an instance in another zone
by more than the penalty for crossing zones.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from orioleplank.decision._position import Position

# Added to the expected time of an instance in another availability zone: twice the round-trip time,
# because traffic between zones costs money as well as time.
CROSS_ZONE_PENALTY_S = 0.05


class ReadCandidate(Struct, frozen=True):
    """An instance that is considered for a read."""

    id: str
    # True when it is in the proxy's availability zone.
    in_same_zone: bool
    # True when it is the primary under a lease that is sufficient for the read.
    is_primary: bool
    # Number of statements that it runs concurrently.
    slots: int
    # Number of statements of this proxy that it is running or that are queued for it.
    in_flight: int
    # Recent duration of a statement, in seconds.
    latency: float
    # True when its log has probably not reached the position that the read requires.
    is_lagging: bool = False


class ReadRequirement(Struct, frozen=True):
    """What a read requires of an instance."""

    # Position that the log must have reached; None when only the primary can serve the read.
    min_position: Position | None


class SelectedInstance(Struct, frozen=True):
    """The read is sent to an instance."""

    id: str
    # Position that the instance must have reached; None at the primary, which has every commit.
    min_position: Position | None


class NoInstanceAvailable(Struct, frozen=True):
    """No instance can serve the read now."""

    # Explanation for the caller.
    reason: str


Placement = SelectedInstance | NoInstanceAvailable


def place_read(candidates: Sequence[ReadCandidate], requirement: ReadRequirement) -> Placement:
    """Choose the eligible candidate with the shortest expected time; the lower id breaks ties."""
    eligible = [candidate for candidate in candidates if _may_serve(candidate, requirement)]
    if not eligible:
        return NoInstanceAvailable(_explain(candidates, requirement))
    best = min(eligible, key=_expected_time)
    return SelectedInstance(best.id, None if best.is_primary else requirement.min_position)


def _may_serve(candidate: ReadCandidate, requirement: ReadRequirement) -> bool:
    if candidate.is_primary:
        return True
    return requirement.min_position is not None and not candidate.is_lagging


def explain_candidate(candidate: ReadCandidate, requirement: ReadRequirement) -> str:
    """Return why a candidate does not serve a read now; why none is known if it may."""
    if candidate.is_primary:
        return "may serve it as the primary"
    if requirement.min_position is None:
        return "no position is recent enough for a replica"
    if candidate.is_lagging:
        return f"lags behind {requirement.min_position}"
    return f"may serve it at {requirement.min_position}"


def _expected_time(candidate: ReadCandidate) -> tuple[float, str]:
    load = candidate.in_flight / max(1, candidate.slots)
    zone_penalty = 0.0 if candidate.in_same_zone else CROSS_ZONE_PENALTY_S
    return candidate.latency * (1.0 + load) + zone_penalty, candidate.id


def _explain(candidates: Sequence[ReadCandidate], requirement: ReadRequirement) -> str:
    if not candidates:
        return "no instance of the service answers here"
    if requirement.min_position is None:
        return "no position is recent enough for a replica"
    return "every replica that answers here lags"
