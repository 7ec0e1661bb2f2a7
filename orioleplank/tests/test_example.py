"""The example that drives the decisions runs and answers."""

import runpy
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path

from testtools import TestCase

EXAMPLE = Path(__file__).parents[2] / "examples" / "drive_decisions.py"


class ExampleTest(TestCase):
    def test_answers_the_read(self) -> None:
        printed = StringIO()
        with redirect_stdout(printed):
            runpy.run_path(str(EXAMPLE), run_name="__main__")
        self.assertIn("read-1: Answer(", printed.getvalue())
