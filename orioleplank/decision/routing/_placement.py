"""Chooses the instance that is expected to respond first to a read.

Load pattern: the queue of the primary is full while idle replicas lack the newest entries of the
log. A read waits for a replica that will have its position soon, if that is sooner than the primary
and leaves time for the read itself.

Instances may be slow or busy, and traffic between availability zones costs time and money. An
instance in the proxy's own zone is preferred unless it is slower than an instance in another zone
by more than the penalty for crossing zones. Many proxies may have the same load reports of owners;
they choose at random between two instances of similar times, so that not all move at once.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from msgspec import Struct

from orioleplank.decision._position import Position
from orioleplank.decision.routing._owner_load import OwnerEstimate

# Added to the expected time of an instance in another availability zone: twice the round-trip time,
# because traffic between zones costs money as well as time.
CROSS_ZONE_PENALTY_S = 0.05
# The second-best instance is chosen with a probability of one half if the expected times are equal.
# The probability falls to 0 at this ratio of the times.
MAX_TIME_RATIO = 2.0
# Least time that has to be left for a read after its wait for a replica, in seconds: one round trip
# between regions.
MIN_READ_TIME_S = 0.03


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
    # Seconds until its log is expected to have that position; 0 where this is not predicted.
    wait: float = 0.0
    # Estimate from the load report of the connection owner that would be used; its weight is 0
    # without a report.
    owner_estimate: OwnerEstimate = OwnerEstimate()


class ReadRequirement(Struct, frozen=True):
    """What a read requires of an instance."""

    # Position that the log must have reached; None when only the primary can serve the read.
    min_position: Position | None
    # Seconds until it has to be answered.
    time_left: float = float("inf")


class SelectedInstance(Struct, frozen=True):
    """The read is sent to an instance."""

    id: str
    # Position that the instance must have reached; None at the primary, which has every commit.
    min_position: Position | None


class ReplicaExpected(Struct, frozen=True):
    """The read waits until a replica has the position that it requires."""

    id: str
    min_position: Position
    # Seconds until the replica is expected to have it.
    wait: float


class NoInstanceAvailable(Struct, frozen=True):
    """No instance can serve the read now, or will be able to in time."""

    # Explanation for the caller.
    reason: str
    # Seconds after which a read with the same requirement could be in time; None if unknown.
    retry_after: float | None = None


Placement = SelectedInstance | ReplicaExpected | NoInstanceAvailable


def place_read(
    candidates: Sequence[ReadCandidate],
    requirement: ReadRequirement,
    random: Random | None = None,
) -> Placement:
    """Choose the eligible candidate with the shortest expected time; the lower id breaks ties.

    With `random` and a load report of an owner, the second-best one is sometimes chosen instead.
    """
    eligible = [candidate for candidate in candidates if _may_serve(candidate, requirement)]
    if not eligible:
        retry_after = _find_retry_time(candidates, requirement)
        return NoInstanceAvailable(_explain(candidates, requirement), retry_after)
    best = _choose(sorted(eligible, key=_sort_key)[:2], random)
    if best.is_primary:
        return SelectedInstance(best.id, None)
    if best.wait > 0 and requirement.min_position is not None:
        return ReplicaExpected(best.id, requirement.min_position, best.wait)
    return SelectedInstance(best.id, requirement.min_position)


def _choose(best: Sequence[ReadCandidate], random: Random | None) -> ReadCandidate:
    """Choose between the two best candidates, or take the only one."""
    has_report = any(candidate.owner_estimate.weight > 0 for candidate in best)
    if random is None or len(best) < 2 or not has_report:
        return best[0]
    first_time, second_time = (expected_time(candidate) for candidate in best)
    ratio = second_time / max(first_time, 1e-6)
    second_share = 0.5 * max(0.0, MAX_TIME_RATIO - ratio) / (MAX_TIME_RATIO - 1.0)
    return best[1] if random.random() < second_share else best[0]


def _may_serve(candidate: ReadCandidate, requirement: ReadRequirement) -> bool:
    if candidate.is_primary:
        return True
    if requirement.min_position is None or candidate.is_lagging:
        return False
    return not _is_too_late(candidate, requirement)


def _is_too_late(candidate: ReadCandidate, requirement: ReadRequirement) -> bool:
    """Return whether a wait for the replica would leave no time for the read itself."""
    return candidate.wait > 0 and _completion_time(candidate) > requirement.time_left


def _find_retry_time(
    candidates: Sequence[ReadCandidate], requirement: ReadRequirement
) -> float | None:
    """Return by how much the soonest replica is too late; None if none is expected."""
    if requirement.min_position is None:
        return None
    late = [c for c in candidates if not c.is_lagging and _is_too_late(c, requirement)]
    return min((_completion_time(c) - requirement.time_left for c in late), default=None)


def _completion_time(candidate: ReadCandidate) -> float:
    return candidate.wait + max(MIN_READ_TIME_S, _service_time(candidate))


def explain_candidate(candidate: ReadCandidate, requirement: ReadRequirement) -> str:
    """Return why a candidate does not serve a read now, or that it may serve it."""
    if candidate.is_primary:
        return "may serve it as the primary"
    if requirement.min_position is None:
        return "no position is recent enough for a replica"
    if candidate.is_lagging:
        return f"lags behind {requirement.min_position}"
    if candidate.wait > 0:
        late = ", too late" if _is_too_late(candidate, requirement) else ""
        return f"has {requirement.min_position} in {candidate.wait:.2f} s{late}"
    return f"may serve it at {requirement.min_position}"


def _service_time(candidate: ReadCandidate) -> float:
    """Return the expected duration of a read there, its queue included."""
    own_estimate = candidate.latency * (1.0 + candidate.in_flight / max(1, candidate.slots))
    return candidate.owner_estimate.combine(own_estimate)


def expected_time(candidate: ReadCandidate) -> float:
    """Return the time by which candidates are compared, in seconds, with the zone penalty."""
    zone_penalty = 0.0 if candidate.in_same_zone else CROSS_ZONE_PENALTY_S
    return candidate.wait + _service_time(candidate) + zone_penalty


def _sort_key(candidate: ReadCandidate) -> tuple[float, str]:
    return expected_time(candidate), candidate.id


def _explain(candidates: Sequence[ReadCandidate], requirement: ReadRequirement) -> str:
    if not candidates:
        return "no instance of the service answers here"
    if requirement.min_position is None:
        return "no position is recent enough for a replica"
    waits = [c.wait for c in candidates if not c.is_lagging and c.wait > 0]
    if waits:
        return f"a replica is expected to have its position in {min(waits):.2f} s, too late"
    return "every replica that answers here lags"
