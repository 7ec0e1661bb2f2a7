"""Runs the soak for several seeds one after another and prints a report for each."""

from __future__ import annotations

import argparse
import json
import os
import shutil
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank._reactor import get_reactor, install_monotonic_reactor
from orioleplank.soak._soak import Soak, SoakReport

# Second octets of the loopback subnets; concurrent soaks choose one by their process id.
FIRST_SUBNET, SUBNET_COUNT = 20, 200


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the command-line arguments of the soak to a parser."""
    parser.add_argument("--seed", type=int, default=1, help="the first seed (default: 1)")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds (default: 1)")
    parser.add_argument(
        "--minutes", type=float, default=0.5, help="minutes of faults per seed (default: 0.5)"
    )
    parser.add_argument(
        "--keep", type=Path, metavar="DIRECTORY", help="where to copy logs of failed seeds"
    )
    parser.set_defaults(run=run_soaks)


def run_soaks(options: argparse.Namespace) -> int:
    """Run all seeds; return 1 when any of them failed or reported a violation, else 0."""
    install_monotonic_reactor()
    reactor = get_reactor()
    reports: list[SoakReport] = []

    def stop_reactor(result: Any) -> None:
        if result is not None:
            print(result.getTraceback(), file=sys.stderr)
        reactor.stop()

    def start() -> None:
        Deferred.fromCoroutine(_run_all(reactor, options, reports)).addBoth(stop_reactor)

    reactor.callWhenRunning(start)
    reactor.run()
    failed = options.seeds - sum(1 for report in reports if not report.findings)
    print(f"{options.seeds - failed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


async def _run_all(reactor: Any, options: argparse.Namespace, reports: list[SoakReport]) -> None:
    second_octet = FIRST_SUBNET + os.getpid() % SUBNET_COUNT
    for number, seed in enumerate(range(options.seed, options.seed + options.seeds)):
        subnet = f"127.{second_octet}.{1 + number % SUBNET_COUNT}"
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        report = await Soak(reactor, seed, directory, subnet).run(options.minutes * 60)
        reports.append(report)
        print(json.dumps(asdict(report)), flush=True)
        if report.findings and options.keep:
            shutil.copytree(directory, options.keep / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(directory)
