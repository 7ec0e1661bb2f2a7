"""Reads the structured logs of gateways."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from orioleplank._exceptions import SettingsError

# Fields that every line has; the others depend on the event.
COMMON_FIELDS = frozenset({"at", "time", "event", "name", "proxy"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log."""

    # Seconds since the epoch by the clock of the proxy.
    time: float
    # Number of the event type; `name` is its name.
    event: int
    name: str
    # Name of the proxy that wrote the line.
    proxy: str
    # Fields that depend on the event.
    fields: dict[str, object]

    def describe(self) -> str:
        """Return the line as readable text, without empty fields."""
        text = " ".join(f"{key}={value}" for key, value in self.fields.items() if value != "")
        return f"{self.time:.3f} {self.proxy} {self.event} {self.name}: {text}"


@dataclass(slots=True)
class Logs:
    """The lines of all logs, sorted by time."""

    lines: list[LogLine]
    # Number of lines that could not be parsed.
    unreadable: int = 0


def read_logs(paths: Sequence[Path]) -> Logs:
    """Read log files; damaged lines and lines of other programs are counted and skipped.

    Raise `SettingsError` for a file that cannot be read.
    """
    logs = Logs([])
    for path in paths:
        try:
            texts = path.read_text(errors="replace").splitlines()
        except OSError as error:
            raise SettingsError("read log", str(path), f"{path}: {error.strerror}") from error
        for text in texts:
            line = _parse_line(text)
            if line is not None:
                logs.lines.append(line)
            elif text.strip():
                logs.unreadable += 1
    logs.lines.sort(key=lambda line: line.time)
    return logs


def _parse_line(text: str) -> LogLine | None:
    """Parse a line, which may have a prefix added by a log collector; None if it is not valid."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        content = json.loads(text[start:])
        fields = {key: value for key, value in content.items() if key not in COMMON_FIELDS}
        timestamp = float(content.get("time", content["at"]))
        return LogLine(timestamp, int(content["event"]), content["name"], content["proxy"], fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
