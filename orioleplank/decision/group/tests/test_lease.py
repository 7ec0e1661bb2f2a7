"""Tests of leases on primaries."""

from __future__ import annotations

import testtools

from orioleplank.decision.group import (
    LEASE_DURATION_S,
    GroupPhase,
    GroupRecord,
    LeaseTable,
    VersionedGroupRecord,
)


def _versioned_record(
    revision: int, phase: GroupPhase = GroupPhase.STABLE, planned: bool = False
) -> VersionedGroupRecord:
    record = GroupRecord("books", phase, "db-a", 3, "entry-1", "run-1", revision, planned)
    return VersionedGroupRecord(record, revision)


def _table_after_listing(
    requested_at: float, versioned: VersionedGroupRecord, registered: bool = True
) -> LeaseTable:
    return LeaseTable().apply_listing(requested_at, {"books": versioned}, registered)


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
            99.0, {"books": _versioned_record(5)}, True
        )
        lease = table.lease("books")
        assert lease is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, lease.expires_at)

    def test_listing_older_than_a_change_does_not_undo_it(self) -> None:
        table = _table_after_listing(100.0, _versioned_record(5)).apply_change(
            _versioned_record(6, GroupPhase.MOVING)
        )
        table = table.apply_listing(101.0, {"books": _versioned_record(5)}, True)
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
            105.0, {"books": _versioned_record(6, GroupPhase.MOVING, planned=True)}, True
        )
        draining_lease = table.lease_at_revision("books", 5)
        assert draining_lease is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, draining_lease.expires_at)

    def test_released_lease_is_not_restored_by_an_older_listing(self) -> None:
        table = LeaseTable().release_below("books", 6)
        table = table.apply_listing(101.0, {"books": _versioned_record(5)}, True)
        self.assertIsNone(table.lease("books"))

    def test_stable_record_after_a_primary_change_grants_a_lease(self) -> None:
        table = _table_after_listing(100.0, _versioned_record(5)).apply_change(
            _versioned_record(6, GroupPhase.MOVING)
        )
        table = table.release_below("books", 6).apply_change(_versioned_record(8))
        lease = table.lease("books")
        assert lease is not None
        self.assertEqual(8, lease.revision)
