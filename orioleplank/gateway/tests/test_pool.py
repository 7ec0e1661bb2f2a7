"""How a pool backs off from a replica that lags."""

from __future__ import annotations

import testtools
from twisted.internet.defer import Deferred

from orioleplank.decision import Position
from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.gateway._pool import LAG_BACKOFF_MAX_S, LAG_BACKOFF_MIN_S, InstancePool

REQUESTED_POSITION = Position(3, 100)


class TestLagging(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        entry = InstanceEntry(
            "i-1", "books", "10.0.0.9:1", "a", InstanceState.READY, DbRole.REPLICA, 5
        )
        self.pool = InstancePool(
            entry, lambda *_: Deferred(), lambda: self.now, lambda _: 4, lambda _: None
        )

    def _count_attempts(self, seconds: float) -> int:
        """Return how many reads are sent to a replica that lags during all the `seconds`."""
        attempts, end_time = 0, self.now + seconds
        while self.now < end_time:
            if not self.pool.is_likely_behind(REQUESTED_POSITION):
                attempts += 1
                self.pool.record_lagging()
            self.now += 0.01
        return attempts

    def test_read_attempts_become_rarer_while_replica_lags(self) -> None:
        self.assertLessEqual(self._count_attempts(6.0), 3 + 6.0 / LAG_BACKOFF_MAX_S)

    def test_backoff_is_reset_after_replica_has_caught_up(self) -> None:
        self._count_attempts(6.0)
        self.now += LAG_BACKOFF_MAX_S
        self.pool.record_caught_up()
        self.pool.record_lagging()
        self.now += LAG_BACKOFF_MIN_S
        self.assertFalse(self.pool.is_likely_behind(REQUESTED_POSITION))

    def test_reads_that_accept_older_data_are_sent_to_lagging_replica(self) -> None:
        self.pool.record_position(Position(3, 80))
        self.pool.record_lagging()
        self.assertTrue(self.pool.is_likely_behind(REQUESTED_POSITION))
        self.assertFalse(self.pool.is_likely_behind(Position(3, 80)))
