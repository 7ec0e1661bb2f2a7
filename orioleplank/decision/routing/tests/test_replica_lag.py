"""Tests of the prediction of when a replica will have a position."""

from __future__ import annotations

import testtools

from orioleplank.decision import Position
from orioleplank.decision.group import PositionHistory
from orioleplank.decision.routing import ReplicaReports

WRITE_INTERVAL_S = 0.05
TERM = 3


def _position_at(time: float) -> Position:
    """Return the last position that the primary had written by a time, 20 entries a second."""
    return Position(TERM, max(0, round(time / WRITE_INTERVAL_S)))


class _Replica:
    """A replica that reports to one proxy, and the positions of the primary known there."""

    def __init__(self) -> None:
        self.history = PositionHistory()
        self.reports = ReplicaReports()
        self.now = 0.0

    def run(self, seconds: float, lag: float, interval: float = 0.1) -> None:
        """Let the primary write and the replica report positions that are `lag` seconds old."""
        self.report_at(seconds, lambda now: now - lag, interval)

    def stand_still(self, seconds: float, at: float) -> None:
        """Let the primary write while the replica keeps the position of time `at`."""
        self.report_at(seconds, lambda _: at, 0.1)

    def report_at(self, seconds: float, replica_time: object, interval: float) -> None:
        assert callable(replica_time)
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += interval
            self.history.add(self.now, _position_at(self.now))
            self.reports.add(self.now, _position_at(replica_time(self.now)), self.history)

    def wait_for(self, time: float) -> float | None:
        """Return how long the replica is expected to take for the position of a time."""
        expected_at = self.reports.expected_at(_position_at(time), self.history, self.now)
        return None if expected_at is None else expected_at - self.now


class TestPrediction(testtools.TestCase):
    def test_replica_that_stays_behind_has_a_position_after_its_lag(self) -> None:
        replica = _Replica()
        replica.run(6.0, lag=2.9)
        wait = replica.wait_for(replica.now - 2.5)
        assert wait is not None
        self.assertAlmostEqual(0.4, wait, delta=0.11)

    def test_reported_position_is_there(self) -> None:
        replica = _Replica()
        replica.run(6.0, lag=2.9)
        self.assertTrue(replica.reports.has(_position_at(replica.now - 2.9)))
        self.assertFalse(replica.reports.has(_position_at(replica.now - 2.5)))

    def test_estimate_follows_a_growing_lag(self) -> None:
        replica = _Replica()
        replica.run(4.0, lag=1.0)
        start = replica.now
        # It applies half of what the primary writes.
        replica.report_at(2.0, lambda now: start - 1.0 + (now - start) / 2, 0.1)
        wait = replica.wait_for(replica.now - 1.5)
        assert wait is not None
        self.assertAlmostEqual(0.5, wait, delta=0.11)

    def test_estimate_follows_a_shrinking_lag_at_once(self) -> None:
        replica = _Replica()
        replica.run(6.0, lag=2.9)
        replica.run(0.1, lag=0.05)
        wait = replica.wait_for(replica.now)
        assert wait is not None
        self.assertAlmostEqual(0.05, wait, delta=0.11)

    def test_estimate_expires_without_reports(self) -> None:
        replica = _Replica()
        replica.run(6.0, lag=2.9)
        replica.now += 3.1
        self.assertIsNone(replica.wait_for(replica.now - 5.0))

    def test_replica_that_receives_nothing_is_not_predicted(self) -> None:
        replica = _Replica()
        replica.run(4.0, lag=0.06)
        replica.stand_still(1.0, at=replica.now)
        self.assertIsNone(replica.wait_for(replica.now - 0.2))

    def test_replica_that_receives_again_is_predicted_again(self) -> None:
        replica = _Replica()
        replica.run(4.0, lag=0.06)
        replica.stand_still(2.0, at=replica.now)
        replica.run(0.6, lag=0.3)
        self.assertIsNotNone(replica.wait_for(replica.now - 0.1))

    def test_idle_primary_does_not_make_a_replica_stall(self) -> None:
        replica = _Replica()
        replica.run(4.0, lag=0.06)
        idle_since = replica.now
        for _ in range(30):
            replica.now += 0.1
            replica.history.add(replica.now, _position_at(idle_since))
            replica.reports.add(replica.now, _position_at(idle_since), replica.history)
        replica.now += 0.05
        replica.history.add(replica.now, Position(TERM, _position_at(idle_since).index + 1))
        position = Position(TERM, _position_at(idle_since).index + 1)
        self.assertIsNotNone(replica.reports.expected_at(position, replica.history, replica.now))

    def test_position_of_another_term_is_not_predicted(self) -> None:
        replica = _Replica()
        replica.run(4.0, lag=1.0)
        position = Position(TERM + 1, 5)
        self.assertIsNone(replica.reports.expected_at(position, replica.history, replica.now))

    def test_unknown_positions_of_the_primary_give_no_prediction(self) -> None:
        """A proxy that has just started knows positions of the last second only."""
        replica = _Replica()
        replica.history.add(9.9, _position_at(9.9))
        replica.history.add(10.0, _position_at(10.0))
        replica.reports.add(10.0, _position_at(7.0), replica.history)
        replica.now = 10.0
        self.assertIsNone(replica.wait_for(10.0))

    def test_wrong_predictions_are_repeated_ever_more_rarely(self) -> None:
        """Otherwise a wrong estimate sends reads as fast as the replica refuses them."""
        replica, attempts = _Replica(), 0
        replica.run(4.0, lag=1.0)
        position, start = _position_at(replica.now - 0.9), replica.now
        while replica.now < start + 2.0:
            replica.now += 0.01
            expected_at = replica.reports.expected_at(position, replica.history, replica.now)
            if expected_at is not None and expected_at <= replica.now:
                attempts += 1
                replica.reports.record_miss(replica.now)
        self.assertLessEqual(attempts, 6)


class TestOvertakenReplies(testtools.TestCase):
    """Replies on several connections arrive out of order."""

    def test_lower_position_that_arrives_shortly_after_is_ignored(self) -> None:
        reports, history = ReplicaReports(), PositionHistory()
        reports.add(1.0, Position(TERM, 20), history)
        reports.add(1.01, Position(TERM, 19), history)
        self.assertTrue(reports.has(Position(TERM, 20)))

    def test_lower_position_counts_once_the_previous_one_is_older(self) -> None:
        """A promotion may cut the replica's log."""
        reports, history = ReplicaReports(), PositionHistory()
        reports.add(1.0, Position(TERM, 20), history)
        reports.add(1.5, Position(TERM, 19), history)
        self.assertFalse(reports.has(Position(TERM, 20)))


class TestMemory(testtools.TestCase):
    """A busy replica must not cost memory for each of its replies."""

    def test_few_reports_are_kept(self) -> None:
        reports, history = ReplicaReports(), PositionHistory()
        for number in range(10_000):
            reports.add(number * 0.001, Position(TERM, number), history)
        self.assertLessEqual(len(reports._reports), 32)
