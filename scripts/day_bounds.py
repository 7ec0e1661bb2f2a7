"""The worth that a faultless proxy could reach on days of the users' bench; prints Markdown rows.

Only requests that arrive while no VM has power, or no process may run yet, count as answered late.
Everything else is served within its objective. The prices of resources (machines, processor,
memory, traffic, connections, calls) are taken as they were measured, all others as avoided. So the
bound is optimistic: it leaves out the start of processes, and the time that a promotion takes.

Example: python scripts/day_bounds.py SITE.toml trouble-1=report.json scale-2=report.json
"""

from __future__ import annotations

import argparse
import json
import sys
import tomllib
from pathlib import Path
from typing import Any

# Names of the prices that any proxy pays.
RESOURCE_PRICES = frozenset(
    {
        "machine-seconds",
        "processor seconds",
        "memory, GB x seconds",
        "GB between zones",
        "GB between regions",
        "probes and requests without id",
        "new connections to servers",
        "cloud calls",
    }
)


def find_outage(
    site: dict[str, Any], day: dict[str, Any], report: dict[str, Any]
) -> tuple[float, float]:
    """Return the times between which a request cannot be served in time; equal if there are none.

    A VM without power answers nothing, and the caller's connection is attempted again a second
    later at the earliest. A VM whose processes were killed refuses connections at once, so that a
    caller may return within the objective of its request.
    """
    closing = day.get("closing", {})
    starts = [event["at_s"] for event in report["events"] if event["kind"].startswith("closing")]
    if not starts:
        return 0.0, 0.0
    down_s = float(closing["down_s"])
    if closing["kind"].startswith("kill"):
        objective_s = max(item["aim_ms"] for item in site["classes"]) / 1000
        down_s = max(0.0, down_s - objective_s)
    return starts[0], starts[0] + down_s


def measure_late_share(classes: list[dict[str, Any]], asked: dict[str, int]) -> float:
    """Return what a late answer is worth, as a share of one in time, over all kinds of requests."""
    late = sum(item["late_worth"] * asked[item["name"]] for item in classes)
    return float(late / sum(item["worth"] * asked[item["name"]] for item in classes))


def count_worst_windows(worths: list[float], mean: float) -> int:
    """Return how many of the worst windows have the mean that the report states."""
    ordered = sorted(worths)
    means = [sum(ordered[:count]) / count for count in range(1, len(ordered) + 1)]
    return 1 + min(range(len(means)), key=lambda index: abs(means[index] - mean))


def compute_bound(site: dict[str, Any], day: dict[str, Any], report: dict[str, Any]) -> float:
    """Return the bound of the worth of one day."""
    start, end = find_outage(site, day, report)
    asked = {item["name"]: item["n"] for item in report["classes"]}
    late_share = measure_late_share(site["classes"], asked)
    windows = report["windows"]
    starts = [float(window["name"]) for window in windows]
    length = starts[1] - starts[0]
    worths = [
        1.0 - (1.0 - late_share) * max(0.0, min(at + length, end) - max(at, start)) / length
        for at in starts
    ]
    total = sum(window["n"] for window in windows)
    mean = sum(worth * window["n"] for worth, window in zip(worths, windows, strict=True)) / total
    parts = {name: (weight, value) for name, weight, value in report["parts"]}
    count = count_worst_windows([window["worth"] for window in windows], parts["worst windows"][1])
    worst = sum(sorted(worths)[:count]) / count
    served = {"whole day": mean, "worst windows": worst, "worst class": mean}
    prices = sum(price for name, _, price in report["prices"] if name in RESOURCE_PRICES)
    bound = sum(weight * served[name] for name, (weight, _) in parts.items()) - prices
    return float(bound)


def main() -> int:
    """Print one row for each report."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", type=Path)
    parser.add_argument("reports", nargs="+", metavar="DAY=REPORT")
    options = parser.parse_args()
    site = tomllib.loads(options.site.read_text())
    days = {day["name"]: day for day in site["day"]}
    print("| day | bound | worth | gap |\n| --- | --- | --- | --- |")
    for item in options.reports:
        name, _, path = item.partition("=")
        report = json.loads(Path(path).read_text())
        bound = compute_bound(site, days[name], report)
        print(f"| {name} | {bound:.3f} | {report['G']:.3f} | {bound - report['G']:.3f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
