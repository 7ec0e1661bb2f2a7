"""Tests of starting the program as a separate process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

PROCESS_TIMEOUT_S = 20.0
# Exit code for invalid settings.
EXIT_INVALID_SETTINGS = 2
# Packages that the program does not use. Importing one would lengthen every restart.
UNNEEDED_PACKAGES = {"automat", "grpc", "pydantic", "treq", "yaml", "orioleplank.decision.quorum"}


class TestStart(testtools.TestCase):
    def test_reload_signal_during_start_does_not_terminate_the_program(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            pipe = Path(directory) / "boot.json"
            os.mkfifo(pipe)
            environment = {**os.environ, "ORIOLEPLANK_SETTINGS": str(pipe)}
            process = subprocess.Popen(
                [sys.executable, "-m", "orioleplank.platform"],
                env=environment,
                stderr=subprocess.PIPE,
            )
            # Opening the pipe blocks until the program opens its settings file.
            with pipe.open("w") as settings:
                process.send_signal(signal.SIGHUP)
                settings.write("{}")
            process.communicate(timeout=PROCESS_TIMEOUT_S)
        self.assertEqual(EXIT_INVALID_SETTINGS, process.returncode)

    def test_start_does_not_import_unneeded_packages(self) -> None:
        script = "import orioleplank.platform._run, sys; print(*sys.modules, sep='\\n')"
        completed = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            check=True,
            timeout=PROCESS_TIMEOUT_S,
        )
        self.assertEqual(set(), UNNEEDED_PACKAGES & set(completed.stdout.decode().split()))
