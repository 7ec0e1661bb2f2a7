"""Selects the instances that hold all acknowledged commits, so that one of them may be promoted.

Load pattern: with synchronous replication, the only replica that has received the latest commits
is slow, draining or crashed when the primary fails, and one that has missed them reports first.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from msgspec import Struct

from orioleplank.decision._position import ZERO_POSITION, Position
from orioleplank.decision.failover._promotion import InstanceReport, rank_promotion_candidates
from orioleplank.decision.group import SyncReplication


class PromotionSafe(Struct, frozen=True):
    """Any of these instances may be promoted."""

    # Instance ids, best first.
    candidates: tuple[str, ...]


class PromotionUnsafe(Struct, frozen=True):
    """No reporting instance is known to hold all acknowledged commits."""

    # Addresses of the replicas that may hold them and have not reported.
    awaited: tuple[str, ...]
    # The newest position that was reported.
    best: Position


PromotionSafety = PromotionSafe | PromotionUnsafe


def select_candidates(
    reports: Iterable[InstanceReport],
    old_primary: str,
    confirmations: int,
    sync: SyncReplication,
    known_replicas: Collection[str],
) -> PromotionSafety:
    """Return the instances that may be promoted in place of `old_primary`, or why none may be.

    The reports must be from after the time at which the old primary's last commit was acknowledged.
    With `confirmations` of each commit, the replicas that have not reported hold all copies of a
    commit only if there are as many of them. `known_replicas` are the addresses of the replicas
    that are listed now; they count besides those that `sync` names.
    """
    reports = tuple(reports)
    if confirmations == 0:
        return PromotionSafe(rank_promotion_candidates(reports, old_primary))
    positions = [report.received_position for report in reports if report.id != old_primary]
    best = max(positions, default=ZERO_POSITION)
    reported = {report.address for report in reports}
    awaited = tuple(sorted({*sync.replicas, *known_replicas} - reported))
    has_all_copies = len(awaited) < confirmations or _is_caught_up(reports, old_primary, best)
    if not positions or best < sync.base or not has_all_copies:
        return PromotionUnsafe(awaited, best)
    holders = [report for report in reports if report.received_position >= best]
    return PromotionSafe(rank_promotion_candidates(holders, old_primary))


def _is_caught_up(reports: tuple[InstanceReport, ...], old_primary: str, best: Position) -> bool:
    """Return whether the old primary reports a position that another instance has received."""
    return any(report.id == old_primary and report.received_position <= best for report in reports)
