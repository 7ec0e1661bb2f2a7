"""Load tests on real processes: open-loop arrivals, faults at set times, results."""

from orioleplank.load._compare import GoodputComparison, compare_results
from orioleplank.load._generator import LoadGenerator
from orioleplank.load._plan import FaultPlan, KindPlan, LoadPlan, read_plan
from orioleplank.load._result import KindResult, LoadResult, Recorder, read_result, write_result

__all__ = [
    "FaultPlan",
    "GoodputComparison",
    "KindPlan",
    "KindResult",
    "LoadGenerator",
    "LoadPlan",
    "LoadResult",
    "Recorder",
    "compare_results",
    "read_plan",
    "read_result",
    "write_result",
]
