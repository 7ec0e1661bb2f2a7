"""Exit codes of commands, and burn rates in reports."""

from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path

from testtools import TestCase

from orioleplank.cli import main
from orioleplank.cli._burn_rate import KindBurnRate, format_burn_rate, render_html_report
from orioleplank.settings import read_documents

EXAMPLES = Path(__file__).parents[3] / "examples"
UNUSED_ADDRESS = "127.0.0.1:1"


def run(*arguments: str) -> int:
    """Run a command with its output discarded; return its exit code."""
    with redirect_stdout(StringIO()), redirect_stderr(StringIO()):
        return main(list(arguments))


class ExitCodeTest(TestCase):
    def test_commands_return_the_documented_exit_codes(self) -> None:
        services = str(EXAMPLES / "services.yaml")
        cases = {
            "valid settings": (["check", str(EXAMPLES / "proxy-1.yaml")], 0),
            "settings with the content of another file type": (["check", services], 2),
            "status of an unreachable proxy": (["status", "--admin", UNUSED_ADDRESS], 4),
            "apply at an unreachable proxy": (
                ["apply", services, "--author", "a", "--admin", UNUSED_ADDRESS],
                4,
            ),
            "preset without an author": (["preset", "peak", "--admin", UNUSED_ADDRESS], 2),
            "call without a statement": (["call", "--service", "s", "--kind", "k"], 2),
            "call with a malformed token": (
                ["call", "--service", "s", "--kind", "k", "--token", "xy", "SELECT 1"],
                2,
            ),
            "apply of invalid objects": (
                ["apply", str(EXAMPLES / "load.yaml"), "--author", "a", "--admin", UNUSED_ADDRESS],
                2,
            ),
        }
        for name, (arguments, code) in cases.items():
            with self.subTest(name):
                self.assertEqual(code, run(*arguments))

    def test_example_services_file_has_four_documents(self) -> None:
        self.assertEqual(4, len(read_documents(EXAMPLES / "services.yaml")))


class BurnRateTest(TestCase):
    def test_alert_requires_high_rates_in_a_short_and_a_long_window(self) -> None:
        cases = {
            "": {"5m": 20.0, "1h": 1.0, "30m": 7.0, "6h": 1.0},
            "fast": {"5m": 15.0, "1h": 15.0, "30m": 15.0, "6h": 3.0},
            "slow": {"5m": 1.0, "1h": 7.0, "30m": 7.0, "6h": 6.5},
        }
        for alert, rates in cases.items():
            with self.subTest(alert):
                self.assertEqual(alert, KindBurnRate("s", "k", rates, 0.5).alert)

    def test_html_report_escapes_names(self) -> None:
        burn = KindBurnRate("<s>", "k", dict.fromkeys(("5m", "30m", "1h", "6h"), 0.5), 0.5)
        page = render_html_report([format_burn_rate(burn)], [burn])
        self.assertIn("&lt;s&gt;", page)
        self.assertNotIn("<s>", page.replace("<style>", ""))
