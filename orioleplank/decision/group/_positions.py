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

    @property
    def term(self) -> int:
        """The term of the newest position; 0 when no position is known."""
        return self._observations[-1].position.term if self._observations else 0

    def lowest_position_since(self, cutoff: float) -> Position | None:
        """Return the lowest position that contains every commit acknowledged before `cutoff`.

        None when no observation is recent enough.
        """
        for observation in self._observations:
            if observation.observed_at >= cutoff:
                return observation.position
        return None

    def reached_at(self, position: Position) -> float | None:
        """Return about when the primary's log reached a position, in seconds.

        None for a position of another term, and when no position is known. For a position beyond
        the known ones it is the time of the newest, for one before them the time of the oldest.
        """
        if position.term != self.term:
            return None
        previous: ObservedPosition | None = None
        for observation in self._observations:
            if observation.position >= position:
                return _interpolate(previous, observation, position)
            previous = observation
        return previous.observed_at if previous else None

    def complete_until(self, position: Position) -> float | None:
        """Return about up to when a log that ends at `position` is complete, in seconds.

        None for a position of another term, and for one before the oldest known.
        """
        if position.term != self.term:
            return None
        following: ObservedPosition | None = None
        for observation in reversed(self._observations):
            if observation.position <= position:
                if following is None or observation.position == position:
                    return observation.observed_at
                return _interpolate(observation, following, position)
            following = observation
        return None

    def _is_redundant(self, requested_at: float, position: Position) -> bool:
        newest = self._observations[-1]
        if position < newest.position:
            return True
        return requested_at < newest.observed_at + MIN_OBSERVATION_INTERVAL_S


def _interpolate(
    before: ObservedPosition | None, after: ObservedPosition, position: Position
) -> float:
    """Return the time of a position between two observations, as if the log grew evenly.

    A proxy with little traffic observes positions up to 0.4 s apart, which is as long as a read
    may wait for a replica.
    """
    if before is None or after.position == position:
        return after.observed_at
    share = (position.index - before.position.index) / (
        after.position.index - before.position.index
    )
    return before.observed_at + share * (after.observed_at - before.observed_at)
