"""Checks that the example of the decision logic runs."""

import runpy
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path

from testtools import TestCase

EXAMPLE = Path(__file__).parents[2] / "examples" / "drive_decisions.py"


class ExampleTest(TestCase):
    def test_example_prints_an_answer_to_its_read(self) -> None:
        output = StringIO()
        with redirect_stdout(output):
            runpy.run_path(str(EXAMPLE), run_name="__main__")
        self.assertIn("read-1: Answer(", output.getvalue())
