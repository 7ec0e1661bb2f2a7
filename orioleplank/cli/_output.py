"""Output formats and exit codes of the commands."""

from __future__ import annotations

import json
from enum import Enum, IntEnum, unique


@unique
class OutputFormat(Enum):
    """Output format of a command."""

    TEXT = "text"
    JSON = "json"

    def __str__(self) -> str:
        return self.value


@unique
class ExitCode(IntEnum):
    """Exit codes; `CONFLICT` is a concurrent change, `UNAVAILABLE` also an unknown outcome."""

    DONE = 0
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    REFUSED = 5


def print_result(output_format: OutputFormat, value: object, text: str) -> None:
    """Print `value` as JSON, or `text`, depending on the format."""
    print(json.dumps(value) if output_format is OutputFormat.JSON else text)
