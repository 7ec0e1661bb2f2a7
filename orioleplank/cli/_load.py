"""The `load` command, which runs a load experiment."""

from __future__ import annotations

import argparse
import asyncio
import sys
from dataclasses import asdict
from pathlib import Path

from orioleplank.cli._output import ExitCode, print_result
from orioleplank.load import (
    LoadGenerator,
    LoadResult,
    compare_results,
    read_plan,
    read_result,
    write_result,
)


def load_command(options: argparse.Namespace) -> int:
    """Run an experiment and print its result; on request save it or compare it with a saved one."""
    plan = read_plan(options.file)
    generator = LoadGenerator(plan, lambda text: print(text, file=sys.stderr, flush=True))
    result = asyncio.run(generator.run())
    if options.keep:
        write_result(result, options.keep)
    print_result(options.output, asdict(result), _format_result(result))
    if options.compare:
        return _print_comparison(options.compare, result)
    return ExitCode.DONE


def _format_result(result: LoadResult) -> str:
    lines = [
        f"{result.rate:.0f} requests/s for {result.seconds:.0f} s:"
        f" worth {result.mean_goodput:.0f}/s"
    ]
    for kind in result.kinds:
        latency = ", ".join(
            f"p{percentile} {seconds * 1000:.1f} ms" for percentile, seconds in kind.latency.items()
        )
        reasons = ", ".join(f"{count} {reason}" for reason, count in kind.reasons.items())
        lines.append(
            f"  {kind.name}: {kind.answered} of {kind.sent} answered"
            f" ({kind.by_replica} by replicas); {latency}; {reasons or 'none refused'}"
        )
    return "\n".join(lines)


def _print_comparison(path: Path, result: LoadResult) -> int:
    difference = compare_results(read_result(path), result)
    suffix = "" if difference.is_significant else ", which is not a clear difference"
    print(
        f"goodput is {difference.ratio:.3f} times that of {path.name}"
        f" (95% interval {difference.low:.3f} to {difference.high:.3f}){suffix}"
    )
    return ExitCode.DONE
