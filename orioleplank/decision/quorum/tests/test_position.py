"""Positions contained in a log, as computed from its term history."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from orioleplank.decision.quorum import Position, TermHistory, TermStart


def make_term_history(*first_indexes: int, last: int) -> TermHistory:
    """Return the history of a log whose terms 1, 2, ... start at the given indexes."""
    starts = tuple(TermStart(term, first) for term, first in enumerate(first_indexes, 1))
    return TermHistory(Position(len(first_indexes), last), starts)


class TermHistoryTest(TestCase):
    def test_contains_positions_of_the_log_only(self) -> None:
        history = make_term_history(1, 5, 9, last=12)
        cases = {
            "the empty log": (Position(0, 0), True),
            "first entry": (Position(1, 1), True),
            "last entry of a term": (Position(1, 4), True),
            "past the end of its term": (Position(1, 5), False),
            "a middle term": (Position(2, 7), True),
            "before its term began": (Position(2, 4), False),
            "last entry": (Position(3, 12), True),
            "past the last entry": (Position(3, 13), False),
            "a later term": (Position(4, 10), False),
        }
        for name, (position, held) in cases.items():
            with self.subTest(name):
                self.assertEqual(held, history.contains(position))

    def test_omitted_older_terms_end_where_the_oldest_known_term_starts(self) -> None:
        history = TermHistory(Position(9, 30), (TermStart(8, 20), TermStart(9, 25)))
        self.assertTrue(history.contains(Position(3, 19)))
        self.assertFalse(history.contains(Position(3, 20)))

    @given(st.lists(st.integers(1, 4), min_size=1, max_size=12))
    def test_contains_exactly_the_entries_of_the_log(self, lengths: list[int]) -> None:
        entries = [
            Position(term, sum(lengths[: term - 1]) + offset + 1)
            for term, length in enumerate(lengths, 1)
            for offset in range(length)
        ]
        first_indexes = [sum(lengths[:term_index]) + 1 for term_index in range(len(lengths))]
        history = make_term_history(*first_indexes, last=len(entries))
        held = {
            position
            for term in range(1, len(lengths) + 2)
            for index in range(1, len(entries) + 2)
            if history.contains(position := Position(term, index))
        }
        self.assertEqual(set(entries), held)

    def test_negative_term_is_rejected(self) -> None:
        self.assertRaises(ValueError, Position, -1, 0)
