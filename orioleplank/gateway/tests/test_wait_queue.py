"""Who waits for a connection, in which order, and who is refused while waiting."""

from __future__ import annotations

from typing import Any

import testtools
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._wait_queue import EXPIRY_CHECK_INTERVAL_S, QueueTooLongError, WaitQueue


class TestWaiters(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.waiters = WaitQueue(lambda: self.now)
        self.refused: list[str] = []

    def _join(self, name: str, priority: int, left: float) -> Deferred[PooledConnection]:
        result = self.waiters.enqueue(priority, left, {"name": name}, 0)

        def note(failure: object) -> None:
            self.refused.append(name)

        result.addErrback(note)
        return result

    def _take_names(self) -> list[str]:
        return [self.waiters.pop_first().values["name"] for _ in range(len(self.waiters))]

    def test_more_important_work_goes_first(self) -> None:
        self._join("reads", 2, 0.2)
        self._join("saves", 1, 1.0)
        self.assertEqual(["saves", "reads"], self._take_names())

    def test_work_with_less_time_goes_before_work_with_more(self) -> None:
        self._join("patient", 2, 2.0)
        self._join("urgent", 2, 1.0)
        self.assertEqual(1, self.waiters.count_ahead(2, 1.5))
        self.assertEqual(["urgent", "patient"], self._take_names())

    def test_work_with_nearly_the_same_time_goes_in_its_order_of_arrival(self) -> None:
        self._join("earlier", 2, 1.02)
        self._join("later", 2, 1.01)
        self.assertEqual(["earlier", "later"], self._take_names())

    def test_whoever_leaves_is_not_served(self) -> None:
        gone = self._join("gone", 2, 1.0)
        self._join("stays", 2, 1.0)
        gone.cancel()
        self.assertEqual(["stays"], self._take_names())

    def test_whoever_will_be_too_late_is_refused_while_others_wait_on(self) -> None:
        for name, left in (("first", 0.15), ("second", 0.19), ("third", 1.0)):
            self._join(name, 2, left)
        self.now += EXPIRY_CHECK_INTERVAL_S
        self.waiters.refuse_expiring("i-1", 1, 0.1)
        self.assertEqual(["second"], self.refused)
        self.assertEqual(["first", "third"], self._take_names())

    def test_probe_is_not_refused_for_its_place(self) -> None:
        probe = self.waiters.enqueue(0, 0.1, {"name": "probe"}, 0, waits_until_timeout=True)
        probe.addErrback(lambda _: self.fail("the probe was refused"))
        self._join("work", 2, 0.1)
        self.now += EXPIRY_CHECK_INTERVAL_S
        self.waiters.refuse_expiring("i-1", 1, 5.0)
        self.assertEqual(["work"], self.refused)
        self.assertEqual(["probe"], self._take_names())

    def test_refusal_tells_when_to_return(self) -> None:
        failures: list[Any] = []

        def note(failure: Failure) -> None:
            failures.append(failure.value)

        for _ in range(3):
            self.waiters.enqueue(2, 0.1, {}, 0).addErrback(note)
        self.now += EXPIRY_CHECK_INTERVAL_S
        self.waiters.refuse_expiring("i-1", 1, 0.2)
        self.assertEqual(3, len(failures))
        for failure in failures:
            assert isinstance(failure, QueueTooLongError)
            self.assertGreater(failure.retry_after, 0)
