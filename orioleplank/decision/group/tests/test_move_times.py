"""Tests of the times at which replacements of primaries were first seen."""

from __future__ import annotations

import testtools
from msgspec.structs import replace

from orioleplank.decision.group import GroupPhase, GroupRecord, MoveTimes

STABLE = GroupRecord("books", GroupPhase.STABLE, "db-a", 1, "p-1", "p-1-7f")
MOVING = replace(STABLE, phase=GroupPhase.MOVING)


class TestMoveTimes(testtools.TestCase):
    def test_first_moving_record_counts(self) -> None:
        times = MoveTimes().apply(MOVING, 4.0).apply(replace(MOVING, holder="p-2"), 6.0)
        self.assertEqual(4.0, times.seen_at(MOVING))

    def test_stable_record_ends_the_replacement(self) -> None:
        times = MoveTimes().apply(MOVING, 4.0).apply(replace(STABLE, primary="db-b", term=2), 5.0)
        self.assertIsNone(times.seen_at(MOVING))
        self.assertEqual(9.0, times.apply(MOVING, 9.0).seen_at(MOVING))

    def test_replacement_of_the_next_primary_is_another_one(self) -> None:
        """The stable record between two replacements may never be seen."""
        next_move = replace(MOVING, primary="db-b", term=2)
        times = MoveTimes().apply(MOVING, 4.0).apply(next_move, 7.0)
        self.assertIsNone(times.seen_at(MOVING))
        self.assertEqual(7.0, times.seen_at(next_move))

    def test_second_replacement_of_the_same_primary_is_another_one(self) -> None:
        """After a restore of the store the primary may have been recorded again in between."""
        first, second = replace(MOVING, replaces=7), replace(MOVING, replaces=12)
        times = MoveTimes().apply(first, 4.0).apply(second, 20.0)
        self.assertEqual(20.0, times.seen_at(second))

    def test_services_are_independent(self) -> None:
        other = replace(MOVING, service="maps")
        times = MoveTimes().apply(MOVING, 4.0).apply(other, 5.0)
        self.assertEqual((4.0, 5.0), (times.seen_at(MOVING), times.seen_at(other)))
        self.assertIsNone(times.seen_at(replace(MOVING, service="none")))
