"""Prints the fault matrix: `python -m orioleplank.tests.matrix [--break SAFEGUARD] [--storm N]`."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from orioleplank.decision.quorum import Safeguard
from orioleplank.tests._cells import (
    Cell,
    CellResult,
    InjectionPoint,
    exclusion_reason,
    list_cells,
    run_cell,
)
from orioleplank.tests._focused import FOCUSED_CASES
from orioleplank.tests._overlapping_faults import OverlappingFaultsMachine
from orioleplank.tests._scenario import Fault

OVERLAPPING_FAULTS_SEED = 20261204
OVERLAPPING_FAULTS_STEPS = 6
KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"


def main() -> int:
    """Run the matrix; return 1 if a failed case is not listed in KNOWN-RED.txt, else 0."""
    parser = argparse.ArgumentParser(prog="matrix")
    safeguard_names = [safeguard.value for safeguard in Safeguard]
    parser.add_argument(
        "--break", dest="broken", choices=safeguard_names, help="disable this safeguard"
    )
    parser.add_argument("--storm", type=int, default=2000, help="examples of overlapping faults")
    parser.add_argument("--every", type=int, default=1, help="run only every n-th cell")
    parser.add_argument("--part", type=int, default=0, help="part to run, from 0")
    parser.add_argument("--parts", type=int, default=1, help="number of parts")
    options = parser.parse_args()
    disabled = frozenset({Safeguard(options.broken)}) if options.broken else frozenset[Safeguard]()
    cells = list_cells()[:: options.every][options.part :: options.parts]
    failed = _run_cells(cells, disabled)
    case_count = len(cells)
    if options.part == 0:
        _print_excluded_cells()
        failed += _run_focused_cases(disabled)
        case_count += len(FOCUSED_CASES)
    if options.storm and not disabled:
        case_count += 1
        failed += _run_overlapping_faults(
            options.storm // options.parts, OVERLAPPING_FAULTS_SEED + options.part
        )
    print(f"{case_count - len(failed)} passed, {len(failed)} failed")
    known_failures = KNOWN_RED.read_text(encoding="utf-8") if KNOWN_RED.exists() else ""
    return 1 if any(name not in known_failures for name in failed) else 0


def _print_excluded_cells() -> None:
    for injection_point in InjectionPoint:
        for fault in Fault:
            if reason := exclusion_reason(injection_point, fault):
                print(f"{injection_point.value:22} {fault.value:24} cannot arise: {reason}")


def _run_cells(cells: list[Cell], disabled: frozenset[Safeguard]) -> list[str]:
    failed = []
    for cell in cells:
        try:
            result = run_cell(cell, disabled)
        except Exception as error:
            result = CellResult(cell, [f"the run raised {error!r}"], True, 0.0)
        if not result.passed:
            failed.append(cell.name)
        detail = "" if result.fault_injected else "the fault was not injected"
        detail = "; ".join(result.violations[:2]) or detail
        outcome = "passed" if result.passed else f"FAILED {detail}"
        print(
            f"{cell.injection_point.value:22} {cell.fault.value:24} seed {cell.seed:10}"
            f" gap {result.write_gap:5.2f} s {outcome} {result.promotion_times or ''}".rstrip(),
            flush=True,
        )
    return failed


def _run_focused_cases(disabled: frozenset[Safeguard]) -> list[str]:
    failed = []
    for case in FOCUSED_CASES:
        violation = case.run(disabled)
        print(f"{case.name:47} {'FAILED ' + violation if violation else 'passed'}", flush=True)
        if violation:
            failed.append(case.name)
    return failed


def _run_overlapping_faults(examples: int, hypothesis_seed: int) -> list[str]:
    profile = settings(
        max_examples=examples,
        stateful_step_count=OVERLAPPING_FAULTS_STEPS,
        deadline=None,
        database=None,
        derandomize=False,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
    name = f"storm of {examples} examples, seed {hypothesis_seed}"
    try:
        run_state_machine_as_test(seed(hypothesis_seed)(OverlappingFaultsMachine), settings=profile)
    except Exception as error:
        print(f"{name} FAILED {error}")
        return [name]
    print(f"{name} passed")
    return []


if __name__ == "__main__":
    sys.exit(main())
