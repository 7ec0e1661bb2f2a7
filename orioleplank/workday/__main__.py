"""Runs a working day on processes that a script has started, with faults at set times."""

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

STARTUP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.2


def main() -> int:
    """Run the working day and its audit; return 1 when a guarantee was violated, else 0."""
    options = _parse_options()
    _set_up(options)
    workload = asyncio.run(_run_workload(options))
    _print_burn_report(options)
    audit = audit_workload(workload.observations, tuple(options.upstream_admin))
    reasons = Counter(
        f"{request.reason} ({'person ' + request.person if request.person else 'program'})"
        for request in workload.observations.requests
        if request.reason
    )
    _print_progress(f"refusals and unknown outcomes by reason: {dict(reasons)}")
    if audit.violation_count:
        _print_progress(f"{audit.violation_count} violated guarantees")
    print(json.dumps(asdict(audit)))
    return 1 if audit.violation_count else 0


def _print_burn_report(options: argparse.Namespace) -> None:
    """Print the burn-rate report of the proxies that still run; the last one was stopped."""
    arguments = ["report"]
    for admin in options.admin[:-1]:
        arguments += ["--admin", admin]
    run_command(arguments)


def _parse_options() -> argparse.Namespace:
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


def _print_progress(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def _set_up(options: argparse.Namespace) -> None:
    """Publish the VM list, apply the services and wait until every proxy knows a primary."""
    names = ("name", "address", "zone")
    vms = [dict(zip(names, vm.split(","), strict=True)) for vm in options.vm]
    _put_vms(options.platform, vms)
    for admin in options.admin:
        _wait_for_admin(admin)
    arguments = ["apply", str(options.services), "--author", "ana", "--admin", options.admin[0]]
    if run_command(arguments) != 0:
        raise SystemExit("the services could not be applied")
    run_command(["preset", "ordinary", "--author", "ana", "--admin", options.admin[0]])
    for admin in options.admin:
        _wait_for_primary(admin, options.service)
    _print_progress("all proxies know a primary")


def _put_vms(platform: str, vms: list[dict[str, str]]) -> None:
    deadline = time.monotonic() + STARTUP_TIMEOUT_S
    while True:
        try:
            request = Request(f"http://{platform}/vms", data=json.dumps(vms).encode(), method="PUT")
            urlopen(request, timeout=1).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_INTERVAL_S)


def _wait_for_admin(admin: str) -> None:
    deadline = time.monotonic() + STARTUP_TIMEOUT_S
    while True:
        try:
            call_admin(admin, "GET", "status")
            return
        except AdminUnreachableError:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_INTERVAL_S)


def _wait_for_primary(admin: str, service: str) -> None:
    deadline = time.monotonic() + STARTUP_TIMEOUT_S
    while time.monotonic() < deadline:
        if _find_primary(admin, service):
            return
        time.sleep(POLL_INTERVAL_S)
    raise SystemExit(f"{admin}: no primary of {service} known before the timeout")


def _find_primary(admin: str, service: str) -> str:
    status = call_admin(admin, "GET", "status").body
    return str(status["services"].get(service, {}).get("primary", ""))


async def _run_workload(options: argparse.Namespace) -> Workload:
    workload = Workload(WorkloadOptions(options.service, tuple(options.proxy)))
    await workload.create_tables()
    _print_progress("tables created; fitters, showrooms, officers, directors and offices start")
    async with asyncio.TaskGroup() as group:
        group.create_task(workload.run())
        await _inject_faults(options, workload)
        workload.stop()
    return workload


async def _inject_faults(options: argparse.Namespace, workload: Workload) -> None:
    """Kill the primary, change the preset and stop a proxy while the callers send requests."""
    phase_s = options.seconds / 6
    await _wait(workload, 2 * phase_s)
    primary = _find_primary(options.admin[0], options.service)
    pids = dict(item.split("=") for item in options.upstream_pid)
    _print_progress(f"killing the primary {primary}")
    workload.observations.primary_killed_at = asyncio.get_running_loop().time()
    os.kill(int(pids[primary]), signal.SIGKILL)
    await _wait(workload, 2 * phase_s)
    gap = workload.observations.failover_gap()
    _print_progress(f"failover gap {gap:.3f} s" if gap is not None else "no write since the kill")
    _apply_preset(options, "maintenance")
    await _wait(workload, phase_s / 2)
    _apply_preset(options, "ordinary")
    _print_progress(f"stopping the proxy at {options.admin[-1]} gracefully")
    await asyncio.to_thread(call_admin, options.admin[-1], "POST", "stop", {})
    await _wait(workload, 1.5 * phase_s)


async def _wait(workload: Workload, seconds: float) -> None:
    """Wait for `seconds`, then print how many requests have ended."""
    ended_before = len(workload.observations.requests)
    await asyncio.sleep(seconds)
    ended = len(workload.observations.requests)
    _print_progress(f"{ended - ended_before} requests in {seconds:.1f} s, {ended} so far")


def _apply_preset(options: argparse.Namespace, name: str) -> None:
    _print_progress(f"putting preset {name} in force")
    run_command(["preset", name, "--author", "bo", "--admin", options.admin[1]])


if __name__ == "__main__":
    sys.exit(main())
