"""Positions of a primary's log, each with the moment for which it is complete."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from orioleplank.decision._position import Position

# Positions closer together than this are merged, so that the history stays short.
SPACING_S = 0.05
# Positions older than this serve no route: the greatest age that callers usually accept.
KEPT_S = 10.0


@dataclass(frozen=True, slots=True)
class ObservedPosition:
    """A log that reaches `position` holds every commit acknowledged before `observed_at`."""

    # When the primary was asked, in seconds.
    observed_at: float
    # Position in its answer.
    position: Position


class PositionHistory:
    """The positions of one group that are known, oldest first, all of one term."""

    def __init__(self) -> None:
        self._known: deque[ObservedPosition] = deque()

    def add(self, known_at: float, position: Position) -> None:
        """Add a position that a primary answered to a question asked at `known_at`.

        A new term drops what was known of the one before, whose end may be lost.
        """
        if self._known and position.term > self._known[-1].position.term:
            self._known.clear()
        if self._known and self._is_superfluous(known_at, position):
            return
        self._known.append(ObservedPosition(known_at, position))
        while self._known[0].observed_at < known_at - KEPT_S:
            self._known.popleft()

    @property
    def newest(self) -> ObservedPosition | None:
        """Return the newest position, or None."""
        return self._known[-1] if self._known else None

    def lowest_position_since(self, known_since: float) -> Position | None:
        """Return the lowest position that is complete for `known_since`, or None."""
        for known in self._known:
            if known.observed_at >= known_since:
                return known.position
        return None

    def _is_superfluous(self, known_at: float, position: Position) -> bool:
        newest = self._known[-1]
        if position < newest.position:
            return True
        return known_at < newest.observed_at + SPACING_S
