"""Tests of valid and invalid settings files."""

from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from orioleplank.cli import main
from orioleplank.settings import load_settings
from orioleplank.settings._document import InvalidDocumentError

VALID_SETTINGS = """
proxy: {name: entry-1, zone: akl-a, callers: "127.0.0.1:1", peers: "127.0.0.1:2",
  admin: "127.0.0.1:3"}
platform: {address: "127.0.0.1:4"}
"""


class SettingsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "proxy.yaml"

    def write(self, text: str) -> Path:
        self.path.write_text(text, encoding="utf-8")
        return self.path

    def test_omitted_settings_have_defaults(self) -> None:
        settings = load_settings(self.write(VALID_SETTINGS))
        self.assertEqual("entry-1", settings.proxy.name)
        self.assertEqual(10.0, settings.stop.grace)

    def test_problems_name_line_path_value_and_allowed_values(self) -> None:
        cases = {
            "unknown key": (VALID_SETTINGS + "limit: 3\n", 5, "limit", "3"),
            "wrong type": (
                VALID_SETTINGS + "limits:\n  message_bytes: many\n",
                6,
                "limits.message_bytes",
                "'many'",
            ),
            "out of range": (VALID_SETTINGS + "stop:\n  grace: -1\n", 6, "stop.grace", "-1"),
            "not one of": (VALID_SETTINGS + "log: {level: LOUD}\n", 5, "log.level", "'LOUD'"),
            "missing": ("proxy: {}\nplatform: {address: 'h:1'}\n", 1, "proxy.name", ""),
        }
        for name, (text, line, path, value) in cases.items():
            with self.subTest(name):
                error = self.assertRaises(InvalidDocumentError, load_settings, self.write(text))
                found = {problem.path: problem for problem in error.problems}[path]
                self.assertEqual((line, value), (found.line, found.value))
                self.assertNotEqual("", found.allowed)

    def test_file_that_is_not_yaml_is_rejected(self) -> None:
        error = self.assertRaises(InvalidDocumentError, load_settings, self.write("a: [\n"))
        self.assertIn("not YAML", error.problems[0].allowed)

    def test_check_command_exits_with_0_if_settings_are_valid_otherwise_with_2(self) -> None:
        self.assertEqual(2, main(["check", str(self.write("proxy: 3\n"))]))
        self.assertEqual(0, main(["check", str(self.write(VALID_SETTINGS))]))
        self.assertEqual(2, main(["check", str(self.path.with_name("absent.yaml"))]))
