"""Rate limits over a fleet under the load and the faults that they address."""

from __future__ import annotations

from functools import partial
from itertools import pairwise

import testtools

from orioleplank.decision.accounts import RateLimit
from orioleplank.decision.quota import HANDOVER_DELAY_S
from orioleplank.decision.quota.tests._replay import (
    Replay,
    ReplayedProxy,
    allowed_in_window,
    max_in_window,
)

PROXIES = 88
SMALL = RateLimit(5.0, 5.0)
LARGE = RateLimit(187.0, 187.0)
LIMITS = (SMALL, RateLimit(20.0, 5.0), RateLimit(10.0, 40.0), LARGE)
# Operations of an over-limit account, as a multiple of its limit.
OVERLOAD = 7.5
# Time until all buckets are full after the fleet has started.
START_S = 5.0
# Share of the limit that an account which is below its limit uses.
USUAL_SHARE = 0.5


def _start(limit: RateLimit, proxies: int = PROXIES, seed: int = 1) -> Replay:
    replay = Replay(proxies, {"hot": limit}, seed)
    replay.run_until(START_S)
    return replay


def _overload(replay: Replay, end: float, factor: float = OVERLOAD) -> None:
    limit = replay.limits["hot"]
    assert limit is not None
    replay.send_steadily("hot", limit.rate * factor, replay.proxies, replay.now, end)


class TestOverload(testtools.TestCase):
    """An account that sends 7.5 times its usual is served up to its limit, and not beyond."""

    def test_bound_holds_over_all_proxies(self) -> None:
        for limit in LIMITS:
            with self.subTest(limit=limit):
                replay = _start(limit)
                _overload(replay, 20.0)
                replay.run_until(21.0)
                self.assertLessEqual(replay.find_excess("hot"), 0)

    def test_limit_is_used(self) -> None:
        for limit in LIMITS:
            with self.subTest(limit=limit):
                replay = _start(limit)
                _overload(replay, 25.0)
                replay.run_until(26.0)
                served = sum(START_S + 5.0 <= at < 25.0 for at in replay.admitted["hot"])
                self.assertGreater(served, 0.85 * limit.rate * 15.0)

    def test_refusals_cost_few_messages(self) -> None:
        replay = _start(LARGE)
        _overload(replay, 15.0)
        replay.run_until(16.0)
        self.assertLess(replay.asks["hot"] / 10.0, 1000)

    def test_operations_wait_for_few_answers(self) -> None:
        replay = _start(LARGE)
        _overload(replay, 15.0)
        replay.run_until(16.0)
        self.assertLess(replay.longest_wait, 0.15)

    def test_bound_holds_through_one_proxy(self) -> None:
        for limit in LIMITS:
            with self.subTest(limit=limit):
                replay = _start(limit)
                replay.send_steadily("hot", limit.rate * OVERLOAD, ["p-7"], START_S, 20.0)
                replay.run_until(21.0)
                self.assertLessEqual(replay.find_excess("hot"), 0)
                served = sum(at >= START_S + 5.0 for at in replay.admitted["hot"])
                self.assertGreater(served, 0.9 * limit.rate * 10.0)


class TestBelowLimit(testtools.TestCase):
    """An account well below its limit is not refused."""

    def test_steady_load_is_served(self) -> None:
        for limit in LIMITS:
            for names in (tuple(f"p-{n}" for n in range(PROXIES)), ("p-3",)):
                with self.subTest(limit=limit, proxies=len(names)):
                    replay = _start(limit)
                    rate = limit.rate * USUAL_SHARE
                    # The account sends evenly: random bursts of few operations pass its burst.
                    at, sent = START_S, 0
                    while at < 25.0:
                        proxy = replay.proxies[replay.random.choice(names)]
                        replay.send_at(at, "hot", proxy)
                        at, sent = at + 1.0 / rate, sent + 1
                    replay.run_until(26.0)
                    self.assertEqual(sent, len(replay.admitted["hot"]))

    def test_burst_at_one_proxy_is_served(self) -> None:
        for limit in LIMITS:
            with self.subTest(limit=limit):
                replay = _start(limit)
                replay.send_burst("hot", int(limit.burst), "p-5", START_S + 1.0)
                replay.run_until(10.0)
                self.assertEqual(int(limit.burst), len(replay.admitted["hot"]))

    def test_larger_burst_at_one_proxy_is_cut_off(self) -> None:
        replay = _start(LARGE)
        replay.send_burst("hot", 1000, "p-5", START_S + 1.0)
        replay.run_until(10.0)
        self.assertGreaterEqual(len(replay.admitted["hot"]), 187)
        self.assertLess(len(replay.admitted["hot"]), 210)
        self.assertEqual(1000 - len(replay.admitted["hot"]), replay.refusals["hot", "limit"])

    def test_calm_accounts_are_not_refused_beside_a_hot_one(self) -> None:
        calm = {f"calm-{number}": RateLimit(10.0, 10.0) for number in range(85)}
        replay = Replay(PROXIES, {"hot": LARGE, **calm})
        replay.run_until(START_S)
        _overload(replay, 12.0)
        for account in calm:
            replay.send_steadily(account, 2.5, replay.proxies, START_S, 12.0)
        replay.run_until(13.0)
        refused = sum(count for (name, _), count in replay.refusals.items() if name != "hot")
        self.assertEqual(0, refused)
        self.assertLessEqual(replay.find_excess("hot"), 0)

    def test_account_is_served_while_a_coordinator_is_dead(self) -> None:
        replay = _start(LARGE)
        replay.kill(replay.coordinators("hot")[0])
        alive = [name for name, proxy in replay.proxies.items() if proxy.is_alive]
        replay.send_steadily("hot", 40.0, alive, START_S, 15.0)
        replay.run_until(16.0)
        self.assertEqual(0, sum(replay.refusals.values()))


