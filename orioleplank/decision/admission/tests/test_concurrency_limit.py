"""The learned limit: single steps, and several owners of one instance under simulated loads."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from orioleplank.decision.admission import ConcurrencyLimit, StatementResult
from orioleplank.decision.admission.tests._simulated_load import run_owners

SLOTS = 5
CEILING = 18
# Mean work of a statement, in seconds, and statements per second that five slots serve of it.
MEAN_WORK_S = 0.015
CAPACITY = SLOTS / (MEAN_WORK_S * 1.04)
# The learned limits are judged after this time, in seconds.
SETTLED_S = 10.0


def _run_window(
    limit: ConcurrencyLimit,
    now: float,
    latency: float,
    running: int,
    result: StatementResult = StatementResult.ANSWERED,
) -> tuple[ConcurrencyLimit, float]:
    """Return the limit after 30 statements with this latency, and the time."""
    for _ in range(30):
        now += 0.01
        limit = limit.start_statement(running, CEILING, now)
        limit = limit.end_statement(result, latency, running == 1, CEILING, now)
    return limit, now


def _learn_unloaded(latency: float) -> tuple[ConcurrencyLimit, float]:
    """Return a limit that knows the latency of single statements, and the time."""
    return _run_window(ConcurrencyLimit.begin(SLOTS, 0.0), 0.0, latency, running=1)


class TestConcurrencyLimit(testtools.TestCase):
    """Single steps."""

    def test_limit_starts_at_the_slots(self) -> None:
        self.assertEqual(SLOTS, ConcurrencyLimit.begin(SLOTS, 0.0).usual(CEILING))

    def test_limit_rises_while_it_is_used_and_latency_is_unloaded(self) -> None:
        limit, now = _learn_unloaded(0.01)
        for _ in range(3):
            limit, now = _run_window(limit, now, 0.011, running=limit.usual(CEILING))
        self.assertGreater(limit.usual(CEILING), SLOTS)

    def test_limit_that_is_not_used_does_not_rise(self) -> None:
        """Otherwise a quiet hour would leave a limit that protects nothing in the next burst."""
        limit, now = _learn_unloaded(0.01)
        for _ in range(10):
            limit, now = _run_window(limit, now, 0.01, running=2)
        self.assertEqual(SLOTS, limit.usual(CEILING))

    def test_limit_falls_when_latency_is_far_above_the_unloaded_one(self) -> None:
        limit, now = _learn_unloaded(0.01)
        limit, now = _run_window(limit, now, 0.1, running=5)
        self.assertLess(limit.usual(CEILING), SLOTS)

    def test_busy_answers_of_one_moment_decrease_the_limit_once(self) -> None:
        limit = ConcurrencyLimit.begin(10, 0.0)
        for _ in range(8):
            limit = limit.end_statement(StatementResult.OVERLOADED, 0.0, False, CEILING, 1.0)
        self.assertEqual(7, limit.usual(CEILING))

    def test_fast_failures_are_no_sign_of_speed(self) -> None:
        """An instance that fails its work at once would otherwise be given more and more."""
        limit, now = _learn_unloaded(0.01)
        unloaded = limit.unloaded_latency
        for _ in range(20):
            limit, now = _run_window(limit, now, 0.0001, 5, StatementResult.NO_SAMPLE)
        self.assertEqual(unloaded, limit.unloaded_latency)
        self.assertEqual(SLOTS, limit.usual(CEILING))

    def test_unused_limit_returns_to_the_slots(self) -> None:
        limit = ConcurrencyLimit.begin(SLOTS, 0.0)
        for second in range(10):
            limit = limit.end_statement(
                StatementResult.OVERLOADED, 0.0, False, CEILING, float(second)
            )
        self.assertEqual(1, limit.usual(CEILING))
        limit = limit.start_statement(0, CEILING, 60.0)
        self.assertEqual(SLOTS, limit.usual(CEILING))

    def test_outdated_unloaded_latency_is_measured_with_one_statement_at_a_time(self) -> None:
        limit, now = _learn_unloaded(0.01)
        limit = limit.start_statement(SLOTS, CEILING, now + 60.0)
        self.assertEqual(1, limit.allowed(CEILING, now + 60.01))
        self.assertEqual(SLOTS, limit.usual(CEILING))

    def test_nothing_is_measured_while_the_connections_are_the_limit(self) -> None:
        """A proxy with few connections would leave slots idle for a figure that it does not use."""
        limit, now = _learn_unloaded(0.01)
        limit = limit.start_statement(3, 3, now + 60.0)
        self.assertEqual(3, limit.allowed(3, now + 60.0))

    def test_statement_that_hangs_does_not_prolong_a_measurement(self) -> None:
        limit, now = _learn_unloaded(0.01)
        limit = limit.start_statement(SLOTS, CEILING, now + 60.0)
        self.assertEqual(SLOTS, limit.allowed(CEILING, now + 61.0))

    def test_measurement_ends_while_the_instance_answers_nothing_useful(self) -> None:
        """Otherwise failures alone would keep the limit at one."""
        limit, now = _learn_unloaded(0.01)
        limit = limit.start_statement(SLOTS, CEILING, now + 60.0)
        limit = limit.end_statement(StatementResult.NO_SAMPLE, 0.0, True, CEILING, now + 61.0)
        self.assertEqual(SLOTS, limit.allowed(CEILING, now + 61.0))

    @settings(deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(StatementResult),
                st.floats(0.0, 3.0),
                st.integers(1, 30),
                st.integers(1, 30),
                st.floats(0.0, 5.0),
            ),
            max_size=100,
        )
    )
    def test_limit_is_always_between_one_and_the_connections(
        self, steps: list[tuple[StatementResult, float, int, int, float]]
    ) -> None:
        limit, now = ConcurrencyLimit.begin(SLOTS, 0.0), 0.0
        for result, latency, running, ceiling, pause in steps:
            now += pause
            limit = limit.start_statement(running, ceiling, now)
            limit = limit.end_statement(result, latency, running == 1, ceiling, now)
            self.assertTrue(1 <= limit.allowed(ceiling, now) <= ceiling)


class TestConstantSpeed(testtools.TestCase):
    """Load: an instance that takes all its slots well; two owners, 0.5 to 2 times its capacity."""

    def _check_load(self, load: float) -> None:
        """The limit costs at most 2% of the throughput that fixed connections have."""
        throughputs = {}
        for is_limited in (False, True):
            run = run_owners(lambda _: load * CAPACITY / 2, 40.0, is_limited, connections=26)
            throughputs[is_limited] = run.throughput(SETTLED_S, 40.0)
        self.assertGreaterEqual(throughputs[True], 0.98 * throughputs[False])

    def test_throughput_at_half_of_the_capacity(self) -> None:
        self._check_load(0.5)

    def test_throughput_just_below_the_capacity(self) -> None:
        self._check_load(0.9)

    def test_throughput_just_above_the_capacity(self) -> None:
        self._check_load(1.2)

    def test_throughput_at_twice_the_capacity(self) -> None:
        self._check_load(2.0)

    def test_instance_is_not_driven_to_busy_answers(self) -> None:
        run = run_owners(lambda _: CAPACITY, 40.0, connections=26)
        busy = sum(owner.outcomes.busy for owner in run.owners)
        served = sum(len(owner.outcomes.served) for owner in run.owners)
        self.assertLess(busy, 0.01 * served)

    def test_single_proxy_fills_all_slots(self) -> None:
        throughputs = [
            run_owners(lambda _: 1.5 * CAPACITY, 40.0, is_limited, owners=1).throughput(
                SETTLED_S, 40.0
            )
            for is_limited in (False, True)
        ]
        self.assertGreaterEqual(throughputs[1], 0.97 * throughputs[0])


class TestFairness(testtools.TestCase):
    """Load: several owners learn at one instance; none may be pushed out."""

    def test_owners_get_similar_shares(self) -> None:
        for seed in range(3):
            run = run_owners(lambda _: CAPACITY, 60.0, connections=26, seed=seed)
            shares = sorted(owner.outcomes.throughput(20.0, 60.0) for owner in run.owners)
            self.assertLess(shares[1], 3 * shares[0])

    def test_owner_that_comes_late_gets_its_share(self) -> None:
        """The first owner has filled the instance; the other one knows only latency under load."""
        rates = [lambda _: CAPACITY, lambda now: CAPACITY if now > 20.0 else 1.0]
        for seed in range(3):
            run = run_owners(rates, 60.0, connections=26, seed=seed)
            late = run.owners[1].outcomes.throughput(30.0, 60.0)
            self.assertGreater(late, run.throughput(30.0, 60.0) / 4)

    def test_limits_stay_bounded_under_lasting_overload(self) -> None:
        """Each proxy measures as unloaded what the other one causes; that must not add up."""
        run = run_owners(lambda _: CAPACITY, 120.0, connections=60, queue_length=200)
        limits = sum(owner.outcomes.mean_limit(60.0, 120.0) for owner in run.owners)
        self.assertLess(limits, 5 * SLOTS)


class TestUnevenInstances(testtools.TestCase):
    """Load: instances of one service that differ in speed by a factor of 7."""

    def test_fast_and_slow_instance_are_both_used_fully(self) -> None:
        self._check_speed(0.004, 700.0)
        self._check_speed(0.028, 100.0)

    def _check_speed(self, mean_work: float, rate: float) -> None:
        served = [
            run_owners(lambda _: rate, 30.0, is_limited, mean_work=mean_work).throughput(
                SETTLED_S, 30.0
            )
            for is_limited in (False, True)
        ]
        self.assertGreaterEqual(served[1], 0.97 * served[0])


class TestEarlySlowdown(testtools.TestCase):
    """Load: an instance that slows down long before its slots are used."""

    def test_more_is_served_than_with_fixed_connections(self) -> None:
        runs = [
            run_owners(
                lambda now: 10.0 if now < 5.0 else 60.0,
                40.0,
                is_limited,
                slots=8,
                slowdown=lambda _, running: 1.0 + 0.1 * (running - 1) ** 2,
            )
            for is_limited in (False, True)
        ]
        served = [run.throughput(SETTLED_S, 40.0) for run in runs]
        self.assertGreater(served[1], 1.05 * served[0])
        self.assertLess(runs[1].quantile(0.5, SETTLED_S), runs[0].quantile(0.5, SETTLED_S))


class TestTemporarySlowness(testtools.TestCase):
    """Load: an instance that is five times as slow for 6 s, whatever its load, and recovers."""

    def setUp(self) -> None:
        super().setUp()

        def slowdown(now: float, running: int) -> float:
            return 5.0 if 10.0 <= now < 16.0 else 1.0

        self.before, self.run_limited = (
            run_owners(lambda _: 120.0, 30.0, is_limited, slowdown=slowdown)
            for is_limited in (False, True)
        )

    def test_slow_instance_is_not_held_below_what_it_takes(self) -> None:
        slow = self.run_limited.throughput(12.0, 16.0)
        self.assertGreaterEqual(slow, 0.8 * self.before.throughput(12.0, 16.0))

    def test_recovered_instance_is_used_fully_within_two_seconds(self) -> None:
        after = self.run_limited.throughput(18.0, 28.0)
        self.assertGreaterEqual(after, 0.98 * self.before.throughput(18.0, 28.0))


class TestWarmUp(testtools.TestCase):
    """Load: an instance that is six times as slow at first and warms up within 15 s."""

    def test_warm_instance_is_used_fully(self) -> None:
        served = [
            run_owners(
                lambda _: 120.0,
                30.0,
                is_limited,
                slowdown=lambda now, _: max(1.0, 6.0 - now / 3.0),
            ).throughput(14.0, 30.0)
            for is_limited in (False, True)
        ]
        self.assertGreaterEqual(served[1], 0.97 * served[0])


class TestFilledQueue(testtools.TestCase):
    """Load: other proxies fill the queue of an instance, which then answers BUSY."""

    def test_owner_with_a_limit_causes_fewer_busy_answers(self) -> None:
        busy = [
            sum(
                owner.outcomes.busy
                for owner in run_owners(
                    lambda _: 200.0, 20.0, is_limited, owners=3, queue_length=4
                ).owners
            )
            for is_limited in (False, True)
        ]
        self.assertLess(busy[1], busy[0] / 4)


class TestMovingDemand(testtools.TestCase):
    """Load: the demand moves from the zone of one owner to that of the other."""

    def test_demand_that_arrives_is_served(self) -> None:
        rates = [
            lambda now: 250.0 if now < 15.0 else 10.0,
            lambda now: 10.0 if now < 15.0 else 250.0,
        ]
        run = run_owners(rates, 30.0)
        self.assertGreater(run.throughput(16.0, 30.0), 0.95 * 260.0)
