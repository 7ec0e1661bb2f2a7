"""How a pool backs off from a replica that lags, and how it shrinks to a smaller limit."""

from __future__ import annotations

from typing import Any

import testtools
from twisted.internet.defer import Deferred, succeed

from orioleplank.decision import Position
from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._instance_health import LAG_BACKOFF_MAX_S, LAG_BACKOFF_MIN_S
from orioleplank.gateway._pool import InstancePool

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


class _Link:
    """A connection that is only closed."""

    has_replied_on_opening = True
    account = ""

    def __init__(self) -> None:
        self.is_closed = False

    def close(self) -> None:
        """Record the call."""
        self.is_closed = True


class TestLimit(testtools.TestCase):
    def test_pool_shrinks_to_a_smaller_limit_while_requests_wait(self) -> None:
        """After the fleet has grown, the connections above the share belong to other proxies."""
        limit = 4
        links: list[_Link] = []

        def dial(*_: object) -> Any:
            links.append(_Link())
            return succeed(links[-1])

        entry = InstanceEntry(
            "i-1", "books", "10.0.0.9:1", "a", InstanceState.READY, DbRole.PRIMARY, 5
        )
        pool = InstancePool(entry, dial, lambda: 0.0, lambda _: limit, lambda _: None)
        served: list[Any] = []
        for number in range(8):
            request = ConnectionRequest(60.0, session_id=number)
            pool.acquire(request).addCallback(served.append)
        limit = 2
        for index in range(2):
            pool.release(served[index])
        self.assertEqual(2, sum(not link.is_closed for link in links))
        for index in range(2, 6):
            pool.release(served[index])
        self.assertEqual(8, len(served))
