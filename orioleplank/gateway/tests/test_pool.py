"""How a pool backs off from a replica that lags, and how it shrinks to a smaller limit."""

from __future__ import annotations

from typing import Any

import testtools
from msgspec.structs import replace
from twisted.internet.defer import Deferred, succeed

from orioleplank.decision import Position
from orioleplank.decision.accounts import ClientAccount
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


class _AccountLink(_Link):
    """A connection that was opened for an account."""

    def __init__(self, account: str) -> None:
        super().__init__()
        self.account = account


class TestAccounts(testtools.TestCase):
    """A connection belongs to the account under which it was opened."""

    limit = 3

    def setUp(self) -> None:
        super().setUp()
        self.links: list[_AccountLink] = []
        # Connections that are being opened, with their accounts.
        self.dialing: list[tuple[Deferred[Any], str]] = []
        entry = InstanceEntry(
            "i-1", "books", "10.0.0.9:1", "a", InstanceState.READY, DbRole.PRIMARY, 5
        )
        self.pool = InstancePool(
            entry, self._dial, lambda: 0.0, lambda _: self.limit, lambda _: None
        )

    def _dial(self, entry: object, on_unreachable: object, account: str) -> Any:
        opened: Deferred[Any] = Deferred()
        self.dialing.append((opened, account))
        return opened

    def _open_all(self) -> None:
        """Complete the opening of all connections."""
        while self.dialing:
            opened, account = self.dialing.pop(0)
            self.links.append(_AccountLink(account))
            opened.callback(self.links[-1])

    def _acquire(self, account: str, is_probe: bool = False) -> list[Any]:
        """Request a connection; return a list to which it is added."""
        served: list[Any] = []
        request = ConnectionRequest(60.0, ClientAccount(account), is_probe=is_probe)
        self.pool.acquire(request).addCallback(served.append)
        return served

    def _use_once(self, account: str) -> None:
        served = self._acquire(account)
        self._open_all()
        self.pool.release(served[0])

    def _open_accounts(self) -> list[str]:
        return [link.account for link in self.links if not link.is_closed]

    def test_account_gets_no_connection_of_another_one(self) -> None:
        self._use_once("a")
        served = self._acquire("b")
        self.assertEqual([], served)
        self._open_all()
        self.assertEqual("b", served[0].link.account)

    def test_idle_connection_of_the_account_is_used_again(self) -> None:
        for _ in range(4):
            self._use_once("a")
            self._use_once("b")
        self.assertEqual(["a", "b"], self._open_accounts())

    def test_least_recently_used_connection_makes_room_at_the_limit(self) -> None:
        for account in ("a", "b", "c", "a", "d"):
            self._use_once(account)
        self.assertEqual(["a", "c", "d"], self._open_accounts())
        self.assertEqual(self.limit, self.pool.size)

    def test_waiter_without_a_connection_of_its_account_is_served_after_a_release(self) -> None:
        held = [self._acquire("a") for _ in range(self.limit)]
        self._open_all()
        waiting = self._acquire("b")
        self.assertEqual(([], []), (waiting, self.dialing))
        self.pool.release(held[0][0])
        self._open_all()
        self.assertEqual("b", waiting[0].link.account)
        self.assertEqual(self.limit, self.pool.size)

    # The first waiter's connection is still being opened; the idle one must not stay unused.
    def test_later_waiter_uses_a_connection_that_the_first_one_cannot(self) -> None:
        self.limit = 2
        held = self._acquire("a")
        other = self._acquire("c")
        self._open_all()
        first, second = self._acquire("b"), self._acquire("a")
        self.pool.release(held[0])
        self.assertEqual((0, 1), (len(first), len(second)))
        self.pool.release(other[0])
        self._open_all()
        self.assertEqual("b", first[0].link.account)

    def test_probe_uses_the_connection_of_any_account(self) -> None:
        self._use_once("a")
        self.assertEqual("a", self._acquire("", is_probe=True)[0].link.account)

    # Otherwise a queue of many accounts would close all idle connections at once, and the instance
    # would be busy with opening others.
    def test_idle_connections_are_replaced_within_half_of_the_slots(self) -> None:
        self.pool.entry = replace(self.pool.entry, slots=2)
        for account in ("a", "b", "c"):
            self._use_once(account)
        waiting = [self._acquire(account) for account in ("d", "e", "f")]
        self.assertEqual((["d"], ["b", "c"]), ([a for _, a in self.dialing], self._open_accounts()))
        for _ in range(3):
            self._open_all()
            for served in waiting:
                if served and served[0] is not None:
                    self.pool.release(served[0])
                    served[0] = None
        self.assertEqual([1, 1, 1], [len(served) for served in waiting])
