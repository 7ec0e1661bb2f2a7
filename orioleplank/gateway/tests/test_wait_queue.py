"""Order of service in a wait queue, and early refusal of waiters."""

from __future__ import annotations

from typing import Any

import testtools
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._wait_queue import EXPIRY_CHECK_INTERVAL_S, QueueTooLongError, WaitQueue


def _request(name: str, priority: int, remaining_time: float) -> ConnectionRequest:
    return ConnectionRequest(remaining_time, priority=priority, values={"name": name})


class TestWaitQueue(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.queue = WaitQueue(lambda: self.now)
        self.refused: list[str] = []

    def _enqueue(
        self, name: str, priority: int, remaining_time: float
    ) -> Deferred[PooledConnection]:
        result = self.queue.enqueue(_request(name, priority, remaining_time))

        def record_refusal(failure: object) -> None:
            self.refused.append(name)

        result.addErrback(record_refusal)
        return result

    def _pop_names(self) -> list[str]:
        waiters = [self.queue.pop_first() for _ in range(len(self.queue))]
        return [waiter.request.values["name"] for waiter in waiters if waiter is not None]

    def test_higher_priority_is_served_first(self) -> None:
        self._enqueue("reads", 2, 0.2)
        self._enqueue("saves", 1, 1.0)
        self.assertEqual(["saves", "reads"], self._pop_names())

    def test_earlier_deadline_is_served_before_later_one(self) -> None:
        self._enqueue("patient", 2, 2.0)
        self._enqueue("urgent", 2, 1.0)
        self.assertEqual(1, self.queue.count_ahead(_request("new", 2, 1.5)))
        self.assertEqual(["urgent", "patient"], self._pop_names())

    def test_waiters_with_almost_equal_deadlines_are_served_in_order_of_arrival(self) -> None:
        self._enqueue("earlier", 2, 1.02)
        self._enqueue("later", 2, 1.01)
        self.assertEqual(["earlier", "later"], self._pop_names())

    def test_cancelled_waiter_is_not_served(self) -> None:
        cancelled = self._enqueue("gone", 2, 1.0)
        self._enqueue("stays", 2, 1.0)
        cancelled.cancel()
        self.assertEqual(["stays"], self._pop_names())

    def test_only_waiters_that_cannot_meet_their_deadline_are_refused(self) -> None:
        # With a mean hold time of 0.1 s, the expected waits are 0.1 s for the first waiter and
        # 0.2 s for the second, which then has 0.14 s left. As the refused waiter no longer counts,
        # the expected wait of the third is 0.2 s.
        for name, remaining_time in (("first", 0.15), ("second", 0.19), ("third", 1.0)):
            self._enqueue(name, 2, remaining_time)
        self.now += EXPIRY_CHECK_INTERVAL_S
        self.queue.refuse_expiring("i-1", 1, 0.1)
        self.assertEqual(["second"], self.refused)
        self.assertEqual(["first", "third"], self._pop_names())

    def test_probe_is_not_refused_because_of_its_queue_position(self) -> None:
        request = ConnectionRequest(0.1, values={"name": "probe"}, is_probe=True)
        probe = self.queue.enqueue(request)
        probe.addErrback(lambda _: self.fail("the probe was refused"))
        self._enqueue("work", 2, 0.1)
        self.now += EXPIRY_CHECK_INTERVAL_S
        self.queue.refuse_expiring("i-1", 1, 5.0)
        self.assertEqual(["work"], self.refused)
        self.assertEqual(["probe"], self._pop_names())

    def test_refusal_contains_positive_retry_delay(self) -> None:
        failures: list[Any] = []

        def record_refusal(failure: Failure) -> None:
            failures.append(failure.value)

        for _ in range(3):
            self.queue.enqueue(_request("work", 2, 0.1)).addErrback(record_refusal)
        self.now += EXPIRY_CHECK_INTERVAL_S
        self.queue.refuse_expiring("i-1", 1, 0.2)
        self.assertEqual(3, len(failures))
        for failure in failures:
            assert isinstance(failure, QueueTooLongError)
            self.assertGreater(failure.retry_after, 0)
