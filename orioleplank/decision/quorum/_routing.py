"""Where a request goes: to the primary, to a replica that is fresh enough, or nowhere yet."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

from orioleplank.decision._position import Position
from orioleplank.decision.quorum._connection_pool import ConnectionPool
from orioleplank.decision.quorum._group_view import GroupView, Report, Role
from orioleplank.decision.quorum._request import (
    CurrentFreshness,
    MaxAgeFreshness,
    Operation,
    Request,
    SessionFreshness,
)
from orioleplank.decision.quorum._safeguards import Safeguard
from orioleplank.decision.quorum._specs import ServiceSpec

ZONE_PENALTY = 0.5
AGE_MARGIN_S = 0.05


@dataclass(frozen=True, slots=True)
class RouteToPrimary:
    """Send it to the primary."""

    # Name of the instance.
    instance: str
    # Term in which it is primary.
    term: int


@dataclass(frozen=True, slots=True)
class RouteToReplica:
    """Send it to a replica."""

    # Name of the instance.
    instance: str


@dataclass(frozen=True, slots=True)
class NoTargetYet:
    """Wait: nothing that may take it is reachable."""

    # What it waits for.
    why: str


@dataclass(frozen=True, slots=True)
class PositionLost:
    """Refuse it: the session has seen a write that did not survive."""

    # The position the session holds.
    position: Position


Target = RouteToPrimary | RouteToReplica | NoTargetYet | PositionLost


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """What a routing decision looks at besides the request."""

    # The service.
    spec: ServiceSpec
    # Its group.
    view: GroupView
    # Connections by instance.
    pools: Mapping[str, ConnectionPool]
    # Instances that take no new work, by the platform's list.
    leaving_instances: frozenset[str]
    # Availability zone of the proxy.
    zone: str
    # Proxy's monotonic clock, in seconds.
    now: float


def choose_target(
    request: Request, around: RoutingContext, primary_only: bool, random: Random
) -> Target:
    """Choose where `request` goes now."""
    seen = _required_position(request, around.view)
    if around.view.is_lost(seen):
        return PositionLost(seen)
    if not primary_only and may_use_replica(request):
        replica = _choose_replica(request, seen, around, random)
        if replica is not None:
            return RouteToReplica(replica)
    return _choose_primary(seen, around)


def may_use_replica(request: Request) -> bool:
    """Tell whether a replica that is fresh enough may serve `request`."""
    if request.write or request.operation is not Operation.RUN:
        return False
    return not isinstance(request.freshness, CurrentFreshness)


def _required_position(request: Request, view: GroupView) -> Position:
    if not view.safeguards.is_enabled(Safeguard.SESSION):
        return Position(0, 0)
    return request.token.position(request.service)


def _choose_primary(seen: Position, around: RoutingContext) -> Target:
    primary = around.view.primary()
    if primary is None or primary.term < around.view.committed.last.term:
        return NoTargetYet("the group has no primary")
    if not around.view.is_reachable(primary.instance, around.now):
        return NoTargetYet(f"primary {primary.instance} is not reachable")
    if _is_leaving(primary, around):
        return NoTargetYet(f"primary {primary.instance} is leaving")
    if not primary.term_history.contains(seen):
        return NoTargetYet(f"primary {primary.instance} is not known to hold {seen}")
    return RouteToPrimary(primary.instance, primary.term)


def _is_leaving(report: Report, around: RoutingContext) -> bool:
    if not around.view.safeguards.is_enabled(Safeguard.LEAVING):
        return False
    return report.leaving or report.instance in around.leaving_instances


def _choose_replica(
    request: Request, seen: Position, around: RoutingContext, random: Random
) -> str | None:
    fresh = [name for name in around.view.members if _is_fresh_replica(name, request, seen, around)]
    roomy = [name for name in fresh if _has_room(around.pools[name])]
    if not fresh:
        return None
    return _pick_less_loaded(roomy or fresh, around, random)


def _pick_less_loaded(names: list[str], around: RoutingContext, random: Random) -> str:
    """Take the better of two at random (Mitzenmacher, "The Power of Two Choices", 2001)."""
    two = names if len(names) <= 2 else random.sample(names, 2)
    return min(two, key=_load_in(around))


def _load_in(around: RoutingContext) -> Callable[[str], float]:
    def load(name: str) -> float:
        pool = around.pools[name]
        spec = around.spec.instance(name)
        away = spec is not None and spec.zone != around.zone
        return (pool.running + 1) / max(1, pool.slot_limit) + (ZONE_PENALTY if away else 0.0)

    return load


def _has_room(pool: ConnectionPool) -> bool:
    return pool.has_free_slot and (bool(pool.idle) or pool.size < pool.connection_limit)


def _is_fresh_replica(name: str, request: Request, seen: Position, around: RoutingContext) -> bool:
    report = around.view.latest_report(name)
    if report is None or report.role is not Role.REPLICA or not report.voting:
        return False
    if _is_leaving(report, around) or not around.view.is_reachable(name, around.now):
        return False
    if report.term_history.last.term != around.view.committed.last.term:
        return False
    if not report.term_history.contains(seen):
        return False
    return _is_young(report, request, around)


def _is_young(report: Report, request: Request, around: RoutingContext) -> bool:
    match request.freshness:
        case MaxAgeFreshness(seconds):
            if not around.view.safeguards.is_enabled(Safeguard.AGE):
                return True
            age = around.view.staleness_bound(report.term_history.last, around.now)
            return age is not None and age + AGE_MARGIN_S <= seconds
        case SessionFreshness():
            return True
        case CurrentFreshness():
            return False
