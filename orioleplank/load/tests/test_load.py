"""Tests of plans, results and comparisons of load tests."""

from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase

from orioleplank.load import (
    LoadResult,
    Recorder,
    compare_results,
    read_plan,
    read_result,
    write_result,
)
from orioleplank.settings._document import InvalidDocumentError

EXAMPLE = Path(__file__).parents[3] / "examples" / "load.yaml"


def make_result(*goodput: float) -> LoadResult:
    """Return a result with the given goodput of each second."""
    return LoadResult(100.0, float(len(goodput)), (), goodput, ())


class PlanTest(TestCase):
    def test_example_is_valid(self) -> None:
        self.assertEqual(2, len(read_plan(EXAMPLE).kinds))

    def test_error_for_an_invalid_plan_contains_path_and_value(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "load.yaml"
            path.write_text(EXAMPLE.read_text().replace("rate: 200", "rate: -1"))
            error = self.assertRaises(InvalidDocumentError, read_plan, path)
            self.assertEqual(("rate", "-1"), (error.problems[0].path, error.problems[0].value))


class RecorderTest(TestCase):
    def test_recorder_counts_answers_and_failures_by_kind(self) -> None:
        recorder = Recorder({"save": 10, "read": 1}, 3.0)
        for kind in ("save", "save", "read"):
            recorder.record_sent(kind)
        recorder.record_answer("save", 0.25, 0.5, False, True)
        recorder.record_answer("read", 0.5, 1.5, True, False)
        recorder.record_failure("save", "overloaded")
        result = recorder.build_result(1.0)
        save, read = result.kinds
        self.assertEqual((2, 1, {"overloaded": 1}), (save.sent, save.answered, save.reasons))
        self.assertEqual(1, read.by_replica)
        self.assertEqual((10.0, 1.0, 0.0), result.goodput)
        self.assertAlmostEqual(0.25, save.latency["50.0"], places=2)

    def test_written_result_is_read_back_unchanged(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "result.json"
            write_result(make_result(1.0, 2.0), path)
            self.assertEqual(make_result(1.0, 2.0), read_result(path))


class CompareTest(TestCase):
    def test_equal_results_do_not_differ_significantly(self) -> None:
        result = make_result(*(100.0 + second_number % 7 for second_number in range(20)))
        self.assertFalse(compare_results(result, result).is_significant)

    def test_half_the_goodput_differs_significantly(self) -> None:
        first = make_result(*(100.0 + second_number % 7 for second_number in range(20)))
        second = make_result(*(50.0 + second_number % 5 for second_number in range(20)))
        comparison = compare_results(first, second)
        self.assertTrue(comparison.is_significant)
        self.assertLess(comparison.high, 0.6)

    def test_comparison_of_one_second_is_refused(self) -> None:
        self.assertRaises(ValueError, compare_results, make_result(1.0), make_result(1.0))
