"""Chooses the instance that takes over: the one that has received most."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from orioleplank.decision._position import Position
from orioleplank.decision.instances import DbRole


@dataclass(frozen=True, slots=True)
class InstanceReport:
    """An instance's own word on its state."""

    # Its id.
    id: str
    # Its role.
    role: DbRole
    # Its term.
    term: int
    # Last position that it has received.
    received_position: Position
    # True when it will end.
    draining: bool = False
    # Statements it runs.
    running_statements: int = 0


def rank_promotion_candidates(reports: Iterable[InstanceReport], leaving: str) -> tuple[str, ...]:
    """Return the ids that may take over from `leaving`, best first.

    One that will end itself comes after all others, however much it has received.
    """
    able = [report for report in reports if report.id != leaving]
    able.sort(key=_merit, reverse=True)
    return tuple(report.id for report in able)


def _merit(report: InstanceReport) -> tuple[bool, Position, str]:
    return not report.draining, report.received_position, report.id


def has_caught_up_replica(reports: Iterable[InstanceReport], leaving: str) -> bool:
    """Tell whether some other instance has received all that `leaving` holds.

    True as well when `leaving` does not tell, since waiting for it shows nothing then.
    """
    positions = {report.id: report.received_position for report in reports}
    held = positions.pop(leaving, None)
    return held is None or any(received >= held for received in positions.values())
