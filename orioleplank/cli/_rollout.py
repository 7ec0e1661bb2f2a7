"""The `rollout` command, which shows from logs how each version of the configuration arrived."""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from statistics import median

from orioleplank._logs import LogLine, Logs, read_logs
from orioleplank.cli._output import ExitCode, OutputFormat
from orioleplank.gateway import EventType


@dataclass(frozen=True, slots=True)
class Arrival:
    """The arrival of one version at one proxy."""

    proxy: str
    # Seconds since the epoch by the clock of the proxy.
    time: float
    # How it came: `listing`, `watch`, `source` or `peer`, and from which proxy.
    way: str
    peer: str
    # Size of the transfer in bytes, and its duration in seconds.
    size_bytes: int
    seconds: float
    # Seconds since the proxy had first heard of the version.
    after: float


@dataclass(frozen=True, slots=True)
class Rollout:
    """The arrivals of one version, sorted by time."""

    version: int
    # Number of routes of the version.
    routes: int
    arrivals: tuple[Arrival, ...]
    # Proxies of the logs that never logged this version or a newer one.
    missing: tuple[str, ...]

    @property
    def median_delay(self) -> float:
        """Median time from the first arrival to the others, in seconds."""
        return median(arrival.time - self.arrivals[0].time for arrival in self.arrivals)

    @property
    def last_delay(self) -> float:
        """Time from the first arrival to the last, in seconds."""
        return self.arrivals[-1].time - self.arrivals[0].time


def find_rollouts(logs: Logs) -> list[Rollout]:
    """Return the rollouts of all versions in the logs, sorted by version."""
    lines = [line for line in logs.lines if line.event == EventType.ROUTES.value]
    proxies = {line.proxy for line in logs.lines}
    by_version: dict[int, list[LogLine]] = {}
    for line in lines:
        by_version.setdefault(_get_version(line), []).append(line)
    return [
        _build_rollout(version, group, proxies, lines)
        for version, group in sorted(by_version.items())
    ]


def _build_rollout(
    version: int, group: list[LogLine], proxies: set[str], lines: Iterable[LogLine]
) -> Rollout:
    arrived = {line.proxy for line in lines if _get_version(line) >= version}
    return Rollout(
        version,
        _get_number(group[0], "routes"),
        tuple(_build_arrival(line) for line in group),
        tuple(sorted(proxies - arrived)),
    )


def _build_arrival(line: LogLine) -> Arrival:
    return Arrival(
        line.proxy,
        line.time,
        str(line.fields.get("way", "")),
        str(line.fields.get("peer", "")),
        _get_number(line, "bytes"),
        _get_seconds(line, "took"),
        _get_seconds(line, "after"),
    )


def _get_version(line: LogLine) -> int:
    return _get_number(line, "version")


def _get_number(line: LogLine, field: str) -> int:
    value = line.fields.get(field)
    return value if isinstance(value, int) else 0


def _get_seconds(line: LogLine, field: str) -> float:
    value = line.fields.get(field)
    return float(value) if isinstance(value, int | float) else 0.0


def rollout_command(options: argparse.Namespace) -> int:
    """Print how the versions arrived; exit code 4 if no log mentions the one that was named."""
    logs = read_logs(options.logs)
    rollouts = [
        rollout
        for rollout in find_rollouts(logs)
        if options.version is None or rollout.version == options.version
    ]
    for rollout in rollouts:
        if options.output is OutputFormat.JSON:
            print(json.dumps(asdict(rollout)))
        else:
            _print_rollout(rollout, with_arrivals=options.version is not None)
    return ExitCode.DONE if rollouts else ExitCode.UNAVAILABLE


def _print_rollout(rollout: Rollout, with_arrivals: bool) -> None:
    print(
        f"version {rollout.version}: {rollout.routes} routes, at {len(rollout.arrivals)} proxies, "
        f"median {rollout.median_delay:.3f} s and last {rollout.last_delay:.3f} s after the first"
    )
    if rollout.missing:
        print(f"  never at: {', '.join(rollout.missing)}")
    if not with_arrivals:
        return
    for arrival in rollout.arrivals:
        delay = arrival.time - rollout.arrivals[0].time
        peer = arrival.peer or "the store"
        print(
            f"  +{delay:.3f} s {arrival.proxy}: {arrival.way} of {peer}, "
            f"{arrival.size_bytes} bytes in {arrival.seconds:.3f} s, "
            f"{arrival.after:.3f} s after it was first heard of"
        )
