"""When a primary that answers its probes counts as failing its work."""

from __future__ import annotations

import testtools

from orioleplank.decision.failover import (
    WORK_FAILURE_COOLDOWN_S,
    PrimaryFailingWork,
    PrimaryHealth,
    PrimaryHealthy,
    PrimaryLeaving,
    WorkHistory,
    WorkStatus,
    assess_primary,
    is_work_failure_confirmed,
)
from orioleplank.decision.failover._work_history import (
    UNCONFIRMED_WORK_FAILURE_S,
    WORK_FAILURE_TIMEOUT_S,
    WORK_HISTORY_S,
)

SUCCEEDING = WorkStatus(succeeds=True)
FAILING = WorkStatus(failing_for=1.0)
UNKNOWN = WorkStatus()


class TestHistory(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.history, self.now = WorkHistory(), 0.0

    def _run_work(self, seconds: float, failed_every: int, interval: float = 0.05) -> WorkStatus:
        """Record statements of which each n-th one fails; 0 for none, 1 for all."""
        end, number = self.now + seconds, 0
        while self.now < end:
            number += 1
            failed = failed_every > 0 and number % failed_every == 0
            self.history.record(self.now, not failed)
            self.now += interval
        return self.history.status(self.now)

    def test_failing_time_counts_from_the_first_failure(self) -> None:
        self._run_work(2.0, 0)
        status = self._run_work(2.0, 1)
        self.assertAlmostEqual(2.0, status.failing_for, delta=0.2)
        self.assertFalse(status.succeeds)

    def test_first_success_in_a_row_ends_the_failure(self) -> None:
        self._run_work(1.0, 1)
        self.assertEqual(0.0, self._run_work(0.2, 0).failing_for)

    # Otherwise a primary that loses one answer in thirty would be replaced.
    def test_few_failures_among_many_successes_are_no_failure(self) -> None:
        self.assertEqual(SUCCEEDING, self._run_work(5.0, 30))
        self.assertEqual(SUCCEEDING, self._run_work(5.0, 3))

    # All connections are reset at one moment, and the next statements succeed.
    def test_failures_at_one_moment_are_no_failure(self) -> None:
        for _ in range(30):
            self.history.record(self.now, False)
        self.assertEqual(0.0, self._run_work(1.0, 0, interval=0.1).failing_for)

    def test_few_outcomes_show_nothing(self) -> None:
        self.assertEqual(UNKNOWN, self._run_work(0.15, 1))

    def test_outcomes_are_forgotten(self) -> None:
        self._run_work(1.0, 1)
        self.assertEqual(UNKNOWN, self.history.status(self.now + WORK_HISTORY_S + 0.1))


class TestConfirmation(testtools.TestCase):
    def test_failure_at_another_proxy_confirms(self) -> None:
        self.assertTrue(is_work_failure_confirmed(FAILING, [UNKNOWN, FAILING]))

    # A cut or a faulty path between one proxy and the primary is no reason to replace it.
    def test_success_at_any_other_proxy_rejects(self) -> None:
        own = WorkStatus(failing_for=60.0)
        self.assertFalse(is_work_failure_confirmed(own, [FAILING, SUCCEEDING]))

    def test_without_evidence_of_others_the_failure_has_to_last(self) -> None:
        for peers in ([], [UNKNOWN]):
            self.assertFalse(is_work_failure_confirmed(FAILING, peers))
            lasting = WorkStatus(failing_for=UNCONFIRMED_WORK_FAILURE_S)
            self.assertTrue(is_work_failure_confirmed(lasting, peers))


class TestAssessment(testtools.TestCase):
    def _assess(self, failing_for: float, leading_for: float, leaving: bool = False) -> object:
        return assess_primary(
            PrimaryHealth(
                True, leaving, 0.0, 0, work_failing_for=failing_for, leading_for=leading_for
            )
        )

    def test_primary_that_fails_its_work_is_assessed_as_such(self) -> None:
        assessment = self._assess(WORK_FAILURE_TIMEOUT_S, float("inf"))
        self.assertIsInstance(assessment, PrimaryFailingWork)

    def test_short_failure_is_no_reason(self) -> None:
        self.assertEqual(PrimaryHealthy(), self._assess(0.5, float("inf")))

    # If all instances fail, the service would move from one to the next without end.
    def test_new_primary_is_not_replaced_for_its_work(self) -> None:
        self.assertEqual(PrimaryHealthy(), self._assess(5.0, WORK_FAILURE_COOLDOWN_S - 0.1))

    def test_draining_primary_is_switched_over_as_before(self) -> None:
        self.assertEqual(PrimaryLeaving(), self._assess(5.0, float("inf"), leaving=True))
