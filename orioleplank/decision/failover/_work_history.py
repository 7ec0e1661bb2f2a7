"""Finds out whether an instance fails most of its work, and whether other proxies agree.

Load pattern: a primary answers every probe, and resets or fails the statements that it is sent.
Reads that accept some age go to replicas, but writes and current reads fail until it is replaced.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from msgspec import Struct

# Outcomes that are older than this are left out, in seconds.
WORK_HISTORY_S = 1.5
# Fewer outcomes than this show nothing.
MIN_OUTCOMES = 5
# Share of failed outcomes from which on an instance counts as failing.
MIN_FAILED_SHARE = 0.5
# Most of this many newest outcomes have to be failures as well: after connections were reset once,
# the statements that follow succeed.
NEWEST_OUTCOMES = 3
# How long the work has to fail before a primary is suspected, in seconds.
WORK_FAILURE_TIMEOUT_S = 0.8
# How long it has to fail if no other proxy has sent the primary work that shows anything,
# in seconds.
UNCONFIRMED_WORK_FAILURE_S = 3.0
# A primary is not replaced for failing work within this time after the latest change of the
# primary, in seconds. It bounds how often a service moves when all its instances fail.
WORK_FAILURE_COOLDOWN_S = 10.0


class WorkStatus(Struct, frozen=True):
    """What one proxy has seen of the work that it sent to an instance lately."""

    # Seconds for which most of the work has failed; 0 while it does not.
    failing_for: float = 0.0
    # True if there was enough work to tell, and most of it succeeded.
    succeeds: bool = False


class WorkHistory:
    """The latest outcomes of statements at one incarnation of an instance."""

    def __init__(self) -> None:
        # Time in seconds, and whether the statement succeeded; oldest first.
        self._outcomes: deque[tuple[float, bool]] = deque()
        self._failing_since: float | None = None

    def record(self, now: float, succeeded: bool) -> None:
        """Add the outcome of a statement that ended `now`, in seconds."""
        self._outcomes.append((now, succeeded))
        self._expire(now)
        if not self._is_failing:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = next(at for at, ok in self._outcomes if not ok)

    def status(self, now: float) -> WorkStatus:
        """Return what the outcomes show `now`, in seconds."""
        self._expire(now)
        if len(self._outcomes) < MIN_OUTCOMES:
            return WorkStatus()
        if self._failing_since is None:
            return WorkStatus(succeeds=not self._is_failing)
        return WorkStatus(failing_for=now - self._failing_since)

    @property
    def _is_failing(self) -> bool:
        outcomes = [succeeded for _, succeeded in self._outcomes]
        if len(outcomes) < MIN_OUTCOMES:
            return False
        newest = outcomes[-NEWEST_OUTCOMES:]
        return _failed_share(outcomes) >= MIN_FAILED_SHARE and _failed_share(newest) > 0.5

    def _expire(self, now: float) -> None:
        while self._outcomes and self._outcomes[0][0] < now - WORK_HISTORY_S:
            self._outcomes.popleft()
        if not self._outcomes:
            self._failing_since = None


def _failed_share(outcomes: list[bool]) -> float:
    return outcomes.count(False) / len(outcomes)


def is_work_failure_confirmed(own: WorkStatus, peers: Iterable[WorkStatus]) -> bool:
    """Return whether a primary whose work fails here has to be replaced.

    Success at any other proxy shows that the fault is between this proxy and the primary.
    """
    statuses = tuple(peers)
    if any(status.succeeds for status in statuses):
        return False
    if any(status.failing_for > 0 for status in statuses):
        return True
    return own.failing_for >= UNCONFIRMED_WORK_FAILURE_S
