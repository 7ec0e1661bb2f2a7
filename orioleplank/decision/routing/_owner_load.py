"""Estimates the load at connection owners from the load reports in their responses.

Load pattern: statements of many proxies meet at the few owners of an instance, so a proxy's own
queue and latency say little about the wait there. A load report loses its weight within about a
second, and the requests that were sent since are added to it.
"""

from __future__ import annotations

import math

from msgspec import Struct
from msgspec.structs import replace

# Time in which a load report loses half of its weight, in seconds: a queue of statements that take
# 3 ms to 35 ms each changes completely within a few tenths of a second.
REPORT_HALF_LIFE_S = 0.25
# Weight of the newest response in the mean of `base_time` if the previous report is recent; the
# weight rises to 1 with the age of the previous report.
BASE_TIME_WEIGHT = 0.2


class OwnerLoad(Struct, frozen=True):
    """The load of an owner's connections to one instance, as the owner reports it."""

    # Requests that wait, and statements in progress.
    waiting: int
    running: int
    # Number of statements that the owner allows to be in progress.
    limit: int
    # Expected time until a new request starts, in seconds.
    expected_wait: float


class OwnerEstimate(Struct, frozen=True):
    """Expected time of a statement that is sent through an owner, and its weight."""

    # Sum of the wait at the owner, the service time and the network latency, in seconds.
    time: float = 0.0
    # From 0 (no load report) to 1 (a report that has just arrived).
    weight: float = 0.0

    def combine(self, own_estimate: float) -> float:
        """Return the weighted mean of this estimate and one of this proxy's own, in seconds."""
        return own_estimate + (self.time - own_estimate) * self.weight


class LoadReport(Struct, frozen=True):
    """The newest load report of an owner, and what this proxy has sent there since."""

    load: OwnerLoad
    # When the report was received, in seconds.
    received_at: float
    # Mean time from sending to the response, without the wait at the owner, in seconds.
    base_time: float
    # Requests that this proxy sent to the owner since then.
    sent_since: int = 0

    def add_sent(self) -> LoadReport:
        """Return the report after another request was sent."""
        return replace(self, sent_since=self.sent_since + 1)

    def weight(self, now: float) -> float:
        """Return the weight of the report: 1 when it arrives, towards 0 as it gets old."""
        return math.pow(0.5, max(0.0, now - self.received_at) / REPORT_HALF_LIFE_S)

    def estimate(self, now: float) -> OwnerEstimate:
        """Return the expected time of a statement through the owner."""
        if not self.base_time:
            return OwnerEstimate()
        return OwnerEstimate(self.base_time + self.expected_wait, self.weight(now))

    @property
    def expected_wait(self) -> float:
        """Expected wait of a further request at the owner, as if no time had passed, in seconds."""
        in_excess = self.load.waiting + self.load.running + self.sent_since + 1 - self.load.limit
        if in_excess <= 0:
            return self.load.expected_wait
        own_share = min(self.sent_since, in_excess) * self._time_between_starts
        return self.load.expected_wait + own_share

    @property
    def _time_between_starts(self) -> float:
        """Time between two starts of statements while requests wait, in seconds."""
        if self.load.expected_wait > 0:
            return self.load.expected_wait / (self.load.waiting + 1)
        return self.base_time / max(1, self.load.limit)


def update_load_report(
    report: LoadReport | None, load: OwnerLoad, elapsed: float | None, now: float
) -> LoadReport:
    """Return the report that replaces `report` after a response with an owner's load.

    `elapsed` is the time since the request was sent, in seconds; None if it is no latency sample.
    """
    if elapsed is None:
        base_time = report.base_time if report is not None else 0.0
        return LoadReport(load, now, base_time)
    sample = max(0.0, elapsed - load.expected_wait)
    if report is None or not report.base_time:
        return LoadReport(load, now, sample)
    # An old report counts less: otherwise an instance that has recovered would be avoided until
    # many samples have been taken.
    sample_weight = 1.0 - (1.0 - BASE_TIME_WEIGHT) * report.weight(now)
    return LoadReport(load, now, report.base_time + (sample - report.base_time) * sample_weight)
