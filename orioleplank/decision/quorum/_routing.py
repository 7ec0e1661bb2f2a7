"""Chooses the target of a request: the primary, a replica that is fresh enough, or none yet."""

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

# Added to the load of a replica in another availability zone, where 1.0 is all slots in use.
ZONE_PENALTY = 0.5
# A replica is chosen only if its data will stay within the accepted age for this long.
AGE_MARGIN_S = 0.05


@dataclass(frozen=True, slots=True)
class RouteToPrimary:
    """Send the request to the primary."""

    instance: str
    # Term in which the instance is primary.
    term: int


@dataclass(frozen=True, slots=True)
class RouteToReplica:
    """Send the request to a replica."""

    instance: str


@dataclass(frozen=True, slots=True)
class NoTargetYet:
    """Keep the request queued: no reachable instance may serve it."""

    reason: str


@dataclass(frozen=True, slots=True)
class PositionLost:
    """Refuse the request: the session has seen a write that was lost in a promotion."""

    # Newest position of the session, which no longer exists in the group.
    position: Position


Target = RouteToPrimary | RouteToReplica | NoTargetYet | PositionLost


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """Input to a routing decision besides the request."""

    spec: ServiceSpec
    view: GroupView
    # Connections by instance.
    pools: Mapping[str, ConnectionPool]
    # Names of instances that take no new work, according to the platform.
    leaving_instances: frozenset[str]
    # Availability zone of the proxy.
    zone: str
    # Monotonic clock of the proxy, in seconds.
    now: float


def choose_target(
    request: Request, context: RoutingContext, primary_only: bool, random: Random
) -> Target:
    """Choose the target of `request`.

    `primary_only` excludes replicas, after a replica could not serve the request.
    """
    required = _required_position(request, context.view)
    if context.view.is_lost(required):
        return PositionLost(required)
    if not primary_only and may_use_replica(request):
        replica = _choose_replica(request, required, context, random)
        if replica is not None:
            return RouteToReplica(replica)
    return _choose_primary(required, context)


def may_use_replica(request: Request) -> bool:
    """Return whether a replica that is fresh enough may serve `request`."""
    if request.write or request.operation is not Operation.RUN:
        return False
    return not isinstance(request.freshness, CurrentFreshness)


def _required_position(request: Request, view: GroupView) -> Position:
    if not view.safeguards.is_enabled(Safeguard.SESSION):
        return Position(0, 0)
    return request.token.position(request.service)


def _choose_primary(required: Position, context: RoutingContext) -> Target:
    primary = context.view.primary()
    if primary is None or primary.term < context.view.committed.last.term:
        return NoTargetYet("the group has no primary")
    if not context.view.is_reachable(primary.instance, context.now):
        return NoTargetYet(f"primary {primary.instance} is not reachable")
    if _is_leaving(primary, context):
        return NoTargetYet(f"primary {primary.instance} is leaving")
    if not primary.term_history.contains(required):
        return NoTargetYet(f"primary {primary.instance} is not known to hold {required}")
    return RouteToPrimary(primary.instance, primary.term)


def _is_leaving(report: Report, context: RoutingContext) -> bool:
    if not context.view.safeguards.is_enabled(Safeguard.LEAVING):
        return False
    return report.leaving or report.instance in context.leaving_instances


def _choose_replica(
    request: Request, required: Position, context: RoutingContext, random: Random
) -> str | None:
    fresh = [
        name for name in context.view.members if _is_fresh_replica(name, request, required, context)
    ]
    with_capacity = [name for name in fresh if _has_capacity(context.pools[name])]
    if not fresh:
        return None
    return _choose_less_loaded(with_capacity or fresh, context, random)


def _choose_less_loaded(names: list[str], context: RoutingContext, random: Random) -> str:
    """Return the less loaded of two random replicas.

    See Mitzenmacher, "The Power of Two Choices", 2001.
    """
    candidates = names if len(names) <= 2 else random.sample(names, 2)
    return min(candidates, key=_load_key(context))


def _load_key(context: RoutingContext) -> Callable[[str], float]:
    def load(name: str) -> float:
        pool = context.pools[name]
        spec = context.spec.instance(name)
        in_other_zone = spec is not None and spec.zone != context.zone
        return (pool.running + 1) / max(1, pool.slot_limit) + (
            ZONE_PENALTY if in_other_zone else 0.0
        )

    return load


def _has_capacity(pool: ConnectionPool) -> bool:
    return pool.has_free_slot and (bool(pool.idle) or pool.size < pool.connection_limit)


def _is_fresh_replica(
    name: str, request: Request, required: Position, context: RoutingContext
) -> bool:
    report = context.view.latest_report(name)
    if report is None or report.role is not Role.REPLICA or not report.voting:
        return False
    if _is_leaving(report, context) or not context.view.is_reachable(name, context.now):
        return False
    if report.term_history.last.term != context.view.committed.last.term:
        return False
    if not report.term_history.contains(required):
        return False
    return _meets_freshness(report, request, context)


def _meets_freshness(report: Report, request: Request, context: RoutingContext) -> bool:
    match request.freshness:
        case MaxAgeFreshness(seconds):
            if not context.view.safeguards.is_enabled(Safeguard.AGE):
                return True
            age = context.view.staleness_bound(report.term_history.last, context.now)
            return age is not None and age + AGE_MARGIN_S <= seconds
        case SessionFreshness():
            return True
        case CurrentFreshness():
            return False
