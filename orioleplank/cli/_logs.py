"""Reads the structured lines of several gateways, and tells what became of a request."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from orioleplank._exceptions import SettingsError
from orioleplank.cli._output import ExitCode, OutputFormat
from orioleplank.gateway import EventType

# Seconds around a request whose changes of belief are shown.
AROUND_S = 3.0
# Events that tell of one request.
REQUEST_EVENTS = frozenset({EventType.REQUEST.value, EventType.LEFT_OUT.value})
# Fields that every line has; the others are its own.
COMMON = frozenset({"at", "time", "event", "name", "proxy"})


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log."""

    # When, in seconds since the epoch by the proxy's clock.
    time: float
    # Number and name of the event.
    event: int
    name: str
    # Who wrote it.
    proxy: str
    # The other fields.
    fields: dict[str, object]

    def describe(self) -> str:
        """Return the line for a person."""
        told = " ".join(f"{key}={value}" for key, value in self.fields.items() if value != "")
        return f"{self.time:.3f} {self.proxy} {self.event} {self.name}: {told}"


@dataclass(slots=True)
class Logs:
    """All lines in order of time."""

    # The lines.
    lines: list[Line]
    # Lines that could not be read.
    unreadable: int = 0


def read_logs(paths: Sequence[Path]) -> Logs:
    """Read log files; lines that are damaged or of another program are counted and left out.

    Raise `SettingsError` for a file that cannot be read.
    """
    logs = Logs([])
    for path in paths:
        try:
            texts = path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise SettingsError("read log", str(path), f"{path}: {error.strerror}") from error
        for text in texts:
            line = _read_line(text)
            if line is not None:
                logs.lines.append(line)
            elif text.strip():
                logs.unreadable += 1
    logs.lines.sort(key=lambda line: line.time)
    return logs


def _read_line(text: str) -> Line | None:
    """Read a line, which may stand behind a prefix of whoever collected it."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        content = json.loads(text[start:])
        fields = {key: value for key, value in content.items() if key not in COMMON}
        when = float(content.get("time", content["at"]))
        return Line(when, int(content["event"]), content["name"], content["proxy"], fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


# One request.


@dataclass(frozen=True, slots=True)
class Story:
    """What one proxy did with a request, and what it believed then."""

    # The request's own line.
    request: Line
    # The proxy's last line of each kind of belief before it.
    beliefs: tuple[Line, ...]
    # Changes around it, on all proxies, that concern its service or its instance.
    around: tuple[Line, ...]


def find_stories(logs: Logs, request: str) -> list[Story]:
    """Find all that the logs tell of a request; one story for each proxy and try."""
    found = [line for line in logs.lines if line.fields.get("id") == request]
    return [
        Story(line, tuple(_find_beliefs(logs, line)), tuple(_find_around(logs, line)))
        for line in found
    ]


def _find_beliefs(logs: Logs, request: Line) -> Iterator[Line]:
    """Yield the last line of each belief of the request's proxy before it."""
    subjects = _subjects(request)
    last: dict[object, Line] = {}
    for line in logs.lines:
        if line.time > request.time:
            break
        if line.proxy != request.proxy or line.event in REQUEST_EVENTS:
            continue
        about = _subjects(line)
        if about and not about & subjects:
            continue
        last[(line.event, line.fields.get("instance"))] = line
    yield from sorted(last.values(), key=lambda line: line.time)


def _find_around(logs: Logs, request: Line) -> Iterator[Line]:
    subjects = _subjects(request)
    for line in logs.lines:
        is_near = abs(line.time - request.time) <= AROUND_S
        if is_near and line.event not in REQUEST_EVENTS and _subjects(line) & subjects:
            yield line


def _subjects(line: Line) -> set[object]:
    """Return the service and instances that a line is about."""
    values = (line.fields.get(key) for key in ("service", "instance", "primary"))
    return {value for value in values if value}


# The fleet.


@dataclass(frozen=True, slots=True)
class Change:
    """A change of belief, and how many proxies noted it."""

    # The first line of it.
    line: Line
    # How many proxies noted it, and how long it took from the first to the last, in seconds.
    proxies: int
    spread: float


def find_changes(lines: Iterable[Line]) -> list[Change]:
    """Join the lines by which several proxies noted the same change."""
    groups: dict[str, list[Line]] = {}
    for line in lines:
        if line.event not in REQUEST_EVENTS:
            groups.setdefault(_key(line), []).append(line)
    changes = [
        Change(group[0], len({line.proxy for line in group}), group[-1].time - group[0].time)
        for group in groups.values()
    ]
    return sorted(changes, key=lambda change: change.line.time)


def _key(line: Line) -> str:
    own: object
    match line.event:
        case EventType.ROUTES.value:
            own = line.fields.get("version")
        case EventType.GROUP.value:
            own = line.fields.get("revision")
        case EventType.INSTANCE.value:
            own = [line.fields.get(key) for key in ("instance", "state", "role", "born")]
        case _:
            own = [line.proxy, line.time, *line.fields.values()]
    return f"{line.event} {line.fields.get('service')} {own}"


# Commands.


def explain_command(options: argparse.Namespace) -> int:
    """Print the story of a request; exit code 4 when no log tells of it."""
    logs = read_logs(options.logs)
    stories = find_stories(logs, options.id)
    if options.output is OutputFormat.JSON:
        print(json.dumps([_dump_story(story) for story in stories]))
    else:
        for story in stories:
            _print_story(story)
    _print_unreadable(logs)
    if not stories:
        detail = "it was answered, or its line was left out (event 1401 counts those)"
        print(f"no line tells of {options.id}: {detail}", file=sys.stderr)
        return ExitCode.UNAVAILABLE
    return ExitCode.DONE


def _dump_story(story: Story) -> dict[str, object]:
    return {
        "request": story.request.describe(),
        "beliefs": [line.describe() for line in story.beliefs],
        "around": [line.describe() for line in story.around],
    }


def _print_story(story: Story) -> None:
    fields = story.request.fields
    print(story.request.describe())
    print(f"  refused as {fields.get('code')} at step {fields.get('step')}: {fields.get('why')}")
    print("  believed by this proxy then:")
    for line in story.beliefs:
        print(f"    {line.describe()}")
    print(f"  within {AROUND_S:g} s, on all proxies:")
    for line in story.around:
        print(f"    {line.describe()}")


def timeline_command(options: argparse.Namespace) -> int:
    """Print the changes of belief of all proxies in order of time."""
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
