"""Ranks the instances that can be promoted by how much of the log they have received."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from orioleplank.decision._position import Position
from orioleplank.decision.instances import DbRole


class InstanceReport(Struct, frozen=True):
    """The state of an instance as reported by the instance itself."""

    id: str
    role: DbRole
    term: int
    received_position: Position
    # True when it will stop soon.
    draining: bool = False
    # Number of statements that it currently runs.
    running_statements: int = 0
    # Its address as listed, HOST:PORT; empty when not known.
    address: str = ""


def rank_promotion_candidates(
    reports: Iterable[InstanceReport], old_primary: str
) -> tuple[str, ...]:
    """Return the ids of the instances that can replace the primary `old_primary`, best first.

    A draining instance comes after all others, however much of the log it has received. Between
    equal logs a replica comes first, since its promotion certainly begins a new term.
    """
    candidates = [report for report in reports if report.id != old_primary]
    candidates.sort(key=_promotion_priority, reverse=True)
    return tuple(report.id for report in candidates)


def _promotion_priority(report: InstanceReport) -> tuple[bool, Position, bool, str]:
    is_replica = report.role is DbRole.REPLICA
    return not report.draining, report.received_position, is_replica, report.id


def has_caught_up_replica(reports: Iterable[InstanceReport], old_primary: str) -> bool:
    """Return whether another instance has received everything in the log of `old_primary`.

    Also True when there is no report of `old_primary`: without its position, waiting longer cannot
    show whether a replica has caught up.
    """
    positions = {report.id: report.received_position for report in reports}
    primary_position = positions.pop(old_primary, None)
    return primary_position is None or any(
        received >= primary_position for received in positions.values()
    )
