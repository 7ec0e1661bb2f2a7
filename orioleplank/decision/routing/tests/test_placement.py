"""Tests of the choice of an instance for a read."""

from __future__ import annotations

import testtools

from orioleplank.decision import Position
from orioleplank.decision.routing import (
    NoInstanceAvailable,
    Placement,
    ReadCandidate,
    ReadRequirement,
    ReplicaExpected,
    SelectedInstance,
    explain_candidate,
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


class TestWaitForReplica(testtools.TestCase):
    """A read waits for a replica only if that is sooner than the primary and in time."""

    def _place(self, *candidates: ReadCandidate, time_left: float = 1.0) -> Placement:
        return place_read(candidates, ReadRequirement(_POSITION, time_left))

    def test_read_waits_for_a_replica_that_is_sooner_than_the_primary(self) -> None:
        busy = ReadCandidate("db-a", True, True, 4, 40, 0.1)
        replica = ReadCandidate("db-b", True, False, 4, 0, 0.02, wait=0.4)
        self.assertEqual(ReplicaExpected("db-b", _POSITION, 0.4), self._place(busy, replica))

    def test_primary_that_is_sooner_is_preferred_to_a_wait(self) -> None:
        replica = ReadCandidate("db-b", True, False, 4, 0, 0.02, wait=0.4)
        self.assertEqual(SelectedInstance("db-a", None), self._place(_PRIMARY, replica))

    def test_replica_with_the_position_is_preferred_to_a_wait(self) -> None:
        late = ReadCandidate("db-b", True, False, 4, 0, 0.02, wait=0.4)
        self.assertEqual(SelectedInstance("db-c", _POSITION), self._place(late, _OTHER_ZONE))

    def test_wait_that_leaves_no_time_for_the_read_is_refused_with_a_time_to_retry(self) -> None:
        replica = ReadCandidate("db-b", True, False, 4, 0, 0.1, wait=0.95)
        placement = self._place(replica)
        assert isinstance(placement, NoInstanceAvailable) and placement.retry_after is not None
        self.assertAlmostEqual(0.05, placement.retry_after, places=6)

    def test_replica_in_the_lag_backoff_gives_no_time_to_retry(self) -> None:
        replica = ReadCandidate("db-b", True, False, 4, 0, 0.1, is_lagging=True)
        placement = self._place(replica)
        assert isinstance(placement, NoInstanceAvailable)
        self.assertIsNone(placement.retry_after)


class TestExplanation(testtools.TestCase):
    """An operator sees from the log why each instance did not serve a read."""

    def test_each_reason_is_named(self) -> None:
        requirement = ReadRequirement(_POSITION, 1.0)
        lagging = ReadCandidate("db-b", True, False, 4, 0, 0.1, is_lagging=True)
        late = ReadCandidate("db-b", True, False, 4, 0, 0.1, wait=1.5)
        self.assertEqual("lags behind 3.120", explain_candidate(lagging, requirement))
        self.assertEqual("has 3.120 in 1.50 s, too late", explain_candidate(late, requirement))
        self.assertIn("no position", explain_candidate(late, ReadRequirement(None)))
