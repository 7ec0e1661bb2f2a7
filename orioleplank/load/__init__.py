"""Load and experiments over real processes: open-loop arrivals, faults at set times, results."""

from orioleplank.load._compare import Difference, compare_results
from orioleplank.load._driver import Driver
from orioleplank.load._plan import FaultPlan, KindPlan, LoadPlan, load_plan
from orioleplank.load._result import KindResult, LoadResult, Recorder, read_result, write_result

__all__ = [
    "Difference",
    "Driver",
    "FaultPlan",
    "KindPlan",
    "KindResult",
    "LoadPlan",
    "LoadResult",
    "Recorder",
    "compare_results",
    "load_plan",
    "read_result",
    "write_result",
]