class TestChangedLimits(testtools.TestCase):
    """Limits are raised and lowered while the account sends more than any of them."""

    def test_lower_limit_holds_one_window_later(self) -> None:
        replay = _start(LARGE)
        _overload(replay, 30.0)
        replay.run_until(12.0)
        replay.limits["hot"] = SMALL
        replay.run_until(31.0)
        later = [at for at in replay.admitted["hot"] if at >= 12.0]
        self.assertLessEqual(max_in_window(later), allowed_in_window(SMALL))
        self.assertLessEqual(max_in_window(replay.admitted["hot"]), allowed_in_window(LARGE))

    def test_raised_limit_is_used_at_once(self) -> None:
        replay = _start(SMALL)
        replay.send_steadily("hot", 500.0, replay.proxies, START_S, 20.0)
        replay.run_until(12.0)
        replay.limits["hot"] = LARGE
        replay.run_until(21.0)
        served = sum(13.0 <= at < 20.0 for at in replay.admitted["hot"])
        self.assertGreater(served, 0.85 * LARGE.rate * 7.0)
        self.assertLessEqual(replay.find_excess("hot"), 0)

    def test_limit_that_alternates_holds(self) -> None:
        replay = _start(LARGE)
        _overload(replay, 25.0)
        for step in range(20):
            replay.run_until(START_S + step)
            replay.limits["hot"] = LARGE if step % 2 else RateLimit(100.0, 20.0)
        replay.run_until(26.0)
        self.assertLessEqual(replay.find_excess("hot", LARGE), 0)

    def test_rate_of_zero_admits_nothing(self) -> None:
        replay = _start(RateLimit(0.0, 0.0))
        replay.send_steadily("hot", 50.0, replay.proxies, START_S, 10.0)
        replay.run_until(11.0)
        self.assertEqual([], replay.admitted["hot"])


