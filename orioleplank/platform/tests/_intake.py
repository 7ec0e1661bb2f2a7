"""The limits of a process, for tests without one."""

from __future__ import annotations

from orioleplank.decision.intake import CallerLimits
from orioleplank.gateway import Intake


class RecordingIntake(Intake):
    """Applies limits and keeps the reports of met ones."""

    def __init__(self, limits: CallerLimits | None = None) -> None:
        # Side and reason of each met limit.
        self.reports: list[tuple[str, str]] = []
        super().__init__(limits or CallerLimits(), self._keep, lambda **_: None)

    def _keep(self, side: str, reason: str) -> None:
        self.reports.append((side, reason))
