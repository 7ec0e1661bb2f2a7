"""Connection pools, the retry budget, transactions, the shutdown and session tokens."""

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


class ConnectionPoolTest(TestCase):
    def test_opens_no_more_connections_than_the_limit(self) -> None:
        pool = ConnectionPool(connection_limit=3, slot_limit=5)
        opened = 0
        while pool.count_to_open(10, 0.0):
            pool, _ = pool.begin_open()
            opened += 1
        self.assertEqual((3, 3), (opened, pool.size))

    def test_failure_to_open_delays_the_next_attempt(self) -> None:
        pool, number = ConnectionPool(3, 3).begin_open()
        pool = pool.remove(number, 10.0)
        self.assertEqual(0, pool.count_to_open(1, 10.01))
        self.assertGreater(pool.count_to_open(1, 11.0), 0)

    def test_removed_connection_is_no_longer_in_the_pool(self) -> None:
        pool, number = ConnectionPool(3, 3).begin_open()
        pool = pool.finish_open(number)
        pool, acquired = pool.acquire()
        pool = pool.remove(acquired, 1.0)
        self.assertFalse(pool.contains(number))
        self.assertEqual(1, pool.size)
        self.assertEqual(0, pool.expire_uncertain(1.2, 1.3).size)

    def test_closed_connection_counts_until_the_instance_answers_or_it_expires(self) -> None:
        pool, number = ConnectionPool(1, 1).begin_open()
        pool = pool.finish_open(number).remove(number, 1.0)
        for name, answered_at, now, expected in (
            ("no answer to a later round", 0.9, 1.1, 0),
            ("answer to a later round", 1.1, 1.2, 1),
            ("after the user timeout of the transport", 0.9, 3.6, 1),
        ):
            with self.subTest(name):
                self.assertEqual(
                    expected, pool.expire_uncertain(answered_at, now).count_to_open(1, now)
                )


class RetryBudgetTest(TestCase):
    def test_retries_are_limited_to_a_share_of_requests(self) -> None:
        budget = RetryBudget(0.0)
        for _ in range(100):
            budget = budget.deposit(0.2)
        spent = 0
        while (remaining := budget.withdraw()) is not None:
            budget, spent = remaining, spent + 1
        self.assertIn(spent, (19, 20))


class TransactionTest(TestCase):
    def test_outcome_of_a_lost_connection_depends_on_the_commit(self) -> None:
        cases = {
            "before the upstream has begun it": ([], TransactionOutcome.ROLLED_BACK),
            "while it is open, before a commit": (["open"], TransactionOutcome.ROLLED_BACK),
            "after the commit was sent": (["open", "begin_commit"], TransactionOutcome.AMBIGUOUS),
            "after the instance had no slot for the commit": (
                ["open", "begin_commit", "retract_commit"],
                TransactionOutcome.ROLLED_BACK,
            ),
        }
        for name, (inputs, expected) in cases.items():
            with self.subTest(name):
                key = TransactionKey(1, "t")
                transaction = begin_transaction(key, ConnectionId("s", "a", 1), 1, 0.0)
                for step in inputs:
                    getattr(transaction.lifecycle, step)()
                self.assertEqual(expected, transaction.lifecycle.lose_connection())


class ShutdownTest(TestCase):
    def test_process_ends_only_after_a_quiet_period(self) -> None:
        shutdown = Shutdown()
        shutdown.tick(0.0, False)
        shutdown.start_shutdown(1.0, 5.0)
        self.assertFalse(shutdown.is_ready)
        self.assertTrue(shutdown.accepts_requests)
        shutdown.tick(5.9, True)
        shutdown.tick(6.1, True)
        self.assertFalse(shutdown.accepts_requests)
        self.assertFalse(shutdown.is_ended)
        shutdown.tick(6.2, False)
        self.assertFalse(shutdown.is_ended)
        shutdown.tick(6.8, False)
        self.assertTrue(shutdown.is_ended)


class SessionTokenTest(TestCase):
    def test_token_keeps_the_newest_position_of_each_service(self) -> None:
        token = SessionToken().advance("b", Position(1, 5)).advance("a", Position(2, 1))
        token = token.advance("b", Position(1, 4))
        self.assertEqual(Position(1, 5), token.position("b"))
        self.assertEqual(["a", "b"], [entry.service for entry in token.entries])
        self.assertEqual(Position(0, 0), token.position("c"))
