"""What a pool learns of its instance."""

from __future__ import annotations

import testtools
from twisted.internet.defer import Deferred

from orioleplank.decision import Position
from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.gateway._pool import LAG_BACKOFF_MAX_S, LAG_BACKOFF_MIN_S, InstancePool

WANTED = Position(3, 100)


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

    def _count_questions(self, seconds: float) -> int:
        """Return how often a replica that lags all the while is asked."""
        asked, end = 0, self.now + seconds
        while self.now < end:
            if not self.pool.is_likely_behind(WANTED):
                asked += 1
                self.pool.record_lagging()
            self.now += 0.01
        return asked

    def test_replica_that_stays_behind_is_asked_ever_less(self) -> None:
        self.assertLessEqual(self._count_questions(6.0), 3 + 6.0 / LAG_BACKOFF_MAX_S)

    def test_replica_that_caught_up_is_asked_again_soon(self) -> None:
        self._count_questions(6.0)
        self.now += LAG_BACKOFF_MAX_S
        self.pool.record_caught_up()
        self.pool.record_lagging()
        self.now += LAG_BACKOFF_MIN_S
        self.assertFalse(self.pool.is_likely_behind(WANTED))

    def test_reads_that_accept_older_data_still_go_there(self) -> None:
        self.pool.record_position(Position(3, 80))
        self.pool.record_lagging()
        self.assertTrue(self.pool.is_likely_behind(WANTED))
        self.assertFalse(self.pool.is_likely_behind(Position(3, 80)))