class TestCoordinatorFaults(testtools.TestCase):
    """The bound holds while coordinators fail and are replaced, at 7.5 times the limit."""

    def test_killed_coordinators(self) -> None:
        for limit in LIMITS:
            for seed in range(3):
                with self.subTest(limit=limit, seed=seed):
                    replay = _start(limit, 20, seed)
                    _overload(replay, 30.0)
                    for killed_at, index in ((7.0, 0), (8.5, 1)):
                        replay.run_until(killed_at)
                        name = replay.coordinators("hot")[index]
                        replay.kill(name)
                        replay.call_later(2.5, partial(replay.retire, name))
                    replay.run_until(31.0)
                    self.assertLessEqual(replay.find_excess("hot"), 0)
                    self.assertGreater(sum(at > 25.0 for at in replay.admitted["hot"]), 0)

    def test_restarted_coordinators(self) -> None:
        for limit in LIMITS:
            for seed in range(3):
                with self.subTest(limit=limit, seed=seed):
                    replay = _start(limit, 20, seed)
                    _overload(replay, 25.0)
                    for step in range(20):
                        replay.run_until(7.0 + 0.5 * step)
                        name = replay.coordinators("hot")[step % 2]
                        replay.kill(name)
                        replay.run_until(replay.now + 0.1)
                        replay.restart(name)
                    replay.run_until(26.0)
                    self.assertLessEqual(replay.find_excess("hot"), 0)

    def test_fleet_restarted_in_turn(self) -> None:
        for limit in LIMITS:
            with self.subTest(limit=limit):
                replay = _start(limit, 20)
                _overload(replay, 25.0)
                for number, name in enumerate(tuple(replay.proxies)):
                    replay.run_until(6.0 + 0.8 * number)
                    replay.kill(name)
                    replay.records.pop(name)
                    replay.publish()
                    replay.run_until(replay.now + 0.4)
                    replay.restart(name)
                replay.run_until(26.0)
                self.assertLessEqual(replay.find_excess("hot"), 0)

    def test_frozen_coordinators(self) -> None:
        for seconds in (0.1, 0.5, 3.0, 8.0, 12.0):
            for is_retired in (False, True):
                with self.subTest(seconds=seconds, is_retired=is_retired):
                    replay = _start(LARGE, 10)
                    _overload(replay, 30.0)
                    replay.run_until(7.0)
                    name = replay.coordinators("hot")[0]
                    replay.freeze(name, seconds)
                    if is_retired and seconds > 2.5:
                        replay.call_later(2.5, partial(replay.retire, name))
                    replay.run_until(31.0)
                    self.assertLessEqual(replay.find_excess("hot"), 0)

    def test_coordinator_that_is_cut_off_with_half_of_the_fleet(self) -> None:
        """The old coordinator grants to its half for 9 s after the others have replaced it."""
        for limit in LIMITS:
            for seed in range(3):
                with self.subTest(limit=limit, seed=seed):
                    replay = _start(limit, 20, seed)
                    _overload(replay, 35.0)
                    replay.run_until(7.0)
                    self._cut_off_half(replay)
                    replay.run_until(36.0)
                    self.assertLessEqual(replay.find_excess("hot"), 0)
                    self.assertGreater(sum(at > 30.0 for at in replay.admitted["hot"]), 0)

    def test_two_proxies_that_both_believe_to_be_the_coordinator(self) -> None:
        """A bucket that does not wait for the lease of a retired coordinator breaks the bound."""
        replay = _start(LARGE, 20)
        _overload(replay, 25.0)
        replay.run_until(7.0)
        self._cut_off_half(replay)
        for proxy in replay.proxies.values():
            _forget_retirements(proxy)
        replay.run_until(26.0)
        self.assertGreater(replay.find_excess("hot"), 0)

    def test_proxy_that_reaches_no_coordinator_admits_nothing(self) -> None:
        replay = _start(LARGE, 20)
        coordinators = replay.coordinators("hot")
        name = next(name for name in replay.proxies if name not in coordinators)
        replay.isolate(name, replay.proxies)
        replay.send_steadily("hot", 20.0, [name], START_S, 20.0)
        replay.run_until(21.0)
        self.assertEqual([], replay.admitted["hot"])
        self.assertEqual(["unavailable"], [reason for _, reason in replay.refusals])
        self.assertLess(replay.longest_wait, 0.35)

    def test_coordinator_without_a_valid_view_grants_nothing(self) -> None:
        replay = _start(LARGE, 20)
        name = replay.coordinators("hot")[0]
        replay.isolate(name, replay.proxies)
        replay.send_steadily("hot", 50.0, [name], START_S, 25.0)
        replay.run_until(26.0)
        self.assertLess(max(replay.admitted["hot"]), START_S + 9.0 + 0.25)

    def test_newcomers_take_over_accounts(self) -> None:
        for limit in LIMITS:
            with self.subTest(limit=limit):
                replay = _start(limit, 6)
                _overload(replay, 25.0)
                for number in range(24):
                    replay.run_until(6.0 + 0.5 * number)
                    replay.add(f"n-{number}")
                replay.run_until(26.0)
                self.assertLessEqual(replay.find_excess("hot"), 0)

    def _cut_off_half(self, replay: Replay) -> None:
        first, second = replay.coordinators("hot")
        others = [name for name in replay.proxies if name not in (first, second)]
        near, far = [first, *others[::2]], [second, *others[1::2]]
        for name in near:
            replay.isolate(name, far)
        replay.call_later(2.5, partial(replay.retire, first))


def _forget_retirements(proxy: ReplayedProxy) -> None:
    proxy.coordinators._find_retired_predecessors = lambda account, since: ()  # type: ignore[method-assign]


class TestWaitForNextPermit(testtools.TestCase):
    """A refused account asks again when a permit is there, not later."""

    def test_small_limit_is_served_at_its_rate(self) -> None:
        replay = _start(SMALL)
        replay.send_steadily("hot", 100.0, ["p-1"], START_S, 25.0)
        replay.run_until(26.0)
        times = [at for at in replay.admitted["hot"] if at > START_S + 5.0]
        longest_gap = max(second - first for first, second in pairwise(times))
        self.assertLess(longest_gap, 2 * 2 / SMALL.rate + HANDOVER_DELAY_S)
