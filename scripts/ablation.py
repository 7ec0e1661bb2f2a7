"""Plays days of the users' bench with single mechanisms switched off; prints a Markdown table.

Each mechanism is switched off in a clone of this repository, whose journal entries are copied back.
Example: python scripts/ablation.py BENCH --run SITE:DAY:SEED --run SITE:DAY:SEED --jobs 3
"""

from __future__ import annotations

import argparse
import json
import shutil
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orioleplank.decision.mechanisms import Mechanism

REPOSITORY = Path(__file__).resolve().parent.parent
RUN_TIMEOUT_S = 900.0
# Name of the row with all mechanisms on.
ALL_ON = "all on"


@dataclass(frozen=True, slots=True)
class Play:
    """One day to be played."""

    site: Path
    day: str
    seed: int

    @classmethod
    def parse(cls, text: str) -> Play:
        """Parse SITE:DAY:SEED; raise `ValueError` if invalid."""
        site, day, seed = text.rsplit(":", 2)
        return cls(Path(site).resolve(), day, int(seed))

    @property
    def title(self) -> str:
        """Column title."""
        return f"{self.site.stem} {self.day} {self.seed}"


@dataclass(frozen=True, slots=True)
class Result:
    """The outcome of a play."""

    worth: float
    refused: float
    # True if the day broke a rule.
    is_broken: bool


def run_git(*arguments: str) -> str:
    """Run git in the repository; return its output."""
    completed = subprocess.run(
        ["git", "-C", str(REPOSITORY), *arguments], check=True, capture_output=True, text=True
    )
    return completed.stdout.strip()


def clone_without(mechanism: str, commit: str, parent: Path) -> Path:
    """Clone the repository at `commit`, with one mechanism switched off in its deployment."""
    folder = parent / mechanism.replace(" ", "-")
    run_git("clone", "--quiet", str(REPOSITORY), str(folder))
    run_git("-C", str(folder), "checkout", "--quiet", commit)
    if mechanism != ALL_ON:
        deployment = folder / "deploy" / "system.toml"
        text = deployment.read_text()
        command = "-m orioleplank.platform"
        assert command in text
        deployment.write_text(text.replace(command, f"{command} --without {mechanism}", 1))
    return folder


def play_day(bench: Path, folder: Path, play: Play, mechanism: str) -> Result | None:
    """Play a day in a clone; return None if it was not played to its end."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [str(bench), "run", str(play.site), play.day, "--seed", str(play.seed)]
        command += ["--jobs", "1", "--report", report.name, "--why", f"ablation: {mechanism}"]
        try:
            subprocess.run(command, cwd=folder, capture_output=True, timeout=RUN_TIMEOUT_S)
            data: dict[str, Any] = json.loads(Path(report.name).read_text())
        except (subprocess.TimeoutExpired, ValueError):
            return None
    return Result(data["G"], data["refused"], bool(data["breaks"]) or data["fault"] is not None)


def play_all(
    bench: Path, mechanism: str, plays: Sequence[Play], folder: Path
) -> list[Result | None]:
    """Play all days in the clone for a mechanism, and keep the journal entries."""
    results = [play_day(bench, folder, play, mechanism) for play in plays]
    for entry in (folder / "journal").glob("*.json"):
        target = REPOSITORY / "journal" / entry.name
        if not target.exists():
            shutil.copy(entry, target)
    print(mechanism, results, file=sys.stderr, flush=True)
    return results


def format_table(plays: Sequence[Play], rows: dict[str, list[Result | None]]) -> str:
    """Return the worth of each play, and each mechanism's mean effect with its range."""
    lines = ["| off | " + " | ".join(play.title for play in plays) + " | worth of it (range) |"]
    lines.append("| --- " * (len(plays) + 2) + "|")
    reference = rows[ALL_ON]
    for mechanism, results in rows.items():
        pairs = zip(reference, results, strict=True)
        effects = [on.worth - off.worth for on, off in pairs if on is not None and off is not None]
        effect = "-"
        if effects and mechanism != ALL_ON:
            effect = f"{statistics.mean(effects):+.3f} ({min(effects):+.3f} to {max(effects):+.3f})"
        cells = [_format_cell(result) for result in results]
        lines.append(f"| {mechanism} | " + " | ".join(cells) + f" | {effect} |")
    return "\n".join(lines)


def _format_cell(result: Result | None) -> str:
    if result is None:
        return "not played"
    return f"{result.worth:.3f}{' BROKEN' if result.is_broken else ''}"


def main() -> int:
    """Play and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path, help="path of the bench's program")
    parser.add_argument("--run", action="append", type=Play.parse, required=True)
    parser.add_argument("--mechanism", action="append", choices=[m.value for m in Mechanism])
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    names = [ALL_ON, *(options.mechanism or [mechanism.value for mechanism in Mechanism])]
    bench = options.bench.resolve()
    # The bench does not play in the system's temporary folder.
    with (
        tempfile.TemporaryDirectory(dir=REPOSITORY.parent) as parent,
        ThreadPoolExecutor(options.jobs) as executor,
    ):
        commit = run_git("rev-parse", "HEAD")
        folders = {name: clone_without(name, commit, Path(parent)) for name in names}
        rows = executor.map(
            lambda item: play_all(bench, item[0], options.run, item[1]), folders.items()
        )
        table = dict(zip(names, rows, strict=True))
    print(format_table(options.run, table))
    return 0


if __name__ == "__main__":
    sys.exit(main())
