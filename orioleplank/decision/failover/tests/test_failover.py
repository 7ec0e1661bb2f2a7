"""Tests of when a primary is replaced and by whom."""

from __future__ import annotations

import testtools

from orioleplank.decision import Position
from orioleplank.decision.failover import (
    InstanceReport,
    PrimaryDemoted,
    PrimaryHealth,
    PrimaryHealthy,
    PrimaryLeaving,
    PrimarySuspected,
    assess_primary,
    has_caught_up_replica,
    rank_promotion_candidates,
)
from orioleplank.decision.instances import DbRole


def _report(name: str, term: int, index: int, draining: bool = False) -> InstanceReport:
    return InstanceReport(name, DbRole.REPLICA, term, Position(term, index), draining)


class TestEvidence(testtools.TestCase):
    def test_one_failure_is_no_death(self) -> None:
        self.assertEqual(PrimaryHealthy(), assess_primary(PrimaryHealth(True, False, 5.0, 1)))

    def test_failures_in_a_moment_are_no_death(self) -> None:
        self.assertEqual(PrimaryHealthy(), assess_primary(PrimaryHealth(True, False, 0.1, 4)))

    def test_lasting_failures_are_a_death(self) -> None:
        self.assertIsInstance(assess_primary(PrimaryHealth(True, False, 0.7, 3)), PrimarySuspected)

    def test_missing_entry_is_a_death(self) -> None:
        self.assertIsInstance(assess_primary(PrimaryHealth(False, False, 0.0, 0)), PrimarySuspected)

    def test_primary_that_denies_its_lead_is_replaced_in_the_record(self) -> None:
        verdict = assess_primary(PrimaryHealth(True, False, 0.0, 0, denies_primary_role=True))
        self.assertEqual(PrimaryDemoted(), verdict)

    def test_draining_primary_is_left_in_time(self) -> None:
        self.assertEqual(PrimaryLeaving(), assess_primary(PrimaryHealth(True, True, 0.0, 0)))


class TestSuccessor(testtools.TestCase):
    def test_higher_term_wins_over_a_longer_log(self) -> None:
        reports = [_report("db-a", 2, 900), _report("db-b", 3, 100)]
        self.assertEqual(("db-b", "db-a"), rank_promotion_candidates(reports, "db-c"))

    def test_the_one_that_leaves_is_never_chosen(self) -> None:
        reports = [_report("db-a", 2, 900), _report("db-b", 2, 100)]
        self.assertEqual(("db-b",), rank_promotion_candidates(reports, "db-a"))

    def test_one_that_will_end_comes_last(self) -> None:
        reports = [_report("db-a", 2, 900, draining=True), _report("db-b", 2, 100)]
        self.assertEqual(("db-b", "db-a"), rank_promotion_candidates(reports, "db-c"))

    def test_catching_up_needs_the_whole_log(self) -> None:
        reports = [_report("db-a", 2, 900), _report("db-b", 2, 899)]
        self.assertFalse(has_caught_up_replica(reports, "db-a"))
        self.assertTrue(has_caught_up_replica([*reports, _report("db-c", 2, 900)], "db-a"))
