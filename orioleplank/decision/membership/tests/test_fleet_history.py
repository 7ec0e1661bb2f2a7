"""Tests of what is remembered of the fleet across restores of the store."""

from __future__ import annotations

import testtools
from msgspec.structs import replace

from orioleplank.decision.membership import (
    LOST_PROXY_TIMEOUT_S,
    Fleet,
    FleetHistory,
    ProxyRecord,
)


def _record(name: str, run: int = 1, era: int = 1) -> ProxyRecord:
    return ProxyRecord(name, f"{name}-{run}", f"10.0.0.1:{name[-1]}", "a", era=era)


class FleetHistoryTestCase(testtools.TestCase):
    """A history and the fleet that goes with it."""

    def setUp(self) -> None:
        super().setUp()
        self.history = FleetHistory()
        self.fleet = Fleet()

    def apply(self, era: int, now: float, *records: ProxyRecord) -> None:
        """Apply all records that the store lists."""
        listed = {record.name: record for record in records}
        self.history, self.fleet = self.history.apply(listed, self.fleet, era, now)

    def incarnations(self) -> set[str]:
        """Return the incarnations in the fleet."""
        return {record.incarnation for record in self.fleet.proxies.values()}


class TestLostRegistrations(FleetHistoryTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.apply(1, 100.0, _record("p1"), _record("p2"))
        self.apply(2, 110.0, _record("p1"))

    def test_proxy_stays_in_the_fleet_and_may_hold_a_lease(self) -> None:
        self.assertEqual({"p1-1", "p2-1"}, self.incarnations())
        holders = self.history.find_lease_holders([_record("p1", era=2)], 2)
        self.assertEqual({"p1-1", "p2-1"}, {holder.incarnation for holder in holders})

    def test_proxy_that_registers_again_is_no_longer_lost(self) -> None:
        self.apply(2, 111.0, _record("p1", era=2), _record("p2", era=2))
        self.assertEqual({}, self.history.lost)
        self.assertEqual(2, self.fleet.proxies["p2"].era)

    def test_proxy_that_does_not_register_is_removed_once_its_leases_have_ended(self) -> None:
        self.apply(2, 110.0 + LOST_PROXY_TIMEOUT_S - 0.1, _record("p1", era=2))
        self.assertIn("p2-1", self.incarnations())
        self.apply(2, 110.0 + LOST_PROXY_TIMEOUT_S, *self.fleet.proxies.values())
        self.assertNotIn("p2-1", self.incarnations())
        self.assertEqual({}, self.history.lost)

    def test_later_incarnation_is_kept_instead_of_the_one_of_the_copy(self) -> None:
        self.apply(2, 111.0, _record("p1", era=2), _record("p2", era=2))
        self.apply(2, 112.0, _record("p1", run=2, era=2), _record("p2", era=2))
        self.apply(3, 113.0, _record("p1", era=2), _record("p2", era=2))
        self.assertEqual({"p1-2", "p2-1"}, self.incarnations())


class TestEndedIncarnations(FleetHistoryTestCase):
    def test_proxy_that_left_does_not_come_back_from_the_copy(self) -> None:
        self.apply(1, 100.0, _record("p1"), _record("p2"))
        self.apply(1, 101.0, _record("p1"))
        self.apply(2, 110.0, _record("p1"), _record("p2"))
        self.assertEqual({"p1-1"}, self.incarnations())
        self.assertEqual((), self.history.find_lease_holders([_record("p2")], 2))

    def test_proxy_that_registers_in_the_new_era_is_accepted_from_then_on(self) -> None:
        self.apply(1, 100.0, _record("p1"), _record("p2"))
        self.apply(1, 101.0, _record("p1"))
        self.apply(2, 110.0, _record("p1", era=2), _record("p2", era=2))
        self.apply(2, 111.0, _record("p1", era=2), _record("p2", era=2))
        self.apply(3, 120.0, _record("p1", era=2), _record("p2", era=2))
        self.assertEqual({"p1-1", "p2-1"}, self.incarnations())

    def test_marks_from_before_the_restore_stay_until_the_proxy_registers(self) -> None:
        marked = replace(_record("p2"), stopping=True, retired=True)
        self.apply(1, 100.0, _record("p1"), marked)
        self.apply(2, 110.0, _record("p1"), _record("p2"))
        self.assertEqual(("p1",), tuple(record.name for record in self.fleet.active()))
        self.apply(2, 111.0, _record("p1", era=2), _record("p2", era=2))
        self.assertEqual(2, len(self.fleet.active()))
