"""Predicts when the log of a replica will have reached a position.

Load pattern: the primary's queue is full, and idle replicas lack the last few tenths of a second of
the log that a read requires. A replica that applies the log late stays about as far behind, so it
will have a position as long after the primary as it had the one that it reported last.
"""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision._position import Position
from orioleplank.decision.group import PositionHistory

# A report older than this says nothing about the present lag, in seconds.
REPORT_LIFETIME_S = 3.0
# Interval of the reports that are kept besides the newest, in seconds.
REPORT_INTERVAL_S = 0.1
# A replica has stalled if its log advanced by less than `STALL_RATE` seconds per second, over at
# least this many seconds. The time spans several commits of a service with 10 writes a second.
STALL_TIME_S = 0.5
STALL_RATE = 0.25
# Added to the predicted time, in seconds. Message delays vary, so that a read would otherwise often
# arrive a few milliseconds too early.
PREDICTION_MARGIN_S = 0.02
# Time until a replica that lacked an expected position is tried again, in seconds; doubled each
# time until its log has grown.
MISS_DELAY_MIN_S = 0.05
MISS_DELAY_MAX_S = 0.8


class PositionReport(Struct, frozen=True):
    """A log position in a replica's reply."""

    # When the reply arrived, in seconds.
    reported_at: float
    position: Position
    # Up to when the log was complete, in seconds; None when the primary's positions are not known.
    complete_until: float | None


class ReplicaReports:
    """The latest position reports of one incarnation of an instance.

    It has slots to stay small while there are no reports: a proxy knows far more instances than it
    reads from.
    """

    __slots__ = ("_miss_delay", "_next_attempt_at", "_reports")

    def __init__(self) -> None:
        # Oldest first.
        self._reports: list[PositionReport] = []
        self._miss_delay = MISS_DELAY_MIN_S
        self._next_attempt_at = float("-inf")

    def add(self, reported_at: float, position: Position, history: PositionHistory) -> None:
        """Add the position in a reply that arrived at `reported_at`, in seconds.

        `history` holds the known positions of the primary. A lower position is ignored while the
        previous report is recent, since replies on several connections may overtake each other.
        """
        newest = self.newest
        if newest is not None:
            is_recent = reported_at < newest.reported_at + REPORT_INTERVAL_S
            if reported_at < newest.reported_at or (is_recent and position < newest.position):
                return
            if position > newest.position:
                self._miss_delay = MISS_DELAY_MIN_S
        report = PositionReport(
            reported_at, position, _complete_until(reported_at, position, history)
        )
        if self._may_drop_newest:
            self._reports.pop()
        self._reports.append(report)
        while self._reports[0].reported_at < reported_at - REPORT_LIFETIME_S:
            self._reports.pop(0)

    @property
    def newest(self) -> PositionReport | None:
        """The newest report; None before the first one."""
        return self._reports[-1] if self._reports else None

    def record_miss(self, now: float) -> None:
        """Record that the replica lacked a position that it was expected to have."""
        if now < self._next_attempt_at:
            return
        self._next_attempt_at = now + self._miss_delay
        self._miss_delay = min(MISS_DELAY_MAX_S, 2 * self._miss_delay)

    def has(self, position: Position) -> bool:
        """Return whether the replica has reported a position or a later one."""
        return self.newest is not None and self.newest.position >= position

    def expected_at(self, position: Position, history: PositionHistory, now: float) -> float | None:
        """Return when the replica is expected to have a position, in seconds; may be in the past.

        None when this cannot be predicted: there is no recent report, the primary's positions of
        that time are not known, or the replica has stalled.
        """
        newest = self.newest
        if newest is None or now - newest.reported_at > REPORT_LIFETIME_S or self._has_stalled:
            return None
        reached_at = history.reached_at(position)
        complete_until = history.complete_until(newest.position)
        if reached_at is None or complete_until is None:
            return None
        lag = newest.reported_at - complete_until
        return max(reached_at + lag + PREDICTION_MARGIN_S, self._next_attempt_at)

    @property
    def _has_stalled(self) -> bool:
        """True if the log has hardly grown lately although the primary's log has."""
        newest = self._reports[-1]
        earlier = self._report_before(newest.reported_at - STALL_TIME_S)
        if earlier is None or earlier.complete_until is None or newest.complete_until is None:
            return False
        gained = newest.complete_until - earlier.complete_until
        return gained < STALL_RATE * (newest.reported_at - earlier.reported_at)

    def _report_before(self, time: float) -> PositionReport | None:
        """Return the newest report from `time` or earlier."""
        reports = (report for report in reversed(self._reports) if report.reported_at <= time)
        return next(reports, None)

    @property
    def _may_drop_newest(self) -> bool:
        """True if the newest report follows the one before it too closely to be kept."""
        if len(self._reports) < 2:
            return False
        return self._reports[-1].reported_at < self._reports[-2].reported_at + REPORT_INTERVAL_S


def _complete_until(
    reported_at: float, position: Position, history: PositionHistory
) -> float | None:
    """Return up to when a log that ends at `position` is complete; now if it is not behind."""
    if history.newest is not None and position >= history.newest.position:
        return reported_at
    return history.complete_until(position)
