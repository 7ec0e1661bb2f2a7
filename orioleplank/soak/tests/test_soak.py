"""Runs a short soak with fixed seeds over real processes; longer soaks are started by hand."""

from __future__ import annotations

import subprocess
import sys

import testtools

# With seed 4, a reload signal (SIGHUP) used to end a process that was still starting.
SEEDS = (4, 7)
MINUTES = 0.1
SOAK_TIMEOUT_S = 120.0


class TestSoak(testtools.TestCase):
    def test_soak_with_fixed_seeds_reports_no_violation(self) -> None:
        for seed in SEEDS:
            arguments = ["--seed", str(seed), "--minutes", str(MINUTES)]
            completed = subprocess.run(
                [sys.executable, "-m", "orioleplank.soak", *arguments],
                capture_output=True,
                text=True,
                timeout=SOAK_TIMEOUT_S,
                check=False,
            )
            self.assertEqual(
                "1 passed, 0 failed", completed.stdout.strip().splitlines()[-1], completed.stdout
            )
            self.assertEqual(0, completed.returncode)
