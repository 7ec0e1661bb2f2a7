"""How a pool holds back statements beyond the learned limit, and whom it serves when one ends."""

from __future__ import annotations

from typing import Any

import testtools
from twisted.internet.defer import CancelledError, succeed
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.admission import StatementResult
from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.decision.mechanisms import Mechanism, MechanismSwitches
from orioleplank.decision.session import Failure, FailureCode, Reply
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._running_statements import judge_error, judge_reply
from orioleplank.gateway._wait_queue import QueueTooLongError

SLOTS = 2
CONNECTIONS = 6


class _Link:
    """A connection that does nothing."""

    has_replied_on_opening = True

    def __init__(self, account: str) -> None:
        self.account = account

    def close(self) -> None:
        """Do nothing."""


class TestStatementLimit(testtools.TestCase):
    """An instance with two slots, of which this proxy may open six connections."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.dialed = 0
        self.pool = self._build_pool()
        self.served: list[PooledConnection] = []

    def _build_pool(self, **options: Any) -> InstancePool:
        def dial(entry: object, on_problem: object, account: str) -> Any:
            self.dialed += 1
            return succeed(_Link(account))

        entry = InstanceEntry(
            "i-1", "books", "10.0.0.9:1", "a", InstanceState.READY, DbRole.PRIMARY, SLOTS
        )
        return InstancePool(
            entry, dial, lambda: self.now, lambda _: CONNECTIONS, lambda _: None, **options
        )

    def _acquire(self, remaining: float = 60.0, **fields: Any) -> None:
        """Acquire a connection; the ones that are served are appended to `served`."""
        acquired = self.pool.acquire(ConnectionRequest(remaining, **fields))
        acquired.addCallbacks(self.served.append, lambda failure: failure.trap(QueueTooLongError))

    def _end(self, connection: PooledConnection) -> None:
        """End the statement of a connection and release it."""
        self.now += 0.01
        self.pool.statements.end(connection, StatementResult.ANSWERED)
        self.pool.release(connection)

    def test_statements_beyond_the_limit_wait_without_a_connection(self) -> None:
        """A new connection costs work of a slot, and would be of no use."""
        for _ in range(5):
            self._acquire()
        self.assertEqual(SLOTS, len(self.served))
        self.assertEqual(SLOTS, self.dialed)
        self.assertEqual(3, self.pool.waiting)

    def test_waiter_is_served_when_a_statement_ends(self) -> None:
        for _ in range(3):
            self._acquire()
        self._end(self.served[0])
        self.assertEqual(3, len(self.served))
        self.assertEqual(SLOTS, self.dialed)

    def test_waiters_are_served_in_the_order_of_the_queue(self) -> None:
        for session_id in (1, 2):
            self._acquire(session_id=session_id)
        self._acquire(session_id=3, priority=2)
        self._acquire(session_id=4, priority=1)
        self._end(self.served[0])
        self.assertEqual(4, self.served[-1].last_session_id)

    def test_idle_transaction_does_not_count(self) -> None:
        for _ in range(3):
            self._acquire()
        self.pool.statements.end(self.served[0], StatementResult.NO_SAMPLE)
        self.pool.serve_waiters()
        self.assertEqual(3, len(self.served))

    def test_statement_in_a_transaction_is_not_held_back_but_counts(self) -> None:
        self._acquire()
        transaction = self.served[0]
        self.pool.statements.end(transaction, StatementResult.NO_SAMPLE)
        for _ in range(2):
            self._acquire()
        self.pool.statements.start(transaction)
        self.assertEqual(3, len(self.pool.statements))
        self._acquire()
        self._end(self.served[1])
        self.assertEqual(1, self.pool.waiting)
        self._end(self.served[2])
        self.assertEqual(0, self.pool.waiting)

    def test_probe_is_not_held_back(self) -> None:
        """A probe that waits behind statements would show a failed instance too late."""
        for _ in range(4):
            self._acquire()
        self._acquire(is_probe=True)
        self.assertEqual(SLOTS + 1, len(self.served))
        self.assertEqual(SLOTS, len(self.pool.statements))

    def test_released_connection_leaves_no_statement_behind(self) -> None:
        for _ in range(2):
            self._acquire()
        self.pool.discard(self.served[0])
        self.pool.statements.end(self.served[0], StatementResult.OVERLOADED)
        self.assertEqual(1, len(self.pool.statements))
        self.assertEqual(SLOTS, self.pool.statements.limit)

    def test_abandoned_statement_does_not_decrease_the_limit(self) -> None:
        """Callers that leave early would otherwise throttle a healthy instance."""
        for _ in range(2):
            self._acquire()
        connection = self.served[0]
        self.pool.discard(connection)
        self.pool.statements.start(connection)
        self.pool.statements.end(connection, StatementResult.OVERLOADED)
        self.assertEqual(SLOTS, self.pool.statements.limit)

    def test_request_that_would_wait_too_long_for_the_limit_is_refused(self) -> None:
        for _ in range(2):
            self._acquire()
        for _ in range(100):
            self._acquire(1.0)
        expected = 1.0 * 0.5 / self.pool.statements.mean_time * SLOTS
        self.assertAlmostEqual(expected, self.pool.waiting, delta=1.0)

    def test_waiter_of_another_account_gets_a_connection_within_the_limit(self) -> None:
        for _ in range(2):
            self._acquire(account=ClientAccount("one", 0))
        self._acquire(account=ClientAccount("two", 0))
        self._end(self.served[0])
        self.assertEqual("two", self.served[-1].link.account)

    def test_switched_off_the_connections_are_the_limit(self) -> None:
        switches = MechanismSwitches(frozenset({Mechanism.CONCURRENCY_LIMIT}))
        self.pool = self._build_pool(mechanisms=switches)
        for _ in range(8):
            self._acquire()
        self.assertEqual(CONNECTIONS, len(self.served))
        self.assertIsNone(self.pool.statements.limit)

    def test_forwarding_links_are_not_limited(self) -> None:
        """The owners limit; a second limit would leave their room unused."""
        self.pool = self._build_pool(limits_statements=lambda _: False)
        for _ in range(8):
            self._acquire()
        self.assertEqual(CONNECTIONS, len(self.served))

    def test_limit_follows_what_the_instance_answers(self) -> None:
        for _ in range(40):
            self._acquire()
            self.pool.statements.end(self.served[-1], StatementResult.OVERLOADED)
            self.pool.release(self.served[-1])
            self.now += 0.3
        self.assertEqual(1, self.pool.statements.limit)


class TestJudgement(testtools.TestCase):
    """What replies and errors show about the instance."""

    def _judge(self, code: FailureCode) -> StatementResult:
        return judge_reply(Reply(failure=Failure(code, "")), True)

    def test_busy_is_overload_and_other_failures_show_nothing(self) -> None:
        self.assertIs(StatementResult.OVERLOADED, self._judge(FailureCode.BUSY))
        self.assertIs(StatementResult.NO_SAMPLE, self._judge(FailureCode.EXECUTION_FAILED))
        self.assertIs(StatementResult.NO_SAMPLE, self._judge(FailureCode.LAGGING))

    def test_begin_of_a_transaction_is_no_sample(self) -> None:
        self.assertIs(StatementResult.NO_SAMPLE, judge_reply(Reply(), False))
        self.assertIs(StatementResult.ANSWERED, judge_reply(Reply(), True))

    def test_time_out_is_overload_and_cancellation_is_not(self) -> None:
        self.assertIs(StatementResult.OVERLOADED, judge_error(TwistedTimeoutError()))
        self.assertIs(StatementResult.NO_SAMPLE, judge_error(CancelledError()))
