"""Tests of when a primary is replaced and by which instance."""

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


class TestAssessPrimary(testtools.TestCase):
    def test_single_failure_does_not_raise_suspicion(self) -> None:
        self.assertEqual(PrimaryHealthy(), assess_primary(PrimaryHealth(True, False, 5.0, 1)))

    def test_failures_within_a_short_time_do_not_raise_suspicion(self) -> None:
        self.assertEqual(PrimaryHealthy(), assess_primary(PrimaryHealth(True, False, 0.1, 4)))

    def test_persistent_failures_raise_suspicion(self) -> None:
        self.assertIsInstance(assess_primary(PrimaryHealth(True, False, 0.7, 3)), PrimarySuspected)

    def test_missing_entry_raises_suspicion(self) -> None:
        self.assertIsInstance(assess_primary(PrimaryHealth(False, False, 0.0, 0)), PrimarySuspected)

    def test_primary_that_denies_its_role_is_assessed_as_demoted(self) -> None:
        assessment = assess_primary(PrimaryHealth(True, False, 0.0, 0, denies_primary_role=True))
        self.assertEqual(PrimaryDemoted(), assessment)

    def test_draining_primary_is_assessed_as_leaving(self) -> None:
        self.assertEqual(PrimaryLeaving(), assess_primary(PrimaryHealth(True, True, 0.0, 0)))


class TestPromotionCandidates(testtools.TestCase):
    def test_higher_term_ranks_above_a_longer_log(self) -> None:
        reports = [_report("db-a", 2, 900), _report("db-b", 3, 100)]
        self.assertEqual(("db-b", "db-a"), rank_promotion_candidates(reports, "db-c"))

    def test_old_primary_is_not_a_candidate(self) -> None:
        reports = [_report("db-a", 2, 900), _report("db-b", 2, 100)]
        self.assertEqual(("db-b",), rank_promotion_candidates(reports, "db-a"))

    def test_draining_instance_ranks_last(self) -> None:
        reports = [_report("db-a", 2, 900, draining=True), _report("db-b", 2, 100)]
        self.assertEqual(("db-b", "db-a"), rank_promotion_candidates(reports, "db-c"))

    def test_replica_has_caught_up_only_with_the_whole_log(self) -> None:
        reports = [_report("db-a", 2, 900), _report("db-b", 2, 899)]
        self.assertFalse(has_caught_up_replica(reports, "db-a"))
        self.assertTrue(has_caught_up_replica([*reports, _report("db-c", 2, 900)], "db-a"))
