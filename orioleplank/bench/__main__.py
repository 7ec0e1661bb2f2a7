"""Runs one phase of the benchmarks.

`path` measures the overhead of a proxy, `load` overload and failovers; `summary` prints the stored
results of both.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from dataclasses import asdict
from pathlib import Path

from orioleplank.bench._cluster import Cluster
from orioleplank.bench._measure import (
    create_table,
    measure_failovers,
    measure_overload,
    measure_proxy_overhead,
)


def main() -> int:
    """Run a phase and add its results to the JSON file of `--figures`."""
    parser = argparse.ArgumentParser(prog="bench")
    parser.add_argument("phase", choices=["path", "load", "summary"])
    parser.add_argument("--figures", type=Path, required=True)
    parser.add_argument("--platform", default="")
    for name in ("proxy", "admin", "peer", "instance", "address", "audit"):
        parser.add_argument(f"--{name}", action="append", default=[])
    for name in ("proxy-pid", "instance-pid"):
        parser.add_argument(f"--{name}", action="append", default=[], type=int)
    parser.add_argument("--capacity", type=float, default=600.0)
    parser.add_argument("--failovers", type=int, default=4)
    options = parser.parse_args()
    figures = json.loads(options.figures.read_text()) if options.figures.exists() else {}
    if options.phase == "summary":
        print(json.dumps(figures))
        return 0
    cluster = Cluster(
        options.platform,
        tuple(options.proxy),
        tuple(options.admin),
        tuple(options.peer),
        tuple(options.proxy_pid),
        tuple(options.instance),
        tuple(options.address),
        tuple(options.audit),
        tuple(options.instance_pid),
    )
    cluster.set_up()
    figures.update(asyncio.run(_run_phase(options, cluster)))
    options.figures.write_text(json.dumps(figures, indent=1))
    return 0


async def _run_phase(options: argparse.Namespace, cluster: Cluster) -> dict[str, object]:
    await create_table(cluster)
    figures: dict[str, object] = {}
    if options.phase == "path":
        figures.update(asdict(await measure_proxy_overhead(cluster)))
    else:
        figures.update(asdict(await measure_overload(cluster, options.capacity)))
        figures.update(asdict(await measure_failovers(cluster, options.failovers)))
    for name, value in figures.items():
        print(f"{name}: {value}", flush=True)
    return figures


if __name__ == "__main__":
    sys.exit(main())
