"""Tests of leases on primaries."""

from __future__ import annotations

import testtools

from orioleplank.decision import build_revision
from orioleplank.decision.group import (
    LEASE_DURATION_S,
    GroupPhase,
    GroupRecord,
    LeaseTable,
    PrimaryUnknown,
    RecordInForce,
    RecordLost,
    RecordMissing,
    RecordNotListed,
    RecordState,
    VersionedGroupRecord,
    assess_record,
)


def _versioned_record(
    revision: int, phase: GroupPhase = GroupPhase.STABLE, planned: bool = False
) -> VersionedGroupRecord:
    record = GroupRecord("books", phase, "db-a", 3, "entry-1", "run-1", revision, planned)
    return VersionedGroupRecord(record, revision)


def _table_after_listing(
    requested_at: float, versioned: VersionedGroupRecord, registered: bool = True
) -> LeaseTable:
    return LeaseTable().apply_listing(
        requested_at, {"books": versioned}, registered, versioned.revision
    )


class TestListing(testtools.TestCase):
    def test_lease_starts_when_the_listing_was_requested(self) -> None:
        lease = _table_after_listing(100.0, _versioned_record(5)).lease("books")
        assert lease is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, lease.expires_at)
        self.assertTrue(lease.is_valid_at(100.0 + LEASE_DURATION_S - 0.01))
        self.assertFalse(lease.is_valid_at(100.0 + LEASE_DURATION_S))

    def test_lease_that_a_listing_grants_to_an_unregistered_proxy_has_expired(self) -> None:
        lease = _table_after_listing(100.0, _versioned_record(5), registered=False).lease("books")
        assert lease is not None
        self.assertFalse(lease.is_valid_at(0.0))

    def test_listing_that_was_requested_earlier_does_not_shorten_a_lease(self) -> None:
        table = _table_after_listing(100.0, _versioned_record(5)).apply_listing(
            99.0, {"books": _versioned_record(5)}, True, 5
        )
        lease = table.lease("books")
        assert lease is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, lease.expires_at)

    def test_listing_older_than_a_change_does_not_undo_it(self) -> None:
        table = _table_after_listing(100.0, _versioned_record(5)).apply_change(
            _versioned_record(6, GroupPhase.MOVING)
        )
        table = table.apply_listing(101.0, {"books": _versioned_record(5)}, True, 5)
        self.assertIsNone(table.lease("books"))


class TestPrimaryChange(testtools.TestCase):
    def test_moving_record_ends_the_lease(self) -> None:
        table = _table_after_listing(100.0, _versioned_record(5)).apply_change(
            _versioned_record(6, GroupPhase.MOVING)
        )
        self.assertIsNone(table.lease("books"))
        self.assertIsNone(table.lease_at_revision("books", 5))

    def test_switchover_keeps_the_lease_for_running_statements_until_it_is_released(self) -> None:
        table = _table_after_listing(100.0, _versioned_record(5)).apply_change(
            _versioned_record(6, GroupPhase.MOVING, planned=True)
        )
        self.assertIsNone(table.lease("books"))
        draining_lease = table.lease_at_revision("books", 5)
        assert draining_lease is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, draining_lease.expires_at)
        self.assertIsNone(table.release_below("books", 6).lease_at_revision("books", 5))

    def test_switchover_does_not_extend_the_lease_for_running_statements(self) -> None:
        table = _table_after_listing(100.0, _versioned_record(5)).apply_change(
            _versioned_record(6, GroupPhase.MOVING, planned=True)
        )
        table = table.apply_listing(
            105.0, {"books": _versioned_record(6, GroupPhase.MOVING, planned=True)}, True, 6
        )
        draining_lease = table.lease_at_revision("books", 5)
        assert draining_lease is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, draining_lease.expires_at)

    def test_released_lease_is_not_restored_by_an_older_listing(self) -> None:
        table = LeaseTable().release_below("books", 6)
        table = table.apply_listing(101.0, {"books": _versioned_record(5)}, True, 5)
        self.assertIsNone(table.lease("books"))

    def test_stable_record_after_a_primary_change_grants_a_lease(self) -> None:
        table = _table_after_listing(100.0, _versioned_record(5)).apply_change(
            _versioned_record(6, GroupPhase.MOVING)
        )
        table = table.release_below("books", 6).apply_change(_versioned_record(8))
        lease = table.lease("books")
        assert lease is not None
        self.assertEqual(8, lease.revision)


def _record_of_era(
    era: int, number: int, phase: GroupPhase = GroupPhase.STABLE, primary: str = "db-a"
) -> VersionedGroupRecord:
    """Return a record that was written and read in an era."""
    record = GroupRecord("books", phase, primary, 3, "entry-1", "run-1", number, era=era)
    return VersionedGroupRecord(record, build_revision(era, number))


def _record_of_copy(number: int, primary: str = "db-a") -> VersionedGroupRecord:
    """Return a record that was written in era 1 and read in era 2."""
    record = _record_of_era(1, number, primary=primary).record
    return VersionedGroupRecord(record, build_revision(2, number))


