"""The `explain` and `timeline` commands on intact and damaged logs."""

from __future__ import annotations

import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path

import testtools

from orioleplank.cli import main

LINES = (
    {"time": 10.0, "event": 1200, "name": "routes", "proxy": "a", "version": 7},
    {"time": 10.1, "event": 1200, "name": "routes", "proxy": "b", "version": 7},
    {"time": 20.0, "event": 1300, "name": "group", "proxy": "a", "service": "books",
     "phase": "moving", "primary": "i-1", "revision": 4},
    {"time": 20.2, "event": 1303, "name": "move", "proxy": "b", "service": "books",
     "outcome": "claimed"},
    {"time": 20.3, "event": 1303, "name": "move", "proxy": "b", "service": "other",
     "outcome": "claimed"},
    {"time": 20.4, "event": 1500, "name": "store", "proxy": "b", "outcome": "restored", "era": 2},
    {"time": 20.4, "event": 1500, "name": "store", "proxy": "b", "outcome": "reached"},
    {"time": 20.5, "event": 1400, "name": "request", "proxy": "a", "id": "r9", "service": "books",
     "code": "busy", "step": "place write", "why": "no primary is in force", "instance": ""},
    {"time": 90.0, "event": 1303, "name": "move", "proxy": "b", "service": "books",
     "outcome": "done"},
)  # fmt: skip


class _LogsTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.log = Path(directory.name) / "log"

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        out, err = StringIO(), StringIO()
        with redirect_stdout(out), redirect_stderr(err):
            code = main([*arguments, str(self.log)])
        return code, out.getvalue(), err.getvalue()

    def write(self, prefix: str = "", damage: str = "") -> None:
        texts = [f"{prefix}{json.dumps({'at': 0.0, **line})}" for line in LINES]
        self.log.write_text("\n".join([*texts, damage]))


class TestExplain(_LogsTestCase):
    def test_explain_prints_cause_known_state_and_changes_on_other_proxies(self) -> None:
        self.write()
        code, out, _ = self.run_command("explain", "r9")
        self.assertEqual(0, code)
        self.assertIn("refused as busy at step place write: no primary is in force", out)
        self.assertIn("phase=moving primary=i-1", out)
        self.assertIn("outcome=claimed", out)
        self.assertIn("outcome=restored era=2", out)
        self.assertNotIn("outcome=reached", out)
        self.assertNotIn("service=other", out)
        self.assertNotIn("outcome=done", out)

    def test_prefix_of_a_log_collector_is_ignored(self) -> None:
        self.write(prefix="  20.5 entry-1 ")
        self.assertEqual(0, self.run_command("explain", "r9")[0])

    def test_damaged_lines_are_counted_and_the_others_are_read(self) -> None:
        self.write(damage='{"time": 3, "event"\n{"event": "x"}\n[1]\nnoise')
        code, out, err = self.run_command("explain", "r9")
        self.assertEqual(0, code)
        self.assertIn("place write", out)
        self.assertIn("4 lines could not be read", err)

    def test_unknown_request_is_reported_with_exit_code_4(self) -> None:
        self.write()
        code, _, err = self.run_command("explain", "r10")
        self.assertEqual(4, code)
        self.assertIn("no line tells of r10", err)

    def test_missing_log_file_is_bad_input(self) -> None:
        code, _, err = self.run_command("explain", "r9")
        self.assertEqual(2, code)
        self.assertIn("No such file", err)


class TestTimeline(_LogsTestCase):
    def test_same_change_on_several_proxies_is_printed_once(self) -> None:
        self.write()
        _, out, _ = self.run_command("timeline")
        rows = out.splitlines()
        self.assertIn("(on 2 proxies within 0.100 s)", rows[0])
        self.assertEqual(7, len(rows))
        self.assertNotIn("r9", out)
