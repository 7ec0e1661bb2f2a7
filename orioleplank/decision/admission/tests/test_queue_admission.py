"""Tests of admission control for the connection queue."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from orioleplank.decision.admission import (
    AdmissionRefused,
    Admitted,
    QueueLoad,
    decide_admission,
    find_expiring_waiters,
    update_mean_hold_time,
)


class TestDecideAdmission(testtools.TestCase):
    def test_request_is_admitted_to_a_short_queue(self) -> None:
        self.assertEqual(Admitted(), decide_admission(QueueLoad(3, 2, 0.03).expected_wait, 1.0))

    def test_request_that_would_wait_too_long_is_refused_with_a_retry_delay(self) -> None:
        decision = decide_admission(QueueLoad(79, 2, 0.03).expected_wait, 1.0)
        assert isinstance(decision, AdmissionRefused)
        self.assertAlmostEqual(0.7, decision.retry_after)

    def test_longest_admitted_wait_shrinks_with_the_time_left(self) -> None:
        load = QueueLoad(19, 2, 0.03)
        self.assertIsInstance(decide_admission(load.expected_wait, 1.0), Admitted)
        self.assertIsInstance(decide_admission(load.expected_wait, 0.3), AdmissionRefused)

    @given(st.integers(0, 500), st.integers(0, 50), st.floats(0, 2), st.floats(0, 10))
    def test_retry_delay_is_always_positive(
        self, ahead: int, connections: int, hold_time: float, time_left: float
    ) -> None:
        decision = decide_admission(
            QueueLoad(ahead, connections, hold_time).expected_wait, time_left
        )
        if isinstance(decision, AdmissionRefused):
            self.assertGreater(decision.retry_after, 0)

    def test_mean_hold_time_converges_to_the_samples(self) -> None:
        mean = 0.03
        for _ in range(50):
            mean = update_mean_hold_time(mean, 0.5)
        self.assertAlmostEqual(0.5, mean, delta=0.01)


class TestFindExpiringWaiters(testtools.TestCase):
    def test_only_waiters_that_would_time_out_expire(self) -> None:
        load = QueueLoad(0, 1, 0.1)
        self.assertEqual((2,), find_expiring_waiters((1.0, 1.0, 0.05, 1.0), load))

    def test_expiring_waiters_do_not_count_for_those_behind(self) -> None:
        load = QueueLoad(0, 1, 0.1)
        self.assertEqual((0, 1), find_expiring_waiters((0.05, 0.05, 0.15, 0.25), load))

    def test_no_waiter_expires_while_all_have_enough_time(self) -> None:
        self.assertEqual((), find_expiring_waiters((1.0,) * 10, QueueLoad(0, 2, 0.1)))
