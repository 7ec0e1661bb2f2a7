"""YAML documents with line numbers, and validation problems that name file, line and path."""

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
    """One invalid or missing value in a file."""

    # File name without its directory.
    file: str
    # One-based line number; 0 if unknown.
    line: int
    # Dotted path of the value; empty for the whole document.
    path: str
    # `repr` of the value; empty if it is missing.
    value: str
    # Description of the allowed values, or of the error if the file cannot be parsed.
    allowed: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}"
        found = f" is {self.value}" if self.value else ""
        return f"{where}: {self.path or 'document'}{found}: {self.allowed}"


@dataclass(frozen=True, slots=True)
class Document:
    """One document of a YAML file, which may contain several."""

    # File name without its directory.
    file: str
    # Parsed content: dicts, lists and scalars.
    content: object
    # One-based line number of each value by its path.
    lines: Mapping[Location, int]

    def line(self, path: Location) -> int:
        """Return the line of the value at `path`, or of its nearest existing parent; 1 if none."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class InvalidDocumentError(SettingsError):
    """A settings file cannot be read or contains invalid values."""

    problems: tuple[Problem, ...]

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        self.problems = problems
        detail = "\n".join(str(problem) for problem in problems)
        super().__init__("read settings", problems[0].file, detail)


def read_documents(path: Path) -> tuple[Document, ...]:
    """Parse all documents of a YAML file; raise `InvalidDocumentError` if this fails."""
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
            (Problem(path.name, line, "", "", _format_yaml_error(error)),)
        ) from error
    pairs = zip(nodes, contents, strict=True)
    return tuple(Document(path.name, content, _find_lines(node)) for node, content in pairs)


def _format_yaml_error(error: Exception) -> str:
    return "not YAML: " + " ".join(str(error).split())


def _find_lines(node: yaml.Node | None) -> Mapping[Location, int]:
    lines: dict[Location, int] = {}

    def visit(child: yaml.Node, path: Location) -> None:
        lines[path] = child.start_mark.line + 1
        if isinstance(child, yaml.MappingNode):
            for key, value in child.value:
                visit(value, (*path, str(key.value)))
        elif isinstance(child, yaml.SequenceNode):
            for index, value in enumerate(child.value):
                visit(value, (*path, index))

    if node is not None:
        visit(node, ())
    return lines


def validate_document(document: Document, kind: type[T], prefix: Location = ()) -> T:
    """Convert the value at `prefix` in a document to `kind`.

    Raises `InvalidDocumentError` with one problem for each invalid value.
    """
    content: object = document.content
    for key in prefix:
        content = content.get(key) if isinstance(content, Mapping) else None
    try:
        return TypeAdapter(kind).validate_python(content)
    except ValidationError as error:
        problems = tuple(
            _make_problem(
                document, prefix + tuple(item["loc"]), item["type"], item["input"], item["msg"]
            )
            for item in error.errors()
        )
        raise InvalidDocumentError(problems) from error


def _make_problem(
    document: Document, path: Location, error_type: str, value: object, allowed: str
) -> Problem:
    value_text = "" if error_type.startswith("missing") else repr(value)
    return Problem(
        document.file,
        document.line(path),
        ".".join(str(key) for key in path),
        value_text,
        allowed,
    )
