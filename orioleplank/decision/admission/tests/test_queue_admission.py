"""Whether work may wait for a connection."""

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


class TestWait(testtools.TestCase):
    def test_short_queue_is_joined(self) -> None:
        self.assertEqual(Admitted(), decide_admission(QueueLoad(3, 2, 0.03).expected_wait, 1.0))

    def test_work_that_would_be_too_late_is_refused_with_a_time_to_return(self) -> None:
        verdict = decide_admission(QueueLoad(79, 2, 0.03).expected_wait, 1.0)
        assert isinstance(verdict, AdmissionRefused)
        self.assertAlmostEqual(0.7, verdict.retry_after)

    def test_less_time_left_means_a_shorter_queue(self) -> None:
        load = QueueLoad(19, 2, 0.03)
        self.assertIsInstance(decide_admission(load.expected_wait, 1.0), Admitted)
        self.assertIsInstance(decide_admission(load.expected_wait, 0.3), AdmissionRefused)

    @given(st.integers(0, 500), st.integers(0, 50), st.floats(0, 2), st.floats(0, 10))
    def test_whoever_is_told_to_return_is_told_a_positive_time(
        self, ahead: int, connections: int, hold: float, left: float
    ) -> None:
        verdict = decide_admission(QueueLoad(ahead, connections, hold).expected_wait, left)
        if isinstance(verdict, AdmissionRefused):
            self.assertGreater(verdict.retry_after, 0)

    def test_mean_follows_what_is_seen(self) -> None:
        mean = 0.03
        for _ in range(50):
            mean = update_mean_hold_time(mean, 0.5)
        self.assertAlmostEqual(0.5, mean, delta=0.01)


class TestHopelessWaiters(testtools.TestCase):
    def test_only_those_who_will_be_too_late_are_refused(self) -> None:
        load = QueueLoad(0, 1, 0.1)
        self.assertEqual((2,), find_expiring_waiters((1.0, 1.0, 0.05, 1.0), load))

    def test_whoever_is_refused_makes_room_for_those_behind(self) -> None:
        load = QueueLoad(0, 1, 0.1)
        self.assertEqual((0, 1), find_expiring_waiters((0.05, 0.05, 0.15, 0.25), load))

    def test_nobody_is_refused_while_there_is_time(self) -> None:
        self.assertEqual((), find_expiring_waiters((1.0,) * 10, QueueLoad(0, 2, 0.1)))
