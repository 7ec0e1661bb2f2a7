"""The program's start as a real process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

LIMIT_S = 20.0
# Exit code for settings that are not valid.
BAD_SETTINGS = 2
# Packages that the role does without: each would add to the time of every restart.
NEEDLESS = {"automat", "grpc", "pydantic", "treq", "yaml", "orioleplank.decision.quorum"}


class TestStart(testtools.TestCase):
    def test_signal_to_reload_while_the_program_starts_does_not_end_it(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            pipe = Path(directory) / "boot.json"
            os.mkfifo(pipe)
            environment = {**os.environ, "ORIOLEPLANK_SETTINGS": str(pipe)}
            process = subprocess.Popen(
                [sys.executable, "-m", "orioleplank.platform"],
                env=environment,
                stderr=subprocess.PIPE,
            )
            # The pipe opens once the program reads its settings.
            with pipe.open("w") as settings:
                process.send_signal(signal.SIGHUP)
                settings.write("{}")
            process.communicate(timeout=LIMIT_S)
        self.assertEqual(BAD_SETTINGS, process.returncode)

    def test_start_imports_only_what_the_role_uses(self) -> None:
        program = "import orioleplank.platform._run, sys; print(*sys.modules, sep='\\n')"
        run = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, check=True, timeout=LIMIT_S
        )
        self.assertEqual(set(), NEEDLESS & set(run.stdout.decode().split()))
