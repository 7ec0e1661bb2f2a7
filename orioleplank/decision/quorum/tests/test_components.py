"""Small parts: pools, the retry budget, transactions, the shutdown, tokens."""

from testtools import TestCase

from orioleplank.decision.quorum import ConnectionId, Position, SessionToken
from orioleplank.decision.quorum._connection_pool import ConnectionPool
from orioleplank.decision.quorum._retry_budget import RetryBudget
from orioleplank.decision.quorum._shutdown import Shutdown
from orioleplank.decision.quorum._transaction import (
    TransactionKey,
    TransactionOutcome,
    begin_transaction,
)


class PoolTest(TestCase):
    def test_never_holds_more_than_its_share(self) -> None:
        pool = ConnectionPool(connection_limit=3, slot_limit=5)
        opened = 0
        while pool.count_to_open(10, 0.0):
            pool, _ = pool.begin_open()
            opened += 1
        self.assertEqual((3, 3), (opened, pool.size))

    def test_failure_to_open_delays_the_next_try(self) -> None:
        pool, number = ConnectionPool(3, 3).begin_open()
        pool = pool.remove(number, 10.0)
        self.assertEqual(0, pool.count_to_open(1, 10.01))
        self.assertGreater(pool.count_to_open(1, 11.0), 0)

    def test_dropped_connection_is_forgotten(self) -> None:
        pool, number = ConnectionPool(3, 3).begin_open()
        pool = pool.finish_open(number)
        pool, taken = pool.acquire()
        pool = pool.remove(taken, 1.0)
        self.assertFalse(pool.contains(number))
        self.assertEqual(1, pool.size)
        self.assertEqual(0, pool.expire_uncertain(1.2, 1.3).size)

    def test_closed_connection_counts_until_the_instance_has_answered(self) -> None:
        pool, number = ConnectionPool(1, 1).begin_open()
        pool = pool.finish_open(number).remove(number, 1.0)
        for name, answered_at, now, wanted in (
            ("no answer yet", 0.9, 1.1, 0),
            ("answered a later round", 1.1, 1.2, 1),
            ("past the transport's timeout", 0.9, 3.6, 1),
        ):
            with self.subTest(name):
                self.assertEqual(
                    wanted, pool.expire_uncertain(answered_at, now).count_to_open(1, now)
                )


class RetryBudgetTest(TestCase):
    def test_retries_are_a_share_of_requests(self) -> None:
        budget = RetryBudget(0.0)
        for _ in range(100):
            budget = budget.deposit(0.2)
        spent = 0
        while (left := budget.withdraw()) is not None:
            budget, spent = left, spent + 1
        self.assertIn(spent, (19, 20))


class TransactionTest(TestCase):
    def test_fate(self) -> None:
        cases = {
            "before it is open": ([], TransactionOutcome.ROLLED_BACK),
            "while it is open": (["open"], TransactionOutcome.ROLLED_BACK),
            "while it commits": (["open", "begin_commit"], TransactionOutcome.AMBIGUOUS),
            "after a commit without a slot": (
                ["open", "begin_commit", "retract_commit"],
                TransactionOutcome.ROLLED_BACK,
            ),
        }
        for name, (inputs, fate) in cases.items():
            with self.subTest(name):
                key = TransactionKey(1, "t")
                transaction = begin_transaction(key, ConnectionId("s", "a", 1), 1, 0.0)
                for step in inputs:
                    getattr(transaction.lifecycle, step)()
                self.assertEqual(fate, transaction.lifecycle.lose_connection())


class StopTest(TestCase):
    def test_ends_only_when_quiet(self) -> None:
        stop = Shutdown()
        stop.tick(0.0, False)
        stop.start_shutdown(1.0, 5.0)
        self.assertFalse(stop.is_ready)
        self.assertTrue(stop.accepts_requests)
        stop.tick(5.9, True)
        stop.tick(6.1, True)
        self.assertFalse(stop.accepts_requests)
        self.assertFalse(stop.is_ended)
        stop.tick(6.2, False)
        self.assertFalse(stop.is_ended)
        stop.tick(6.8, False)
        self.assertTrue(stop.is_ended)


class SessionTokenTest(TestCase):
    def test_keeps_the_newest_position_of_each_service(self) -> None:
        token = SessionToken().advance("b", Position(1, 5)).advance("a", Position(2, 1))
        token = token.advance("b", Position(1, 4))
        self.assertEqual(Position(1, 5), token.position("b"))
        self.assertEqual(["a", "b"], [entry.service for entry in token.entries])
        self.assertEqual(Position(0, 0), token.position("c"))
