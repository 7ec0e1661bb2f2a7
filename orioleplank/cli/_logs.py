"""The `explain` and `timeline` commands, which read the structured logs of several gateways."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from orioleplank._logs import LogLine, Logs, read_logs
from orioleplank.cli._output import ExitCode, OutputFormat
from orioleplank.gateway import EventType

# State changes this close to a request, before or after it, are shown with it, in seconds.
CONTEXT_WINDOW_S = 3.0
# Events that concern a single request rather than the cluster state.
REQUEST_EVENTS = frozenset({EventType.REQUEST.value, EventType.LEFT_OUT.value})


# History of one request.


@dataclass(frozen=True, slots=True)
class RequestHistory:
    """What one proxy logged of a request, and the cluster state that it knew at that time."""

    # The line of the request itself.
    request: LogLine
    # For each event type and instance, the proxy's last line before the request.
    last_known: tuple[LogLine, ...]
    # State changes on all proxies that concern the request's service or instance, or all requests,
    # within `CONTEXT_WINDOW_S` before and after it.
    nearby: tuple[LogLine, ...]


def find_request_histories(logs: Logs, request: str) -> list[RequestHistory]:
    """Return one history for each line about the request: one per proxy and attempt."""
    request_lines = [line for line in logs.lines if line.fields.get("id") == request]
    return [
        RequestHistory(line, tuple(_find_last_known(logs, line)), tuple(_find_nearby(logs, line)))
        for line in request_lines
    ]


def _find_last_known(logs: Logs, request: LogLine) -> Iterator[LogLine]:
    """Yield the last state lines of the request's proxy before the request, sorted by time.

    Lines about other services and instances are left out.
    """
    subjects = _get_subjects(request)
    last_lines: dict[object, LogLine] = {}
    for line in logs.lines:
        if line.time > request.time:
            break
        if line.proxy != request.proxy or line.event in REQUEST_EVENTS:
            continue
        line_subjects = _get_subjects(line)
        if line_subjects and not line_subjects & subjects:
            continue
        last_lines[(line.event, line.fields.get("instance"))] = line
    yield from sorted(last_lines.values(), key=lambda line: line.time)


def _find_nearby(logs: Logs, request: LogLine) -> Iterator[LogLine]:
    subjects = _get_subjects(request)
    for line in logs.lines:
        is_near = abs(line.time - request.time) <= CONTEXT_WINDOW_S
        if not is_near or line.event in REQUEST_EVENTS:
            continue
        if _get_subjects(line) & subjects or _concerns_all(line):
            yield line


def _concerns_all(line: LogLine) -> bool:
    """Return whether a line concerns every request: the store has lost what was written."""
    return line.event == EventType.STORE.value and line.fields.get("outcome") == "restored"


def _get_subjects(line: LogLine) -> set[object]:
    """Return the service and instances that a line concerns."""
    values = (line.fields.get(key) for key in ("service", "instance", "primary"))
    return {value for value in values if value}


# Timeline of the fleet.


@dataclass(frozen=True, slots=True)
class Change:
    """A change of cluster state, and how many proxies logged it."""

    # The earliest line about the change.
    line: LogLine
    # Number of proxies that logged it.
    proxies: int
    # Seconds from the first to the last of their lines.
    spread: float


def find_changes(lines: Iterable[LogLine]) -> list[Change]:
    """Group the lines that several proxies logged about the same change; sorted by time."""
    groups: dict[str, list[LogLine]] = {}
    for line in lines:
        if line.event not in REQUEST_EVENTS:
            groups.setdefault(_get_change_key(line), []).append(line)
    changes = [
        Change(group[0], len({line.proxy for line in group}), group[-1].time - group[0].time)
        for group in groups.values()
    ]
    return sorted(changes, key=lambda change: change.line.time)


def _get_change_key(line: LogLine) -> str:
    identity: object
    match line.event:
        case EventType.ROUTES.value:
            identity = line.fields.get("version")
        case EventType.GROUP.value:
            identity = line.fields.get("revision")
        case EventType.INSTANCE.value:
            identity = [line.fields.get(key) for key in ("instance", "state", "role", "born")]
        case _:
            identity = [line.proxy, line.time, *line.fields.values()]
    return f"{line.event} {line.fields.get('service')} {identity}"


# Commands.


def explain_command(options: argparse.Namespace) -> int:
    """Print what the logs say about a request; return exit code 4 when they do not mention it."""
    logs = read_logs(options.logs)
    histories = find_request_histories(logs, options.id)
    if options.output is OutputFormat.JSON:
        print(json.dumps([_history_to_json(history) for history in histories]))
    else:
        for history in histories:
            _print_history(history)
    _print_unreadable(logs)
    if not histories:
        detail = "it was answered, or its line was left out (event 1401 counts those)"
        print(f"no line tells of {options.id}: {detail}", file=sys.stderr)
        return ExitCode.UNAVAILABLE
    return ExitCode.DONE


def _history_to_json(history: RequestHistory) -> dict[str, object]:
    return {
        "request": history.request.describe(),
        "beliefs": [line.describe() for line in history.last_known],
        "around": [line.describe() for line in history.nearby],
    }


def _print_history(history: RequestHistory) -> None:
    fields = history.request.fields
    print(history.request.describe())
    print(f"  refused as {fields.get('code')} at step {fields.get('step')}: {fields.get('why')}")
    print("  believed by this proxy then:")
    for line in history.last_known:
        print(f"    {line.describe()}")
    print(f"  within {CONTEXT_WINDOW_S:g} s, on all proxies:")
    for line in history.nearby:
        print(f"    {line.describe()}")


def timeline_command(options: argparse.Namespace) -> int:
    """Print the changes of cluster state that all proxies logged, sorted by time."""
    logs = read_logs(options.logs)
    for change in find_changes(logs.lines):
        text = change.line.describe()
        if options.output is OutputFormat.JSON:
            print(json.dumps({"change": text, "proxies": change.proxies, "spread": change.spread}))
        elif change.proxies > 1:
            print(f"{text} (on {change.proxies} proxies within {change.spread:.3f} s)")
        else:
            print(text)
    _print_unreadable(logs)
    return ExitCode.DONE


def _print_unreadable(logs: Logs) -> None:
    if logs.unreadable:
        print(f"{logs.unreadable} lines could not be read", file=sys.stderr)
