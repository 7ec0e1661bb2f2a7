"""Forms of output and exit codes."""

from __future__ import annotations

import json
from enum import Enum, IntEnum, unique


@unique
class OutputFormat(Enum):
    """Form of a command's output."""

    TEXT = "text"
    JSON = "json"

    def __str__(self) -> str:
        return self.value


@unique
class ExitCode(IntEnum):
    """What an exit code means."""

    DONE = 0
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    REFUSED = 5


def print_result(output: OutputFormat, value: object, text: str) -> None:
    """Print `value` as JSON, or `text`."""
    print(json.dumps(value) if output is OutputFormat.JSON else text)
