"""Tests of where a read goes."""

from __future__ import annotations

import testtools

from orioleplank.decision import Position
from orioleplank.decision.routing import (
    NoInstanceAvailable,
    ReadCandidate,
    ReadRequirement,
    SelectedInstance,
    place_read,
)

_AT = Position(3, 120)
_PRIMARY = ReadCandidate("db-a", False, True, 5, 0, 0.03)
_NEAR = ReadCandidate("db-b", True, False, 5, 0, 0.03)
_FAR = ReadCandidate("db-c", False, False, 5, 0, 0.03)


class TestPlacement(testtools.TestCase):
    def test_nearby_replica_is_preferred(self) -> None:
        self.assertEqual(
            SelectedInstance("db-b", _AT), place_read([_PRIMARY, _NEAR, _FAR], ReadRequirement(_AT))
        )

    def test_primary_is_asked_without_a_position(self) -> None:
        self.assertEqual(
            SelectedInstance("db-a", None),
            place_read([_PRIMARY, _NEAR, _FAR], ReadRequirement(None)),
        )

    def test_lagging_replica_is_passed_over(self) -> None:
        lagging = ReadCandidate("db-b", True, False, 5, 0, 0.03, is_lagging=True)
        self.assertEqual(
            SelectedInstance("db-a", None), place_read([_PRIMARY, lagging], ReadRequirement(_AT))
        )

    def test_slow_neighbour_loses_to_a_fast_instance_far_away(self) -> None:
        slow = ReadCandidate("db-b", True, False, 5, 0, 0.5)
        self.assertEqual(
            SelectedInstance("db-c", _AT), place_read([slow, _FAR], ReadRequirement(_AT))
        )

    def test_busy_neighbour_loses_to_an_idle_instance_far_away(self) -> None:
        busy = ReadCandidate("db-b", True, False, 5, 15, 0.05)
        self.assertEqual(
            SelectedInstance("db-c", _AT), place_read([busy, _FAR], ReadRequirement(_AT))
        )

    def test_without_lease_and_position_nobody_is_asked(self) -> None:
        placement = place_read([_NEAR, _FAR], ReadRequirement(None))
        self.assertIsInstance(placement, NoInstanceAvailable)
