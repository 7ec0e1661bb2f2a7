"""A part of the fault matrix for every run of the tests; `make matrix` plays all of it."""

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test
from testtools import TestCase

from orioleplank.decision.quorum import Safeguard
from orioleplank.tests._cells import Cell, InjectionPoint, list_cells, run_cell
from orioleplank.tests._focused import FOCUSED_CASES
from orioleplank.tests._overlapping_faults import OverlappingFaultsMachine
from orioleplank.tests._scenario import Fault

EVERY = 9
STORM_EXAMPLES = 40
STORM_SEED = 7

# Cells that showed a fault of the product once, with what they showed.
REGRESSIONS = {
    "a repeat was told 'not run' although its first copy ran": (
        InjectionPoint.PROMOTION_SEALING,
        Fault.KILL_INSTANCE,
    ),
    "the primary that its group does not hear was promoted again and again": (
        InjectionPoint.WRITE_EXECUTED,
        Fault.CUT_GROUP,
    ),
    "callers waited at a proxy that could not reach the primary": (
        InjectionPoint.WRITE_SENT,
        Fault.CUT_TO_INSTANCE,
    ),
    "a configuration accepted before the store went down stood on one proxy only": (
        InjectionPoint.CONFIGURATION_EFFECT,
        Fault.STORE_DOWN,
    ),
}

# For each mechanism a cell that turns red when it is switched off.
BITES = {
    Safeguard.TOMBSTONE: (InjectionPoint.COMMIT_SENT, Fault.HOLD_LINK_SHORT),
    Safeguard.LEDGER: (InjectionPoint.WRITE_EXECUTED, Fault.KILL_PROXY),
}


class MatrixTest(TestCase):
    def test_cells(self) -> None:
        for cell in list_cells()[::EVERY]:
            with self.subTest(cell.name):
                verdict = run_cell(cell)
                self.assertEqual([], verdict.violations)
                self.assertTrue(verdict.fault_injected)

    def test_faults_found_before_stay_mended(self) -> None:
        for name, (step, fault) in REGRESSIONS.items():
            with self.subTest(name):
                self.assertEqual([], run_cell(Cell(step, fault)).violations)

    def test_checks_bite(self) -> None:
        for switch, (step, fault) in BITES.items():
            with self.subTest(switch.value):
                verdict = run_cell(Cell(step, fault), frozenset({switch}))
                self.assertNotEqual([], verdict.violations)

    def test_focused_cases_hold_and_bite(self) -> None:
        switches = (Safeguard.CONFIRMATION, Safeguard.RETRY_BUDGET)
        for case, switch in zip(FOCUSED_CASES, switches, strict=True):
            with self.subTest(case.name):
                self.assertEqual("", case.run(frozenset()))
                self.assertNotEqual("", case.run(frozenset({switch})))

    def test_a_run_is_the_same_every_time(self) -> None:
        cell = Cell(InjectionPoint.COMMIT_EXECUTED, Fault.KILL_INSTANCE)
        self.assertEqual(run_cell(cell).write_gap, run_cell(cell).write_gap)

    def test_storm(self) -> None:
        profile = settings(
            max_examples=STORM_EXAMPLES,
            stateful_step_count=6,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        run_state_machine_as_test(seed(STORM_SEED)(OverlappingFaultsMachine), settings=profile)
