"""Tests of leases on primaries."""

from __future__ import annotations

import testtools

from orioleplank.decision.group import (
    LEASE_S,
    GroupRecord,
    LeaseBook,
    Phase,
    SeenRecord,
)


def _seen(revision: int, phase: Phase = Phase.STABLE, planned: bool = False) -> SeenRecord:
    record = GroupRecord("books", phase, "db-a", 3, "entry-1", "run-1", revision, planned)
    return SeenRecord(record, revision)


def _listed(asked_at: float, seen: SeenRecord, registered: bool = True) -> LeaseBook:
    return LeaseBook().take_listing(asked_at, {"books": seen}, registered)


class TestListing(testtools.TestCase):
    def test_lease_counts_from_when_the_listing_was_asked_for(self) -> None:
        lease = _listed(100.0, _seen(5)).lease("books")
        assert lease is not None
        self.assertEqual(100.0 + LEASE_S, lease.ends_at)
        self.assertTrue(lease.covers(100.0 + LEASE_S - 0.01))
        self.assertFalse(lease.covers(100.0 + LEASE_S))

    def test_listing_without_own_registration_gives_no_lease(self) -> None:
        lease = _listed(100.0, _seen(5), registered=False).lease("books")
        assert lease is not None
        self.assertFalse(lease.covers(0.0))

    def test_late_listing_does_not_shorten_a_lease(self) -> None:
        book = _listed(100.0, _seen(5)).take_listing(99.0, {"books": _seen(5)}, True)
        lease = book.lease("books")
        assert lease is not None
        self.assertEqual(100.0 + LEASE_S, lease.ends_at)

    def test_listing_from_before_a_change_does_not_undo_it(self) -> None:
        book = _listed(100.0, _seen(5)).take_change(_seen(6, Phase.MOVING))
        book = book.take_listing(101.0, {"books": _seen(5)}, True)
        self.assertIsNone(book.lease("books"))


class TestMove(testtools.TestCase):
    def test_moving_record_ends_the_lease(self) -> None:
        book = _listed(100.0, _seen(5)).take_change(_seen(6, Phase.MOVING))
        self.assertIsNone(book.lease("books"))
        self.assertIsNone(book.held("books", 5))

    def test_planned_move_lets_work_end_until_the_word_is_given(self) -> None:
        book = _listed(100.0, _seen(5)).take_change(_seen(6, Phase.MOVING, planned=True))
        self.assertIsNone(book.lease("books"))
        held = book.held("books", 5)
        assert held is not None
        self.assertEqual(100.0 + LEASE_S, held.ends_at)
        self.assertIsNone(book.give_up("books", 6).held("books", 5))

    def test_planned_move_keeps_the_old_end_of_the_lease(self) -> None:
        book = _listed(100.0, _seen(5)).take_change(_seen(6, Phase.MOVING, planned=True))
        book = book.take_listing(105.0, {"books": _seen(6, Phase.MOVING, planned=True)}, True)
        held = book.held("books", 5)
        assert held is not None
        self.assertEqual(100.0 + LEASE_S, held.ends_at)

    def test_word_given_outlasts_a_listing_from_before(self) -> None:
        book = LeaseBook().give_up("books", 6)
        book = book.take_listing(101.0, {"books": _seen(5)}, True)
        self.assertIsNone(book.lease("books"))

    def test_stable_record_after_a_move_gives_a_lease(self) -> None:
        book = _listed(100.0, _seen(5)).take_change(_seen(6, Phase.MOVING))
        book = book.give_up("books", 6).take_change(_seen(8))
        lease = book.lease("books")
        assert lease is not None
        self.assertEqual(8, lease.revision)
