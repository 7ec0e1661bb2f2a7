"""Tests of the history of observed log positions."""

from __future__ import annotations

import testtools

from orioleplank.decision import Position
from orioleplank.decision.group import PositionHistory


class TestPositionHistory(testtools.TestCase):
    def test_returns_the_lowest_position_that_is_recent_enough(self) -> None:
        history = PositionHistory()
        for requested_at, index in ((1.0, 10), (2.0, 20), (3.0, 30)):
            history.add(requested_at, Position(1, index))
        self.assertEqual(Position(1, 20), history.lowest_position_since(1.5))
        self.assertEqual(Position(1, 10), history.lowest_position_since(0.0))
        self.assertIsNone(history.lowest_position_since(3.5))

    def test_response_out_of_order_does_not_lower_a_position(self) -> None:
        history = PositionHistory()
        history.add(2.0, Position(1, 20))
        history.add(2.5, Position(1, 15))
        self.assertEqual(Position(1, 20), history.lowest_position_since(1.0))
        self.assertIsNone(history.lowest_position_since(2.2))

    def test_new_term_drops_positions_of_the_previous_term(self) -> None:
        history = PositionHistory()
        history.add(1.0, Position(1, 30))
        history.add(2.0, Position(2, 12))
        self.assertEqual(Position(2, 12), history.lowest_position_since(0.5))
