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


def _seen(
    revision: int, phase: GroupPhase = GroupPhase.STABLE, planned: bool = False
) -> VersionedGroupRecord:
    record = GroupRecord("books", phase, "db-a", 3, "entry-1", "run-1", revision, planned)
    return VersionedGroupRecord(record, revision)


def _listed(asked_at: float, seen: VersionedGroupRecord, registered: bool = True) -> LeaseTable:
    return LeaseTable().apply_listing(asked_at, {"books": seen}, registered)


class TestListing(testtools.TestCase):
    def test_lease_counts_from_when_the_listing_was_asked_for(self) -> None:
        lease = _listed(100.0, _seen(5)).lease("books")
        assert lease is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, lease.expires_at)
        self.assertTrue(lease.is_valid_at(100.0 + LEASE_DURATION_S - 0.01))
        self.assertFalse(lease.is_valid_at(100.0 + LEASE_DURATION_S))

    def test_listing_without_own_registration_gives_no_lease(self) -> None:
        lease = _listed(100.0, _seen(5), registered=False).lease("books")
        assert lease is not None
        self.assertFalse(lease.is_valid_at(0.0))

    def test_late_listing_does_not_shorten_a_lease(self) -> None:
        book = _listed(100.0, _seen(5)).apply_listing(99.0, {"books": _seen(5)}, True)
        lease = book.lease("books")
        assert lease is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, lease.expires_at)

    def test_listing_from_before_a_change_does_not_undo_it(self) -> None:
        book = _listed(100.0, _seen(5)).apply_change(_seen(6, GroupPhase.MOVING))
        book = book.apply_listing(101.0, {"books": _seen(5)}, True)
        self.assertIsNone(book.lease("books"))


class TestMove(testtools.TestCase):
    def test_moving_record_ends_the_lease(self) -> None:
        book = _listed(100.0, _seen(5)).apply_change(_seen(6, GroupPhase.MOVING))
        self.assertIsNone(book.lease("books"))
        self.assertIsNone(book.lease_at_revision("books", 5))

    def test_planned_move_lets_work_end_until_the_word_is_given(self) -> None:
        book = _listed(100.0, _seen(5)).apply_change(_seen(6, GroupPhase.MOVING, planned=True))
        self.assertIsNone(book.lease("books"))
        held = book.lease_at_revision("books", 5)
        assert held is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, held.expires_at)
        self.assertIsNone(book.release_below("books", 6).lease_at_revision("books", 5))

    def test_planned_move_keeps_the_old_end_of_the_lease(self) -> None:
        book = _listed(100.0, _seen(5)).apply_change(_seen(6, GroupPhase.MOVING, planned=True))
        book = book.apply_listing(105.0, {"books": _seen(6, GroupPhase.MOVING, planned=True)}, True)
        held = book.lease_at_revision("books", 5)
        assert held is not None
        self.assertEqual(100.0 + LEASE_DURATION_S, held.expires_at)

    def test_word_given_outlasts_a_listing_from_before(self) -> None:
        book = LeaseTable().release_below("books", 6)
        book = book.apply_listing(101.0, {"books": _seen(5)}, True)
        self.assertIsNone(book.lease("books"))

    def test_stable_record_after_a_move_gives_a_lease(self) -> None:
        book = _listed(100.0, _seen(5)).apply_change(_seen(6, GroupPhase.MOVING))
        book = book.release_below("books", 6).apply_change(_seen(8))
        lease = book.lease("books")
        assert lease is not None
        self.assertEqual(8, lease.revision)
