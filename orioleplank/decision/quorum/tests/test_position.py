"""Which positions a log holds."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from orioleplank.decision.quorum import Position, TermHistory, TermStart


def make_lineage(*first_indexes: int, last: int) -> TermHistory:
    """Return a log whose terms 1, 2, ... start at the given indexes."""
    starts = tuple(TermStart(term, first) for term, first in enumerate(first_indexes, 1))
    return TermHistory(Position(len(first_indexes), last), starts)


class LineageTest(TestCase):
    def test_contains(self) -> None:
        log = make_lineage(1, 5, 9, last=12)
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
                self.assertEqual(held, log.contains(position))

    def test_older_starts_left_out(self) -> None:
        log = TermHistory(Position(9, 30), (TermStart(8, 20), TermStart(9, 25)))
        self.assertTrue(log.contains(Position(3, 19)))
        self.assertFalse(log.contains(Position(3, 20)))

    @given(st.lists(st.integers(1, 4), min_size=1, max_size=12))
    def test_holds_exactly_its_own_entries(self, lengths: list[int]) -> None:
        entries = [
            Position(term, sum(lengths[: term - 1]) + offset + 1)
            for term, length in enumerate(lengths, 1)
            for offset in range(length)
        ]
        firsts = [sum(lengths[:place]) + 1 for place in range(len(lengths))]
        log = make_lineage(*firsts, last=len(entries))
        held = {
            position
            for term in range(1, len(lengths) + 2)
            for index in range(1, len(entries) + 2)
            if log.contains(position := Position(term, index))
        }
        self.assertEqual(set(entries), held)

    def test_rejects_negative(self) -> None:
        self.assertRaises(ValueError, Position, -1, 0)
