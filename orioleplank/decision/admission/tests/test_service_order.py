"""The order of service among accounts, with replays of the load that it addresses."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush
from random import Random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from orioleplank.decision.admission import (
    AccountUse,
    QueuedRequest,
    TransactionShare,
    order_by_service,
)


def _request(
    arrival: int,
    account: str = "",
    priority: int = 0,
    account_priority: int = 0,
    bucket: int = 0,
    is_transaction: bool = False,
) -> QueuedRequest:
    return QueuedRequest(priority, account_priority, bucket, arrival, account, is_transaction)


def _queues(*requests: QueuedRequest) -> dict[str, list[QueuedRequest]]:
    queues: dict[str, list[QueuedRequest]] = {}
    for request in sorted(requests):
        queues.setdefault(request.account, []).append(request)
    return queues


def _arrivals(use: AccountUse, *requests: QueuedRequest) -> list[int]:
    """Return the arrival numbers of requests in their order of service."""
    return [r.arrival_number for r, _ in order_by_service(_queues(*requests), use)]


class _Replay:
    """Connections that serve waiting requests, on virtual time."""

    def __init__(self, connections: int, hold_s: float) -> None:
        self._free = connections
        self._hold_s = hold_s
        self._in_use: Counter[str] = Counter()
        self._queues: dict[str, list[QueuedRequest]] = {}
        self._arrived_at: dict[int, float] = {}
        # Waiting times in seconds, by account.
        self.waits: dict[str, list[float]] = {}
        # Requests in the order in which they were served.
        self.served: list[QueuedRequest] = []

    def run(self, arrivals: list[tuple[float, QueuedRequest]]) -> None:
        """Serve requests that arrive at the given times, in seconds."""
        # Arrivals and, without a request, ends of service of an account.
        events: list[tuple[float, int, QueuedRequest | None, str]] = []
        for arrives_at, arriving in arrivals:
            heappush(events, (arrives_at, arriving.arrival_number, arriving, ""))
        while events:
            now, _, request, account = heappop(events)
            if request is None:
                self._free += 1
                self._in_use[account] -= 1
            else:
                self._add(request, now)
            while self._free and self._queues:
                first = self._serve_first(now)
                end = (now + self._hold_s, 1_000_000 + len(self.served), None, first.account)
                heappush(events, end)

    def _add(self, request: QueuedRequest, now: float) -> None:
        self._arrived_at[request.arrival_number] = now
        self._queues.setdefault(request.account, []).append(request)
        self._queues[request.account].sort()

    def _serve_first(self, now: float) -> QueuedRequest:
        first, _ = next(order_by_service(self._queues, AccountUse(self._in_use)))
        self._queues[first.account].remove(first)
        if not self._queues[first.account]:
            del self._queues[first.account]
        self._free -= 1
        self._in_use[first.account] += 1
        self.served.append(first)
        wait = now - self._arrived_at[first.arrival_number]
        self.waits.setdefault(first.account, []).append(wait)
        return first


class TestOrder(testtools.TestCase):
    def test_route_priority_decides_before_account_priority(self) -> None:
        first = _request(1, "a", priority=1, account_priority=0)
        second = _request(2, "b", priority=0, account_priority=5)
        self.assertEqual([2, 1], _arrivals(AccountUse(), first, second))

    def test_account_priority_decides_before_connections_in_use(self) -> None:
        first = _request(1, "a", account_priority=1)
        second = _request(2, "b", account_priority=0)
        self.assertEqual([2, 1], _arrivals(AccountUse({"b": 9}), first, second))

    def test_account_with_fewest_connections_in_use_is_first(self) -> None:
        first, second = _request(1, "a", bucket=0), _request(2, "b", bucket=7)
        self.assertEqual([2, 1], _arrivals(AccountUse({"a": 2, "b": 1}), first, second))

    def test_waiters_ahead_count_as_connections_of_their_account(self) -> None:
        requests = [_request(number, "a") for number in (1, 2, 3)] + [_request(4, "b")]
        self.assertEqual([1, 4, 2, 3], _arrivals(AccountUse(), *requests))

    def test_accounts_with_equal_use_are_served_by_deadline_then_arrival(self) -> None:
        requests = [
            _request(1, "a", bucket=2),
            _request(2, "b", bucket=1),
            _request(3, "c", 0, 0, 1),
        ]
        self.assertEqual([2, 3, 1], _arrivals(AccountUse(), *requests))

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=30))
    def test_one_account_is_served_by_priority_deadline_and_arrival(
        self, requests: list[tuple[int, int]]
    ) -> None:
        """Guards deployments without accounts against any change of their order."""
        queued = [
            _request(number, "", priority, 0, bucket)
            for number, (priority, bucket) in enumerate(requests)
        ]
        expected = sorted(
            range(len(queued)), key=lambda number: (requests[number], queued[number].arrival_number)
        )
        self.assertEqual(expected, _arrivals(AccountUse({"": 4}), *queued))

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 2), st.booleans()), max_size=30),
        st.dictionaries(st.sampled_from("abc"), st.integers(0, 5)),
    )
    def test_every_request_is_in_the_order_once(
        self, requests: list[tuple[str, int, bool]], in_use: dict[str, int]
    ) -> None:
        """Guards against a waiter that is never served, also beyond a share of transactions."""
        queued = [
            _request(number, account, priority, is_transaction=is_transaction)
            for number, (account, priority, is_transaction) in enumerate(requests)
        ]
        use = AccountUse(in_use, TransactionShare(in_use, 2))
        self.assertEqual(list(range(len(queued))), sorted(_arrivals(use, *queued)))


class TestHotAccount(testtools.TestCase):
    """One account sends 7.5 times its usual beside 85 others at their usual rate."""

    def _replay(self) -> _Replay:
        random, number, arrivals = Random(7), 0, []
        rates = {f"calm-{index}": 4.0 for index in range(85)} | {"hot": 7.5 * 60.0}
        for account, rate in rates.items():
            at = random.expovariate(rate)
            while at < 5.0:
                number += 1
                arrivals.append((at, _request(number, account, bucket=int(at / 0.25))))
                at += random.expovariate(rate)
        # 500 requests a second can be served; 790 arrive, 340 of them from the other accounts.
        replay = _Replay(connections=10, hold_s=0.02)
        replay.run(arrivals)
        return replay

    def test_calm_accounts_do_not_wait_behind_the_hot_one(self) -> None:
        """Guards against the queue of one account delaying all others."""
        waits = self._replay().waits
        calm = sorted(w for account, ws in waits.items() if account != "hot" for w in ws)
        self.assertLess(calm[int(len(calm) * 0.999)], 0.15)
        self.assertGreater(max(waits["hot"]), 1.0)


class TestMixOfPriorities(testtools.TestCase):
    def test_lower_priority_is_not_served_while_higher_waits(self) -> None:
        """Guards against fairness overtaking a priority."""
        random = Random(3)
        arrivals = [
            (
                number * 0.001,
                _request(number, random.choice("abcd"), random.randrange(3), random.randrange(2)),
            )
            for number in range(500)
        ]
        replay = _Replay(connections=2, hold_s=0.01)
        replay.run(arrivals)
        arrived_at = {request.arrival_number: at for at, request in arrivals}
        for index, served in enumerate(replay.served):
            # The time of service of each request is at least the arrival of the one served last.
            latest = max(arrived_at[r.arrival_number] for r in replay.served[: index + 1])
            overtaken = [
                later
                for later in replay.served[index + 1 :]
                if (later.priority, later.account_priority)
                < (served.priority, served.account_priority)
                and arrived_at[later.arrival_number] < latest
            ]
            self.assertEqual([], overtaken)


class TestChangingAccounts(testtools.TestCase):
    def test_account_that_comes_back_gets_its_share_and_no_arrears(self) -> None:
        """Guards against an account that was away displacing those that stayed."""
        stays = [(0.0, _request(number, "stays")) for number in range(200)]
        comes = [(0.5, _request(1000 + number, "comes")) for number in range(100)]
        replay = _Replay(connections=4, hold_s=0.02)
        replay.run(stays + comes)
        begin = next(i for i, r in enumerate(replay.served) if r.account == "comes")
        # After the first exchange both have two of the four connections.
        shares = Counter(r.account for r in replay.served[begin + 4 : begin + 104])
        self.assertEqual(Counter({"stays": 50, "comes": 50}), shares)