def _list(table: LeaseTable, requested_at: float, versioned: VersionedGroupRecord) -> LeaseTable:
    return table.apply_listing(requested_at, {"books": versioned}, True, versioned.revision)


class TestRestore(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.before = _list(LeaseTable(), 100.0, _record_of_era(1, 50, primary="db-b"))

    def test_record_of_the_copy_grants_no_lease(self) -> None:
        self.assertIsNone(_list(LeaseTable(), 100.0, _record_of_copy(40)).lease("books"))

    def test_lease_of_the_time_before_stays_and_is_not_renewed(self) -> None:
        table = _list(self.before, 104.0, _record_of_copy(40))
        lease = _list(table, 106.0, _record_of_copy(40)).lease("books")
        assert lease is not None
        self.assertEqual(("db-b", 100.0 + LEASE_DURATION_S), (lease.primary, lease.expires_at))
        self.assertEqual(lease, table.lease_at_revision("books", build_revision(1, 50)))

    def test_lease_is_not_renewed_by_a_listing_without_its_record(self) -> None:
        table = self.before.apply_listing(104.0, {}, True, build_revision(2, 40))
        lease = table.lease("books")
        assert lease is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, lease.expires_at)

    def test_record_written_again_renews_the_lease(self) -> None:
        table = _list(self.before, 104.0, _record_of_copy(40))
        table = _list(table, 105.0, _record_of_era(2, 41, primary="db-b"))
        lease = table.lease("books")
        assert lease is not None
        self.assertEqual(105.0 + LEASE_DURATION_S, lease.expires_at)
        self.assertIsNotNone(table.lease_at_revision("books", build_revision(1, 50)))

    def test_claim_of_the_new_era_ends_the_lease_of_the_time_before(self) -> None:
        table = _list(self.before, 104.0, _record_of_copy(40))
        table = table.apply_change(_record_of_era(2, 41, GroupPhase.MOVING))
        self.assertIsNone(table.lease("books"))
        self.assertIsNone(table.lease_at_revision("books", build_revision(1, 50)))

    def test_release_in_the_new_era_covers_the_lease_of_the_time_before(self) -> None:
        table = _list(self.before, 104.0, _record_of_copy(40))
        self.assertIsNone(table.release_below("books", build_revision(2, 3)).lease("books"))

    def test_late_listing_of_the_time_before_renews_nothing(self) -> None:
        table = _list(self.before, 104.0, _record_of_copy(40))
        table = _list(table, 105.0, _record_of_era(2, 41, primary="db-b"))
        self.assertEqual(table, _list(table, 106.0, _record_of_era(1, 50, primary="db-b")))

    def test_record_written_over_in_the_same_era_by_a_claim_of_the_time_before(self) -> None:
        """A write that was held up may meet the number that its condition names once more."""
        table = _list(self.before, 105.0, _record_of_era(2, 41, primary="db-b"))
        table = _list(table, 107.0, _record_of_copy(42))
        lease = _list(table, 109.0, _record_of_copy(42)).lease("books")
        assert lease is not None
        self.assertEqual(("db-b", 105.0 + LEASE_DURATION_S), (lease.primary, lease.expires_at))


class TestRecordState(testtools.TestCase):
    def _assess(self, table: LeaseTable, now: float = 105.0) -> RecordState:
        return assess_record(table, "books", now)

    def setUp(self) -> None:
        super().setUp()
        self.before = _list(LeaseTable(), 100.0, _record_of_era(1, 50, primary="db-b"))
        self.copy = _record_of_copy(40)

    def test_group_without_a_record(self) -> None:
        self.assertEqual(RecordMissing(), self._assess(LeaseTable()))

    def test_record_in_force(self) -> None:
        self.assertEqual(
            RecordInForce(_record_of_era(1, 50, primary="db-b")), self._assess(self.before)
        )

    def test_holder_of_a_lease_knows_the_primary(self) -> None:
        state = self._assess(_list(self.before, 104.0, self.copy))
        assert isinstance(state, RecordLost)
        self.assertEqual(("db-b", self.copy), (state.lease.primary, state.versioned))

    def test_primary_is_unknown_once_the_lease_has_ended(self) -> None:
        table = _list(self.before, 104.0, self.copy)
        self.assertEqual(PrimaryUnknown(self.copy, False), self._assess(table, 109.0))

    def test_primary_is_unknown_if_it_was_being_replaced(self) -> None:
        table = self.before.apply_change(_record_of_era(1, 51, GroupPhase.MOVING))
        table = _list(table, 104.0, self.copy)
        self.assertEqual(PrimaryUnknown(self.copy, True), self._assess(table))

    def test_new_process_knows_no_primary(self) -> None:
        state = self._assess(_list(LeaseTable(), 104.0, self.copy))
        self.assertEqual(PrimaryUnknown(self.copy, False), state)

    def test_listing_of_the_new_era_is_awaited(self) -> None:
        other = GroupRecord("maps", GroupPhase.STABLE, "db-m", 1, "p", "r", era=2)
        table = self.before.apply_change(VersionedGroupRecord(other, build_revision(2, 41)))
        self.assertEqual(RecordNotListed(), self._assess(table))
