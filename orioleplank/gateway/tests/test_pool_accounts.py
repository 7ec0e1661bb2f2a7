"""How a pool shares its connections among accounts."""

from __future__ import annotations

from typing import Any

import testtools
from twisted.internet.defer import Deferred, succeed

from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.admission import RECENT_USE_S
from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._idle_connections import REPLACE_WANTED_AFTER_S
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._wait_queue import QueueTooLongError

ENTRY = InstanceEntry("i-1", "books", "10.0.0.9:1", "a", InstanceState.READY, DbRole.PRIMARY, 5)


class _Link:
    """A connection of an account that is only closed."""

    has_replied_on_opening = True

    def __init__(self, account: str) -> None:
        self.account = account
        self.is_closed = False

    def close(self) -> None:
        """Record the call."""
        self.is_closed = True


class PoolHarness:
    """A pool whose connections open at once, unless they are to wait."""

    def __init__(self, limit: int, mechanisms: MechanismSwitches = ALL_ON) -> None:
        self.now = 100.0
        self.links: list[_Link] = []
        self.opening: list[tuple[str, Deferred[Any]]] = []
        self.opens_at_once = True
        # Connections in use, and refusals, by the name of the request.
        self.served: dict[str, PooledConnection] = {}
        self.refused: dict[str, Any] = {}
        # Without the limit on statements, since nothing ends the statements of the requests.
        self.pool = InstancePool(
            ENTRY,
            self._dial,
            lambda: self.now,
            lambda _: limit,
            lambda _: None,
            mechanisms,
            limits_statements=lambda _: False,
        )

    def _dial(self, entry: object, on_unreachable: object, account: str) -> Any:
        if self.opens_at_once:
            self.links.append(_Link(account))
            return succeed(self.links[-1])
        self.opening.append((account, Deferred()))
        return self.opening[-1][1]

    def finish_opening(self) -> None:
        """Complete all connections that are being opened."""
        opening, self.opening = self.opening, []
        for account, result in opening:
            self.links.append(_Link(account))
            result.callback(self.links[-1])

    def ask(
        self,
        name: str,
        account: str = "",
        remaining_time: float = 60.0,
        priority: int = 1,
        account_priority: int = 0,
        is_transaction: bool = False,
    ) -> None:
        """Ask for a connection under a name."""
        request = ConnectionRequest(
            remaining_time,
            ClientAccount(account, account_priority),
            priority,
            is_transaction=is_transaction,
        )
        result = self.pool.acquire(request)
        result.addCallbacks(
            lambda connection: self.served.update({name: connection}),
            lambda failure: self.refused.update({name: failure.value}),
        )

    def release(self, name: str) -> None:
        """Return the connection of a request to the pool."""
        self.pool.release(self.served.pop(name))

    @property
    def open_accounts(self) -> list[str]:
        """Accounts of the open connections."""
        return sorted(link.account for link in self.links if not link.is_closed)


class TestFairService(testtools.TestCase):
    def test_connection_is_exchanged_for_an_account_that_has_none(self) -> None:
        """Guards against an account without connections starving behind one with waiters."""
        harness = PoolHarness(2)
        for number in range(6):
            harness.ask(f"hot-{number}", "hot")
        harness.ask("calm", "calm")
        harness.release("hot-0")
        self.assertNotIn("calm", harness.served)
        harness.now += 2 * REPLACE_WANTED_AFTER_S
        harness.release("hot-1")
        self.assertIn("calm", harness.served)
        self.assertEqual(["calm", "hot"], harness.open_accounts)

    def test_free_connection_serves_others_while_one_is_opened_for_the_first_waiter(self) -> None:
        """Guards against room that is left free while somebody waits."""
        harness = PoolHarness(2)
        for number in range(6):
            harness.ask(f"hot-{number}", "hot")
        harness.opens_at_once = False
        harness.ask("calm", "calm")
        harness.now += 2 * REPLACE_WANTED_AFTER_S
        harness.release("hot-0")
        self.assertEqual(["calm"], [account for account, _ in harness.opening])
        harness.release("hot-1")
        self.assertIn("hot-2", harness.served)
        harness.finish_opening()
        self.assertIn("calm", harness.served)

    def test_lower_route_priority_does_not_go_ahead_with_a_connection_of_its_own(self) -> None:
        harness = PoolHarness(1)
        harness.ask("first", "low")
        harness.ask("low", "low", priority=2)
        harness.ask("high", "high", priority=1)
        harness.release("first")
        self.assertEqual(["high"], list(harness.served))

    def test_next_waiter_is_served_while_connections_cannot_be_opened(self) -> None:
        """Guards against an instance that refuses connections stopping those that are open."""
        harness = PoolHarness(2)
        for number in range(4):
            harness.ask(f"hot-{number}", "hot")
        harness.opens_at_once = False
        harness.ask("calm", "calm")
        harness.now += 2 * REPLACE_WANTED_AFTER_S
        harness.release("hot-0")
        harness.opening.pop()[1].errback(ConnectionError())
        harness.release("hot-1")
        self.assertIn("hot-2", harness.served)

    def test_without_fair_queueing_the_next_waiter_is_served(self) -> None:
        mechanisms = MechanismSwitches(frozenset({Mechanism.FAIR_QUEUEING}))
        harness = PoolHarness(1, mechanisms)
        harness.ask("hot-0", "hot")
        harness.ask("hot-1", "hot")
        harness.ask("calm", "calm")
        harness.release("hot-0")
        self.assertEqual(["hot-1"], list(harness.served))


