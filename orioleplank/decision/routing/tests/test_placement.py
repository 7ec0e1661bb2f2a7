"""Tests of the choice of an instance for a read."""

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

_POSITION = Position(3, 120)
_PRIMARY = ReadCandidate("db-a", False, True, 5, 0, 0.03)
_SAME_ZONE = ReadCandidate("db-b", True, False, 5, 0, 0.03)
_OTHER_ZONE = ReadCandidate("db-c", False, False, 5, 0, 0.03)


class TestPlaceRead(testtools.TestCase):
    def test_replica_in_the_same_zone_is_preferred(self) -> None:
        self.assertEqual(
            SelectedInstance("db-b", _POSITION),
            place_read([_PRIMARY, _SAME_ZONE, _OTHER_ZONE], ReadRequirement(_POSITION)),
        )

    def test_read_without_a_position_is_sent_to_the_primary(self) -> None:
        self.assertEqual(
            SelectedInstance("db-a", None),
            place_read([_PRIMARY, _SAME_ZONE, _OTHER_ZONE], ReadRequirement(None)),
        )

    def test_lagging_replica_is_not_chosen(self) -> None:
        lagging = ReadCandidate("db-b", True, False, 5, 0, 0.03, is_lagging=True)
        self.assertEqual(
            SelectedInstance("db-a", None),
            place_read([_PRIMARY, lagging], ReadRequirement(_POSITION)),
        )

    def test_fast_instance_in_another_zone_is_preferred_to_a_slow_local_one(self) -> None:
        slow = ReadCandidate("db-b", True, False, 5, 0, 0.5)
        self.assertEqual(
            SelectedInstance("db-c", _POSITION),
            place_read([slow, _OTHER_ZONE], ReadRequirement(_POSITION)),
        )

    def test_idle_instance_in_another_zone_is_preferred_to_a_busy_local_one(self) -> None:
        busy = ReadCandidate("db-b", True, False, 5, 15, 0.05)
        self.assertEqual(
            SelectedInstance("db-c", _POSITION),
            place_read([busy, _OTHER_ZONE], ReadRequirement(_POSITION)),
        )

    def test_no_instance_is_available_without_lease_and_position(self) -> None:
        placement = place_read([_SAME_ZONE, _OTHER_ZONE], ReadRequirement(None))
        self.assertIsInstance(placement, NoInstanceAvailable)
