"""Positions in the replication log of a group, and which positions a log contains."""

from __future__ import annotations

from msgspec import Struct


class Position(Struct, frozen=True, order=True):
    """A position in the log of a group; ordered by term first, then by index."""

    # 0 for the empty log.
    term: int
    # One-based index of the entry; 0 for the empty log.
    index: int

    def __post_init__(self) -> None:
        if self.term < 0 or self.index < 0:
            raise ValueError(f"term and index must not be negative: {self.term}.{self.index}")

    def __str__(self) -> str:
        return f"{self.term}.{self.index}"


ZERO_POSITION = Position(0, 0)


class TermStart(Struct, frozen=True):
    """The point in a log at which a term starts."""

    term: int
    # One-based index of the first entry of the term.
    first_index: int


class TermHistory(Struct, frozen=True):
    """The last position of a log and the starts of its terms.

    Two logs that contain an entry with the same term and index are identical up to that entry
    (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014,
    section 5.3).
    """

    # Position of the last entry; `ZERO_POSITION` for an empty log.
    last: Position
    # Oldest first; the oldest terms may be omitted.
    starts: tuple[TermStart, ...] = ()

    def contains(self, position: Position) -> bool:
        """Return whether the log contains the entry at `position`.

        Index 0 precedes every entry and is always contained. Terms whose starts are omitted are
        not distinguished: an entry before the oldest known start is assumed to be contained.
        """
        if position.index == 0:
            return True
        if position.index > self.last.index or position.term > self.last.term:
            return False
        if position.term == self.last.term:
            return not self.starts or position.index >= self.starts[-1].first_index
        return self._contains_older(position)

    def _contains_older(self, position: Position) -> bool:
        end_index = self.last.index + 1
        for start in reversed(self.starts):
            if start.term == position.term:
                return start.first_index <= position.index < end_index
            if start.term < position.term:
                return False
            end_index = start.first_index
        return position.index < end_index


EMPTY_TERM_HISTORY = TermHistory(ZERO_POSITION)
