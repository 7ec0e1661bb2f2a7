"""Runs a working day over processes that a script has started, with faults at set times."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import sys
import time
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from urllib.request import Request, urlopen

from orioleplank.cli import main as run_command
from orioleplank.cli._admin import AdminUnreachableError, call_admin
from orioleplank.workday import Workload, WorkloadOptions, audit_workload

START_LIMIT_S = 15.0
POLL_S = 0.2


def main() -> int:
    """Run the day; return 1 when a promise was broken."""
    options = _parse()
    _set_up(options)
    day = asyncio.run(_run_day(options))
    _report(options)
    audit = audit_workload(day.observations, tuple(options.upstream_admin))
    reasons = Counter(
        f"{sample.reason} ({'person ' + sample.person if sample.person else 'program'})"
        for sample in day.observations.requests
        if sample.reason
    )
    _say(f"refusals and unknown outcomes by reason: {dict(reasons)}")
    if audit.violation_count:
        _say(f"{audit.violation_count} broken promises")
    print(json.dumps(asdict(audit)))
    return 1 if audit.violation_count else 0


def _report(options: argparse.Namespace) -> None:
    """Print the report on service-level burn of the proxies that still run."""
    arguments = ["report"]
    for admin in options.admin[:-1]:
        arguments += ["--admin", admin]
    run_command(arguments)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="workday")
    parser.add_argument("--platform", required=True)
    parser.add_argument("--services", required=True, type=Path)
    parser.add_argument("--service", required=True)
    parser.add_argument("--vm", action="append", required=True, help="NAME,ADDRESS,ZONE")
    parser.add_argument("--proxy", action="append", required=True)
    parser.add_argument("--admin", action="append", required=True)
    parser.add_argument("--upstream-admin", action="append", required=True)
    parser.add_argument("--upstream-pid", action="append", required=True, help="NAME=PID")
    parser.add_argument("--seconds", type=float, default=12.0)
    return parser.parse_args()


def _say(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def _set_up(options: argparse.Namespace) -> None:
    """List the VMs and apply the services."""
    names = ("name", "address", "zone")
    vms = [dict(zip(names, vm.split(","), strict=True)) for vm in options.vm]
    _put_vms(options.platform, vms)
    for admin in options.admin:
        _await_admin(admin)
    arguments = ["apply", str(options.services), "--author", "ana", "--admin", options.admin[0]]
    if run_command(arguments) != 0:
        raise SystemExit("the services could not be applied")
    run_command(["preset", "ordinary", "--author", "ana", "--admin", options.admin[0]])
    for admin in options.admin:
        _await_primary(admin, options.service)
    _say("all proxies know a primary")


def _put_vms(platform: str, vms: list[dict[str, str]]) -> None:
    deadline = time.monotonic() + START_LIMIT_S
    while True:
        try:
            request = Request(f"http://{platform}/vms", data=json.dumps(vms).encode(), method="PUT")
            urlopen(request, timeout=1).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_S)


def _await_admin(admin: str) -> None:
    deadline = time.monotonic() + START_LIMIT_S
    while True:
        try:
            call_admin(admin, "GET", "status")
            return
        except AdminUnreachableError:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_S)


def _await_primary(admin: str, service: str) -> None:
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        if _find_primary(admin, service):
            return
        time.sleep(POLL_S)
    raise SystemExit(f"{admin} found no primary of {service}")


def _find_primary(admin: str, service: str) -> str:
    status = call_admin(admin, "GET", "status").body
    return str(status["services"].get(service, {}).get("primary", ""))


async def _run_day(options: argparse.Namespace) -> Workload:
    day = Workload(WorkloadOptions(options.service, tuple(options.proxy)))
    await day.create_tables()
    _say("the books are open; fitters, showrooms, officers, directors and offices work")
    async with asyncio.TaskGroup() as group:
        group.create_task(day.run())
        await _upset(options, day)
        day.stop()
    return day


async def _upset(options: argparse.Namespace, day: Workload) -> None:
    """Kill the primary, change the preset and stop a proxy while the callers work."""
    part = options.seconds / 6
    await _pass(day, 2 * part)
    primary = _find_primary(options.admin[0], options.service)
    pids = dict(item.split("=") for item in options.upstream_pid)
    _say(f"killing the primary {primary}")
    day.observations.primary_killed_at = asyncio.get_running_loop().time()
    os.kill(int(pids[primary]), signal.SIGKILL)
    await _pass(day, 2 * part)
    gap = day.observations.failover_gap()
    _say(f"failover gap {gap:.3f} s" if gap is not None else "no write since the kill")
    _put_preset(options, "maintenance")
    await _pass(day, part / 2)
    _put_preset(options, "ordinary")
    _say(f"stopping the proxy at {options.admin[-1]} gracefully")
    await asyncio.to_thread(call_admin, options.admin[-1], "POST", "stop", {})
    await _pass(day, 1.5 * part)


async def _pass(day: Workload, seconds: float) -> None:
    """Let time pass, saying how many requests have ended."""
    before = len(day.observations.requests)
    await asyncio.sleep(seconds)
    ended = len(day.observations.requests)
    _say(f"{ended - before} requests in {seconds:.1f} s, {ended} so far")


def _put_preset(options: argparse.Namespace, name: str) -> None:
    _say(f"putting preset {name} in force")
    run_command(["preset", name, "--author", "bo", "--admin", options.admin[1]])


if __name__ == "__main__":
    sys.exit(main())
