"""The weight of an owner's load report, and the effect of time and of requests sent since."""

from __future__ import annotations

import testtools

from orioleplank.decision.routing import LoadReport, OwnerLoad, update_load_report

_IDLE = OwnerLoad(0, 1, 5, 0.0)
_BUSY = OwnerLoad(9, 5, 5, 0.1)


class TestLoadReport(testtools.TestCase):
    def test_report_loses_its_weight_within_about_a_second(self) -> None:
        report = LoadReport(_BUSY, 10.0, 0.02)
        self.assertEqual(1.0, report.weight(10.0))
        self.assertLess(report.weight(11.0), 0.1)

    def test_idle_owner_has_no_wait_until_its_limit_is_used_up(self) -> None:
        report = LoadReport(_IDLE, 0.0, 0.02)
        for _ in range(3):
            report = report.add_sent()
        self.assertEqual(0.0, report.expected_wait)

    def test_requests_sent_since_lengthen_the_wait(self) -> None:
        """Otherwise a burst would all go to the owner that was idle in the last response."""
        report = LoadReport(_IDLE, 0.0, 0.02)
        for _ in range(20):
            report = report.add_sent()
        self.assertGreater(report.expected_wait, 0.05)

    def test_wait_of_a_busy_owner_grows_by_its_own_pace(self) -> None:
        report = LoadReport(_BUSY, 0.0, 0.02).add_sent()
        self.assertAlmostEqual(0.11, report.expected_wait)

    def test_old_base_time_is_replaced_by_a_new_sample(self) -> None:
        """An instance that was slow and recovered is used again after one good answer."""
        report = update_load_report(LoadReport(_IDLE, 0.0, 0.3), _IDLE, 0.02, 3.0)
        self.assertLess(report.base_time, 0.03)

    def test_base_time_excludes_the_wait_at_the_owner(self) -> None:
        report = update_load_report(None, _BUSY, 0.13, 0.0)
        self.assertAlmostEqual(0.03, report.base_time)
        self.assertEqual(0, update_load_report(report.add_sent(), _BUSY, None, 1.0).sent_since)
