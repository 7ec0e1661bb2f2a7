"""Counts of answered and failed requests over sliding windows."""

from testtools import TestCase

from orioleplank.daemon._burn_rate import WINDOWS, BurnRateCounts, Count, KindKey

KEY = KindKey("books", "save")


class BurnRateCountsTest(TestCase):
    def test_count_includes_only_requests_within_the_window(self) -> None:
        counts = BurnRateCounts()
        counts.add(KEY, True, 1000.0)
        counts.add(KEY, False, 1000.0)
        counts.add(KEY, True, 1400.0)
        self.assertEqual(Count(1, 0), counts.count(KEY, WINDOWS[0], 1400.0))
        self.assertEqual(Count(2, 1), counts.count(KEY, WINDOWS[1], 1400.0))

    def test_buckets_older_than_the_longest_window_are_removed(self) -> None:
        counts = BurnRateCounts()
        for hour in range(24):
            counts.add(KEY, True, hour * 3600.0)
        self.assertEqual(Count(6, 0), counts.count(KEY, WINDOWS[3], 23 * 3600.0))
        self.assertLessEqual(len(counts._buckets[KEY]), 7)
