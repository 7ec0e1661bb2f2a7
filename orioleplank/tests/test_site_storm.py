"""Random faults on whole gateways; every answer is audited."""

from __future__ import annotations

import testtools

from orioleplank.tests._site_storm import Storm

SEEDS = range(20261204, 20261212)


class TestStorm(testtools.TestCase):
    def test_no_rule_is_broken(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                audit = Storm(seed).play()
                self.assertEqual([], audit.violations[:5])
                self.assertGreater(audit.answered, 300)
