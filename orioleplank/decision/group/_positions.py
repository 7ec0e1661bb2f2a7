"""Observed positions of a primary's log, each with the time up to which it is complete."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from orioleplank.decision._position import Position

# Minimum interval between two stored positions, so that the history stays short. A position that
# follows the previous one more closely is dropped.
MIN_OBSERVATION_INTERVAL_S = 0.05
# Older positions are discarded: callers usually accept no greater age. A read of a route with a
# greater `max_age` gets the oldest stored position, which is newer than it needs.
HISTORY_RETENTION_S = 10.0


class ObservedPosition(Struct, frozen=True):
    """A log position together with the time up to which it is complete.

    A log that reaches `position` contains every commit acknowledged before `observed_at`.
    """

    # When the request was sent to the primary, in seconds.
    observed_at: float
    # Position in its response.
    position: Position


class PositionHistory:
    """The known positions of the log of one group, oldest first, all of the same term."""

    def __init__(self) -> None:
        self._observations: deque[ObservedPosition] = deque()

    def add(self, requested_at: float, position: Position) -> None:
        """Add the position from a primary's response to a request sent at `requested_at`.

        Positions of the previous term are dropped when a new term begins, because the end of the
        previous term's log may be lost.
        """
        if self._observations and position.term > self._observations[-1].position.term:
            self._observations.clear()
        if self._observations and self._is_redundant(requested_at, position):
            return
        self._observations.append(ObservedPosition(requested_at, position))
        while self._observations[0].observed_at < requested_at - HISTORY_RETENTION_S:
            self._observations.popleft()

    @property
    def newest(self) -> ObservedPosition | None:
        """The newest position; None when no position is known."""
        return self._observations[-1] if self._observations else None

    def lowest_position_since(self, cutoff: float) -> Position | None:
        """Return the lowest position that contains every commit acknowledged before `cutoff`.

        None when no observation is recent enough.
        """
        for observation in self._observations:
            if observation.observed_at >= cutoff:
                return observation.position
        return None

    def _is_redundant(self, requested_at: float, position: Position) -> bool:
        newest = self._observations[-1]
        if position < newest.position:
            return True
        return requested_at < newest.observed_at + MIN_OBSERVATION_INTERVAL_S
