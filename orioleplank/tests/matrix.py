"""Prints the fault matrix: `python -m orioleplank.tests.matrix [--break MECHANISM] [--storm N]`."""

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

STORM_SEED = 20261204
STORM_STEPS = 6
KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"


def main() -> int:
    """Play all cells and the storm; return 1 when one failed that is not known to."""
    parser = argparse.ArgumentParser(prog="matrix")
    names = [switch.value for switch in Safeguard]
    parser.add_argument("--break", dest="broken", choices=names, help="switch a mechanism off")
    parser.add_argument("--storm", type=int, default=2000, help="examples of several faults")
    parser.add_argument("--every", type=int, default=1, help="play every n-th cell only")
    parser.add_argument("--part", type=int, default=0, help="which part to play, from 0")
    parser.add_argument("--parts", type=int, default=1, help="how many parts there are")
    options = parser.parse_args()
    off = frozenset({Safeguard(options.broken)}) if options.broken else frozenset[Safeguard]()
    cells = list_cells()[:: options.every][options.part :: options.parts]
    failed = _play_cells(cells, off)
    played = len(cells)
    if options.part == 0:
        _print_impossible()
        failed += _play_focused(off)
        played += len(FOCUSED_CASES)
    if options.storm and not off:
        played += 1
        failed += _play_storm(options.storm // options.parts, STORM_SEED + options.part)
    print(f"{played - len(failed)} passed, {len(failed)} failed")
    known = KNOWN_RED.read_text(encoding="utf-8") if KNOWN_RED.exists() else ""
    return 1 if any(name not in known for name in failed) else 0


def _print_impossible() -> None:
    for step in InjectionPoint:
        for fault in Fault:
            if why := exclusion_reason(step, fault):
                print(f"{step.value:22} {fault.value:24} cannot arise: {why}")


def _play_cells(cells: list[Cell], off: frozenset[Safeguard]) -> list[str]:
    failed = []
    for cell in cells:
        try:
            verdict = run_cell(cell, off)
        except Exception as error:
            verdict = CellResult(cell, [f"a caller failed: {error!r}"], True, 0.0)
        if not verdict.passed:
            failed.append(cell.name)
        why = "" if verdict.fault_injected else "the fault did not strike"
        why = "; ".join(verdict.violations[:2]) or why
        outcome = "passed" if verdict.passed else f"FAILED {why}"
        print(
            f"{cell.injection_point.value:22} {cell.fault.value:24} seed {cell.seed:10}"
            f" gap {verdict.write_gap:5.2f} s {outcome} {verdict.promotion_times or ''}".rstrip(),
            flush=True,
        )
    return failed


def _play_focused(off: frozenset[Safeguard]) -> list[str]:
    failed = []
    for case in FOCUSED_CASES:
        broken = case.run(off)
        print(f"{case.name:47} {'FAILED ' + broken if broken else 'passed'}", flush=True)
        if broken:
            failed.append(case.name)
    return failed


def _play_storm(examples: int, storm_seed: int) -> list[str]:
    profile = settings(
        max_examples=examples,
        stateful_step_count=STORM_STEPS,
        deadline=None,
        database=None,
        derandomize=False,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
    name = f"storm of {examples} examples, seed {storm_seed}"
    try:
        run_state_machine_as_test(seed(storm_seed)(OverlappingFaultsMachine), settings=profile)
    except Exception as error:
        print(f"{name} FAILED {error}")
        return [name]
    print(f"{name} passed")
    return []


if __name__ == "__main__":
    sys.exit(main())
