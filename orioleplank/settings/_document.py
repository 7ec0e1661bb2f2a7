"""YAML documents with the line of each value, and problems that name file, line and path."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import TypeAdapter, ValidationError

from orioleplank._exceptions import SettingsError

T = TypeVar("T")
Location = tuple[int | str, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong in a file."""

    # Name of the file.
    file: str
    # One-based line; 0 when it is not known.
    line: int
    # Path of the value, with dots; empty for the whole document.
    path: str
    # The value as it stands; empty when it is missing.
    value: str
    # What is allowed there.
    allowed: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}"
        found = f" is {self.value}" if self.value else ""
        return f"{where}: {self.path or 'document'}{found}: {self.allowed}"


@dataclass(frozen=True, slots=True)
class Document:
    """One YAML document."""

    # Name of the file.
    file: str
    # Its content as plain values.
    content: object
    # One-based line of each value by its path.
    lines: Mapping[Location, int]

    def line(self, path: Location) -> int:
        """Return the line of the value at `path`, or of its nearest parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class InvalidDocumentError(SettingsError):
    """A file has problems."""

    # All of them.
    problems: tuple[Problem, ...]

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        detail = "\n".join(str(problem) for problem in problems)
        super().__init__("read settings", problems[0].file, detail)


def read_documents(path: Path) -> tuple[Document, ...]:
    """Read all documents of a file; raise `InvalidDocumentError` when it is not YAML."""
    try:
        text = path.read_text(encoding="utf-8")
        nodes = list(yaml.compose_all(text, Loader=yaml.SafeLoader))
        contents = list(yaml.safe_load_all(text))
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidDocumentError((Problem(path.name, 0, "", "", str(error)),)) from error
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        raise InvalidDocumentError(
            (Problem(path.name, line, "", "", _first_line(error)),)
        ) from error
    pairs = zip(nodes, contents, strict=True)
    return tuple(Document(path.name, content, _find_lines(node)) for node, content in pairs)


def _first_line(error: Exception) -> str:
    return "not YAML: " + " ".join(str(error).split())


def _find_lines(node: yaml.Node | None) -> Mapping[Location, int]:
    lines: dict[Location, int] = {}

    def visit(part: yaml.Node, path: Location) -> None:
        lines[path] = part.start_mark.line + 1
        if isinstance(part, yaml.MappingNode):
            for key, value in part.value:
                visit(value, (*path, str(key.value)))
        elif isinstance(part, yaml.SequenceNode):
            for index, value in enumerate(part.value):
                visit(value, (*path, index))

    if node is not None:
        visit(node, ())
    return lines


def validate_document(document: Document, kind: type[T], prefix: Location = ()) -> T:
    """Make a `kind` of a document; raise `InvalidDocumentError` naming each invalid value."""
    content: object = document.content
    for step in prefix:
        content = content.get(step) if isinstance(content, Mapping) else None
    try:
        return TypeAdapter(kind).validate_python(content)
    except ValidationError as error:
        problems = tuple(
            _describe(
                document, prefix + tuple(item["loc"]), item["type"], item["input"], item["msg"]
            )
            for item in error.errors()
        )
        raise InvalidDocumentError(problems) from error


def _describe(
    document: Document, path: Location, problem: str, value: object, allowed: str
) -> Problem:
    shown = "" if problem.startswith("missing") else repr(value)
    return Problem(
        document.file,
        document.line(path),
        ".".join(str(step) for step in path),
        shown,
        allowed,
    )
