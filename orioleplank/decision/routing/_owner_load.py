"""What a proxy knows of the queues at connection owners, from their responses.

Load pattern: statements of many proxies meet at the few owners of an instance, so a proxy's own
queue and latency say little about the wait there. News of an owner's queue loses its weight within
about a second, and what was sent since is added to it.
"""

from __future__ import annotations

import math

from msgspec import Struct
from msgspec.structs import replace

# Time in which news loses half of its weight, in seconds: a queue of statements of 3 ms to 35 ms
# changes completely within a few tenths of a second.
NEWS_HALF_LIFE_S = 0.25
# Weight of the newest response in the mean time without a wait, while the news before it is new.
BASE_TIME_WEIGHT = 0.2


class OwnerLoad(Struct, frozen=True):
    """The load of an owner's connections to one instance, as the owner tells it."""

    # Requests that wait, and statements in progress.
    waiting: int
    running: int
    # How many statements the owner lets be in progress.
    limit: int
    # Expected time until a new request starts, in seconds.
    expected_wait: float


class OwnerEstimate(Struct, frozen=True):
    """Expected time of a statement through an owner, and how much it counts."""

    # Wait at the owner, service and the time on the way, in seconds.
    time: float = 0.0
    # From 0 (no news) to 1 (new news).
    weight: float = 0.0

    def combine(self, own_estimate: float) -> float:
        """Return the expected time, given what this proxy expects without news, in seconds."""
        return own_estimate + (self.time - own_estimate) * self.weight


class OwnerNews(Struct, frozen=True):
    """The newest load of an owner, and what this proxy has added to it."""

    load: OwnerLoad
    # When the news was received, in seconds.
    received_at: float
    # Mean time from sending to the response, without the wait at the owner, in seconds.
    base_time: float
    # Requests that this proxy sent to the owner since then.
    sent_since: int = 0

    def add_sent(self) -> OwnerNews:
        """Return the news after another request was sent."""
        return replace(self, sent_since=self.sent_since + 1)

    def weight(self, now: float) -> float:
        """Return how much the news counts: 1 when it is new, towards 0 as it gets old."""
        return math.pow(0.5, max(0.0, now - self.received_at) / NEWS_HALF_LIFE_S)

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


def update_news(
    news: OwnerNews | None, load: OwnerLoad, elapsed: float | None, now: float
) -> OwnerNews:
    """Return the news after a response with an owner's load.

    `elapsed` is the time since its request was sent, in seconds; None if the response is no sample.
    """
    if elapsed is None:
        base_time = news.base_time if news is not None else 0.0
        return OwnerNews(load, now, base_time)
    sample = max(0.0, elapsed - load.expected_wait)
    if news is None or not news.base_time:
        return OwnerNews(load, now, sample)
    # Otherwise an instance that was slow would be avoided until many samples have been taken.
    sample_weight = 1.0 - (1.0 - BASE_TIME_WEIGHT) * news.weight(now)
    return OwnerNews(load, now, news.base_time + (sample - news.base_time) * sample_weight)
