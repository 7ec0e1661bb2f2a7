"""Tests of when a primary is replaced and by whom."""

from __future__ import annotations

import testtools

from orioleplank.decision import Position
from orioleplank.decision.instances import DbRole
from orioleplank.decision.keeper import (
    Deposed,
    Evidence,
    FoundDead,
    InstanceReport,
    Leaving,
    StillThere,
    choose_successors,
    has_caught_up,
    judge_primary,
)


def _report(name: str, term: int, index: int, draining: bool = False) -> InstanceReport:
    return InstanceReport(name, DbRole.REPLICA, term, Position(term, index), draining)


class TestEvidence(testtools.TestCase):
    def test_one_failure_is_no_death(self) -> None:
        self.assertEqual(StillThere(), judge_primary(Evidence(True, False, 5.0, 1)))

    def test_failures_in_a_moment_are_no_death(self) -> None:
        self.assertEqual(StillThere(), judge_primary(Evidence(True, False, 0.1, 4)))

    def test_lasting_failures_are_a_death(self) -> None:
        self.assertIsInstance(judge_primary(Evidence(True, False, 0.7, 3)), FoundDead)

    def test_missing_entry_is_a_death(self) -> None:
        self.assertIsInstance(judge_primary(Evidence(False, False, 0.0, 0)), FoundDead)

    def test_primary_that_denies_its_lead_is_replaced_in_the_record(self) -> None:
        verdict = judge_primary(Evidence(True, False, 0.0, 0, denies_lead=True))
        self.assertEqual(Deposed(), verdict)

    def test_draining_primary_is_left_in_time(self) -> None:
        self.assertEqual(Leaving(), judge_primary(Evidence(True, True, 0.0, 0)))


class TestSuccessor(testtools.TestCase):
    def test_higher_term_wins_over_a_longer_log(self) -> None:
        reports = [_report("db-a", 2, 900), _report("db-b", 3, 100)]
        self.assertEqual(("db-b", "db-a"), choose_successors(reports, "db-c"))

    def test_the_one_that_leaves_is_never_chosen(self) -> None:
        reports = [_report("db-a", 2, 900), _report("db-b", 2, 100)]
        self.assertEqual(("db-b",), choose_successors(reports, "db-a"))

    def test_one_that_will_end_comes_last(self) -> None:
        reports = [_report("db-a", 2, 900, draining=True), _report("db-b", 2, 100)]
        self.assertEqual(("db-b", "db-a"), choose_successors(reports, "db-c"))

    def test_catching_up_needs_the_whole_log(self) -> None:
        reports = [_report("db-a", 2, 900), _report("db-b", 2, 899)]
        self.assertFalse(has_caught_up(reports, "db-a"))
        self.assertTrue(has_caught_up([*reports, _report("db-c", 2, 900)], "db-a"))
