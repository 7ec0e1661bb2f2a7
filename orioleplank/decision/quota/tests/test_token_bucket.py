"""The token bucket: bursts at once, the rate in the long term, and changed limits."""

from __future__ import annotations

from math import inf

import testtools
from hypothesis import given
from hypothesis import strategies as st

from orioleplank.decision.quota import TokenBucket


class TestTake(testtools.TestCase):
    def test_bucket_grants_its_level_and_then_its_rate(self) -> None:
        bucket = TokenBucket(10.0, 5.0, 5.0, 0.0)
        bucket, taken = bucket.take(8, 0.0)
        self.assertEqual(5, taken)
        bucket, taken = bucket.take(8, 0.3)
        self.assertEqual(3, taken)

    def test_level_does_not_pass_the_capacity(self) -> None:
        _, taken = TokenBucket(10.0, 5.0, 0.0, 0.0).take(100, 60.0)
        self.assertEqual(5, taken)

    def test_bucket_of_the_future_grants_nothing_before(self) -> None:
        bucket = TokenBucket(10.0, 5.0, 0.0, 9.0)
        bucket, taken = bucket.take(1, 8.9)
        self.assertEqual(0, taken)
        self.assertAlmostEqual(0.2, bucket.next_permit_in(8.9))
        _, taken = bucket.take(9, 9.2)
        self.assertEqual(2, taken)

    def test_negative_count_takes_nothing(self) -> None:
        bucket = TokenBucket(10.0, 5.0, 5.0, 0.0)
        self.assertEqual((bucket, 0), bucket.take(-3, 0.0))

    @given(
        st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(0, 50)), max_size=60),
        st.floats(0.0, 50.0),
        st.floats(1.0, 50.0),
    )
    def test_no_window_grants_more_than_its_limit(
        self, steps: list[tuple[float, int]], rate: float, capacity: float
    ) -> None:
        bucket, now, grants = TokenBucket(rate, capacity, capacity, 0.0), 0.0, []
        for pause, count in steps:
            now += pause
            bucket, taken = bucket.take(count, now)
            grants.append((now, taken))
        for first, (start, _) in enumerate(grants):
            total = 0
            for at, taken in grants[first:]:
                total += taken
                self.assertLessEqual(total, capacity + rate * (at - start) + 1e-6)


class TestNextPermit(testtools.TestCase):
    def test_time_of_the_next_permit_is_stated(self) -> None:
        bucket, _ = TokenBucket(4.0, 5.0, 1.5, 0.0).take(1, 0.0)
        self.assertAlmostEqual(0.125, bucket.next_permit_in(0.0))
        _, taken = bucket.take(1, 0.125)
        self.assertEqual(1, taken)

    def test_bucket_without_a_rate_never_has_one(self) -> None:
        self.assertEqual(inf, TokenBucket(0.0, 1.0, 0.0, 0.0).next_permit_in(5.0))


class TestChangedLimit(testtools.TestCase):
    def test_lower_capacity_takes_effect_at_once(self) -> None:
        bucket = TokenBucket(10.0, 50.0, 50.0, 0.0).change_limit(1.0, 5.0, 1.0)
        _, taken = bucket.take(100, 1.0)
        self.assertEqual(5, taken)

    def test_time_before_the_change_counts_at_the_old_rate(self) -> None:
        bucket = TokenBucket(2.0, 50.0, 0.0, 0.0).change_limit(100.0, 50.0, 3.0)
        _, taken = bucket.take(100, 3.0)
        self.assertEqual(6, taken)

    def test_change_does_not_move_a_start_in_the_future(self) -> None:
        bucket = TokenBucket(2.0, 50.0, 0.0, 9.0).change_limit(10.0, 50.0, 3.0)
        _, taken = bucket.take(100, 9.5)
        self.assertEqual(5, taken)
