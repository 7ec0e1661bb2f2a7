"""Runs a sample of the fault matrix; `make matrix` runs all of it."""

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test
from testtools import TestCase

from orioleplank.decision.quorum import Safeguard
from orioleplank.tests._cells import Cell, InjectionPoint, list_cells, run_cell
from orioleplank.tests._focused import FOCUSED_CASES
from orioleplank.tests._overlapping_faults import OverlappingFaultsMachine
from orioleplank.tests._scenario import Fault

CELL_STRIDE = 9
OVERLAPPING_FAULTS_EXAMPLES = 40
OVERLAPPING_FAULTS_SEED = 7

# Cells that once failed because of a bug in the product, by a description of the failure.
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

# For each of these safeguards a cell that fails when it is disabled.
CELLS_FAILING_WITHOUT = {
    Safeguard.TOMBSTONE: (InjectionPoint.COMMIT_SENT, Fault.HOLD_LINK_SHORT),
    Safeguard.LEDGER: (InjectionPoint.WRITE_EXECUTED, Fault.KILL_PROXY),
}


class MatrixTest(TestCase):
    def test_sampled_cells_hold_all_guarantees(self) -> None:
        for cell in list_cells()[::CELL_STRIDE]:
            with self.subTest(cell.name):
                result = run_cell(cell)
                self.assertEqual([], result.violations)
                self.assertTrue(result.fault_injected)

    def test_cells_that_once_failed_hold_all_guarantees(self) -> None:
        for name, (injection_point, fault) in REGRESSIONS.items():
            with self.subTest(name):
                self.assertEqual([], run_cell(Cell(injection_point, fault)).violations)

    def test_cells_fail_without_their_safeguard(self) -> None:
        for safeguard, (injection_point, fault) in CELLS_FAILING_WITHOUT.items():
            with self.subTest(safeguard.value):
                result = run_cell(Cell(injection_point, fault), frozenset({safeguard}))
                self.assertNotEqual([], result.violations)

    def test_focused_cases_pass_and_fail_without_their_safeguard(self) -> None:
        # In the order of `FOCUSED_CASES`.
        safeguards = (Safeguard.CONFIRMATION, Safeguard.RETRY_BUDGET)
        for case, safeguard in zip(FOCUSED_CASES, safeguards, strict=True):
            with self.subTest(case.name):
                self.assertEqual("", case.run(frozenset()))
                self.assertNotEqual("", case.run(frozenset({safeguard})))

    def test_two_runs_of_a_cell_give_the_same_write_gap(self) -> None:
        cell = Cell(InjectionPoint.COMMIT_EXECUTED, Fault.KILL_INSTANCE)
        self.assertEqual(run_cell(cell).write_gap, run_cell(cell).write_gap)

    def test_overlapping_faults(self) -> None:
        profile = settings(
            max_examples=OVERLAPPING_FAULTS_EXAMPLES,
            stateful_step_count=6,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        run_state_machine_as_test(
            seed(OVERLAPPING_FAULTS_SEED)(OverlappingFaultsMachine), settings=profile
        )
