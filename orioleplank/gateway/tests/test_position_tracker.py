"""Which positions of a primary may be used after its lease has ended, or after a promotion."""

from __future__ import annotations

import testtools

from orioleplank.decision import Position
from orioleplank.decision.group import Lease
from orioleplank.decision.mechanisms import Mechanism, MechanismSwitches
from orioleplank.gateway._position_tracker import PositionTracker

SERVICE = "books"
LEASE = Lease("db-a", 3, 20.0, 7)


class TestEarlierPositions(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lease: Lease | None = LEASE
        self.tracker = self._build_tracker(MechanismSwitches())
        self.tracker.record(LEASE, SERVICE, 10.0, Position(3, 100))
        self.tracker.record(LEASE, SERVICE, 11.0, Position(3, 110))

    def _build_tracker(self, switches: MechanismSwitches) -> PositionTracker:
        return PositionTracker(lambda _: self.lease, lambda: 0.0, switches)

    def _replace_primary(self, primary: str, term: int) -> None:
        self.lease = Lease(primary, term, 30.0, 9)

    def test_position_stays_usable_without_a_lease(self) -> None:
        self.lease = None
        self.assertEqual(Position(3, 110), self.tracker.find_minimum(SERVICE, 10.5))

    def test_read_that_requires_a_later_time_is_refused(self) -> None:
        self.lease = None
        self.assertIsNone(self.tracker.find_minimum(SERVICE, 11.1))

    def test_position_stays_usable_after_one_promotion(self) -> None:
        self._replace_primary("db-b", 4)
        self.assertEqual(Position(3, 110), self.tracker.find_minimum(SERVICE, 10.5))

    def test_position_of_the_present_primary_is_preferred(self) -> None:
        self._replace_primary("db-b", 4)
        assert self.lease is not None
        self.tracker.record(self.lease, SERVICE, 12.0, Position(4, 105))
        self.assertEqual(Position(4, 105), self.tracker.find_minimum(SERVICE, 10.5))

    def test_position_is_not_usable_after_two_promotions(self) -> None:
        """The second one may bring back commits that the first one rolled back."""
        self._replace_primary("db-b", 4)
        self.tracker.find_minimum(SERVICE, 10.5)
        self._replace_primary("db-c", 5)
        self.assertIsNone(self.tracker.find_minimum(SERVICE, 10.5))

    def test_position_is_not_usable_if_a_promotion_was_not_seen(self) -> None:
        self._replace_primary("db-c", 5)
        self.assertIsNone(self.tracker.find_minimum(SERVICE, 10.5))

    def test_position_of_the_term_before_is_not_usable_while_another_promotion_may_run(
        self,
    ) -> None:
        self._replace_primary("db-b", 4)
        self.tracker.find_minimum(SERVICE, 10.5)
        self.lease = None
        self.assertIsNone(self.tracker.find_minimum(SERVICE, 10.5))

    def test_position_from_after_the_end_of_the_lease_is_not_recorded(self) -> None:
        self.tracker.record(LEASE, SERVICE, 20.0, Position(3, 190))
        self.assertIsNone(self.tracker.find_minimum(SERVICE, 11.1))

    def test_switched_off_mechanism_requires_a_lease(self) -> None:
        switches = MechanismSwitches(frozenset({Mechanism.EARLIER_POSITIONS}))
        tracker = self._build_tracker(switches)
        tracker.record(LEASE, SERVICE, 11.0, Position(3, 110))
        self.lease = None
        self.assertIsNone(tracker.find_minimum(SERVICE, 10.5))

    def test_times_of_positions_are_known_by_term(self) -> None:
        self._replace_primary("db-b", 4)
        assert self.lease is not None
        self.tracker.record(self.lease, SERVICE, 12.0, Position(4, 105))
        self.assertEqual(3, self.tracker.known_history(SERVICE, 3).term)
        self.assertEqual(4, self.tracker.known_history(SERVICE, 4).term)
        self.assertIsNone(self.tracker.known_history(SERVICE, 5).newest)