class TestEarlyRefusal(testtools.TestCase):
    def _fill(self) -> PoolHarness:
        harness = PoolHarness(1)
        harness.ask("hot-first", "hot")
        # With the initial mean hold time of 0.03 s, 15 waiters are served in 0.45 s.
        for number in range(15):
            harness.ask(f"hot-{number}", "hot", 60.0)
        return harness

    def test_calm_account_is_not_refused_for_the_queue_of_a_hot_one(self) -> None:
        harness = self._fill()
        harness.ask("calm", "calm", 0.2)
        self.assertEqual({}, harness.refused)

    def test_hot_account_is_refused_when_its_turn_comes_too_late(self) -> None:
        harness = self._fill()
        harness.ask("late", "hot", 0.2)
        # It is behind those of its account with an earlier or equal deadline only.
        self.assertEqual({}, harness.refused)
        for number in range(15):
            harness.ask(f"equal-{number}", "hot", 0.2)
        self.assertIsInstance(harness.refused["equal-14"], QueueTooLongError)


class TestTransactionShare(testtools.TestCase):
    """120 callers of one account begin transactions and stay idle, beside others."""

    def _begin_many(self, account: str, other: str, limit: int = 8) -> PoolHarness:
        harness = PoolHarness(limit)
        harness.ask("other-first", other)
        harness.release("other-first")
        for number in range(120):
            harness.ask(f"idle-{number}", account, is_transaction=True)
        return harness

    def test_transactions_hold_at_most_half_beside_other_accounts(self) -> None:
        harness = self._begin_many("idle", "other")
        self.assertEqual(4, len(harness.served))
        for number in range(4):
            harness.ask(f"other-{number}", "other")
        self.assertEqual(8, len(harness.served))

    def test_single_statements_of_the_same_account_are_served(self) -> None:
        harness = self._begin_many("idle", "other")
        harness.ask("single", "idle")
        self.assertIn("single", harness.served)
        harness.release("single")
        self.assertEqual(4, len(harness.served))

    def test_next_transaction_follows_one_that_ends(self) -> None:
        harness = self._begin_many("idle", "other")
        harness.release("idle-0")
        self.assertIn("idle-4", harness.served)
        self.assertEqual(4, len(harness.served))

    def test_transactions_get_all_connections_once_no_other_account_uses_them(self) -> None:
        """Guards against room that is left free for accounts that are gone."""
        harness = self._begin_many("idle", "other")
        harness.now += RECENT_USE_S + 0.1
        harness.pool.serve_held_back()
        self.assertEqual(8, len(harness.served))

    def test_without_accounts_transactions_may_hold_all_connections(self) -> None:
        harness = self._begin_many("", "")
        self.assertEqual(8, len(harness.served))

    def test_idle_transactions_do_not_make_the_queue_appear_slow(self) -> None:
        """Guards against refusals of other accounts because of the idle time of one."""
        harness = self._begin_many("idle", "other", limit=2)
        for number in range(20):
            harness.now += 1.0
            harness.ask(f"keep-{number}", "other")
            harness.release(f"keep-{number}")
            harness.release(f"idle-{number}")
        harness.ask("other-1", "other")
        harness.ask("other-2", "other", 0.3)
        self.assertEqual([], [name for name in harness.refused if name.startswith("other")])
