"""Positions in a group's log, and which positions a log holds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A point in a group's log; ordered by term first, then by index."""

    # Term of the entry; 0 for the empty log.
    term: int
    # One-based index of the entry; 0 for the empty log.
    index: int

    def __post_init__(self) -> None:
        if self.term < 0 or self.index < 0:
            raise ValueError(f"a position is never negative: {self.term}.{self.index}")

    def __str__(self) -> str:
        return f"{self.term}.{self.index}"


ZERO_POSITION = Position(0, 0)


@dataclass(frozen=True, slots=True)
class TermStart:
    """The first index of a term in a log."""

    # The term.
    term: int
    # One-based index of its first entry.
    first_index: int


@dataclass(frozen=True, slots=True)
class TermHistory:
    """A log's last position and the starts of its terms.

    Two logs that hold an entry of the same term at the same index agree up to there (Ongaro and
    Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, section 5.3).
    """

    # Last entry of the log.
    last: Position
    # Starts of its terms, oldest first; older ones may be left out.
    starts: tuple[TermStart, ...] = ()

    def contains(self, position: Position) -> bool:
        """Tell whether the log holds the entry at `position`."""
        if position.index == 0:
            return True
        if position.index > self.last.index or position.term > self.last.term:
            return False
        if position.term == self.last.term:
            return not self.starts or position.index >= self.starts[-1].first_index
        return self._contains_older(position)

    def _contains_older(self, position: Position) -> bool:
        following = self.last.index + 1
        for start in reversed(self.starts):
            if start.term == position.term:
                return start.first_index <= position.index < following
            if start.term < position.term:
                return False
            following = start.first_index
        return position.index < following


EMPTY_TERM_HISTORY = TermHistory(ZERO_POSITION)
