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
# Packages that the program does not use, or not until later. Importing one lengthens every restart.
UNNEEDED_PACKAGES = {
    "_ssl",
    "asyncio",
    "automat",
    "email",
    "http.client",
    "grpc",
    "orioleplank.decision.quorum",
    "prometheus_client",
    "pydantic",
    "treq",
    "twisted.internet.endpoints",
    "twisted.web",
    "urllib.request",
    "yaml",
}
# Largest number of modules that a start may import, the reactor and the standard library included.
MAX_IMPORTED_MODULES = 193
# Prints the imported modules, and the data classes of the project: each takes long to build.
LIST_IMPORTS = """
import sys
# Twisted uses pyOpenSSL where it is installed, which it is not in a deployment.
sys.modules["OpenSSL"] = None
imported_before = set(sys.modules)
from orioleplank.platform._imports import shorten_imports
shorten_imports()
import twisted.internet.epollreactor, orioleplank.platform._run
print(*(sys.modules.keys() - imported_before))
print(*{
    item.__qualname__
    for name, module in sys.modules.items() if name.startswith("orioleplank")
    for item in vars(module).values()
    if isinstance(item, type) and "__dataclass_fields__" in vars(item)
})
"""


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

    def test_unknown_mechanism_ends_the_process_with_a_list_of_the_known_ones(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "orioleplank.platform", "--without", "nope"],
            capture_output=True,
            check=False,
            text=True,
            timeout=PROCESS_TIMEOUT_S,
        )
        self.assertEqual(EXIT_INVALID_SETTINGS, completed.returncode)
        self.assertIn("no mechanism is called nope; known: early-refusal", completed.stderr)

    def test_start_imports_no_unneeded_package_and_builds_no_data_classes(self) -> None:
        modules, data_classes = self._run_script(LIST_IMPORTS).split("\n")[:2]
        self.assertEqual(set(), UNNEEDED_PACKAGES & set(modules.split()))
        self.assertEqual("", data_classes)

    def test_start_imports_few_modules(self) -> None:
        modules = self._run_script(LIST_IMPORTS).split("\n")[0].split()
        self.assertLessEqual(len(modules), MAX_IMPORTED_MODULES)

    def test_shortened_imports_leave_coroutines_and_asyncio_usable(self) -> None:
        output = self._run_script("""
from orioleplank.platform._imports import shorten_imports
shorten_imports()
from twisted.internet.defer import Deferred
async def double(number): return 2 * number
Deferred.fromCoroutine(double(4)).addCallback(print)
import asyncio, http.cookiejar, logging
print(asyncio.run(double(5)), http.cookiejar.CookieJar.__name__, logging.INFO)
""")
        self.assertEqual("8\n10 CookieJar 20\n", output)

    def _run_script(self, script: str) -> str:
        completed = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            check=True,
            text=True,
            timeout=PROCESS_TIMEOUT_S,
        )
        return completed.stdout
