"""Reads that wait for a replica, and the replies that end their waits."""

from __future__ import annotations

from typing import Any
from unittest import mock

import testtools
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from orioleplank.decision import Position
from orioleplank.decision.group import Lease, PositionHistory
from orioleplank.decision.routing import ReplicaReports
from orioleplank.gateway._replica_progress import ReplicaProgress

SERVICE = "books"
POSITION = Position(3, 100)


class TestWait(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        cluster_state: Any = mock.Mock()
        cluster_state.lease.return_value = Lease("db-a", 3, 100.0, 7)
        cluster_state.lease_clock = self.clock.seconds
        cluster_state.positions.known_history.return_value = PositionHistory()
        cluster_state.pools = {}
        self.progress = ReplicaProgress(cluster_state, self.clock)
        self.ended: list[None] = []

    def _wait(self, seconds: float) -> Deferred[None]:
        waiting = Deferred.fromCoroutine(self.progress.wait(SERVICE, POSITION, seconds))
        waiting.addCallback(self.ended.append)
        return waiting

    def _report(self, instance: str, position: Position) -> None:
        pool: Any = mock.Mock()
        pool.entry.id, pool.entry.service, pool.reports = instance, SERVICE, ReplicaReports()
        self.progress.record(pool, position)

    def test_wait_ends_after_its_time(self) -> None:
        self._wait(0.4)
        self.clock.advance(0.3)
        self.assertEqual([], self.ended)
        self.clock.advance(0.2)
        self.assertEqual([None], self.ended)

    def test_wait_ends_early_when_a_replica_reports_the_position(self) -> None:
        self._wait(0.4)
        self._report("db-b", Position(3, 99))
        self.assertEqual([], self.ended)
        self._report("db-c", POSITION)
        self.assertEqual([None], self.ended)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_reply_of_the_primary_ends_no_wait(self) -> None:
        """The primary has every position; its replies would wake all reads every few ms."""
        self._wait(0.4)
        self._report("db-a", Position(3, 200))
        self.assertEqual([], self.ended)

    def test_cancelled_wait_leaves_nothing_behind(self) -> None:
        """A caller that leaves must not leave a timer or an entry for each of its reads."""
        waiting = self._wait(0.4)
        waiting.addErrback(lambda _: None)
        waiting.cancel()
        self.assertEqual([], self.clock.getDelayedCalls())
        self.assertEqual(set(), self.progress._waiters[SERVICE])
