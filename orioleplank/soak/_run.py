"""Plays several seeds one after another, and reports."""

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

# Networks of loopback that concurrent soaks choose among.
FIRST_NETWORK, NETWORKS = 20, 200


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the soak."""
    parser.add_argument("--seed", type=int, default=1, help="the first seed (default: 1)")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds (default: 1)")
    parser.add_argument("--minutes", type=float, default=0.5, help="faults a seed (default: 0.5)")
    parser.add_argument("--keep", type=Path, metavar="DIRECTORY", help="keep logs of failed seeds")
    parser.set_defaults(run=run_soaks)


def run_soaks(options: argparse.Namespace) -> int:
    """Play the seeds; return 1 when a promise broke in any, else 0."""
    install_monotonic_reactor()
    reactor = get_reactor()
    reports: list[SoakReport] = []

    def end(result: Any) -> None:
        if result is not None:
            print(result.getTraceback(), file=sys.stderr)
        reactor.stop()

    def begin() -> None:
        Deferred.fromCoroutine(_play_all(reactor, options, reports)).addBoth(end)

    reactor.callWhenRunning(begin)
    reactor.run()
    failed = options.seeds - sum(1 for report in reports if not report.findings)
    print(f"{options.seeds - failed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


async def _play_all(reactor: Any, options: argparse.Namespace, reports: list[SoakReport]) -> None:
    first = FIRST_NETWORK + os.getpid() % NETWORKS
    for number, seed in enumerate(range(options.seed, options.seed + options.seeds)):
        network = f"127.{first}.{1 + number % NETWORKS}"
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        report = await Soak(reactor, seed, directory, network).run(options.minutes * 60)
        reports.append(report)
        print(json.dumps(asdict(report)), flush=True)
        if report.findings and options.keep:
            shutil.copytree(directory, options.keep / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(directory)
