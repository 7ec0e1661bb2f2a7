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


class TestTimes(testtools.TestCase):
    """Times of positions between observations, for the prediction of a replica's log."""

    def setUp(self) -> None:
        super().setUp()
        self.history = PositionHistory()
        self.history.add(1.0, Position(1, 10))
        self.history.add(2.0, Position(1, 20))
        self.history.add(3.0, Position(1, 20))

    def test_position_between_observations_has_a_time_between_them(self) -> None:
        self.assertEqual(1.5, self.history.reached_at(Position(1, 15)))
        self.assertEqual(1.5, self.history.complete_until(Position(1, 15)))

    def test_observed_position_is_reached_first_and_complete_until_last(self) -> None:
        self.assertEqual(2.0, self.history.reached_at(Position(1, 20)))
        self.assertEqual(3.0, self.history.complete_until(Position(1, 20)))

    def test_position_before_the_oldest_has_no_known_completeness(self) -> None:
        self.assertIsNone(self.history.complete_until(Position(1, 9)))

    def test_positions_of_other_terms_have_no_time(self) -> None:
        self.assertIsNone(self.history.reached_at(Position(2, 11)))
        self.assertIsNone(self.history.complete_until(Position(2, 11)))
