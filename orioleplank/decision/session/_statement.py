"""Typed representations of the statements of a caller."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique


@unique
class AccessMode(Enum):
    """Whether a prepared statement reads or writes."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """The definition of a prepared statement, independent of its name."""

    mode: AccessMode
    # Identifier that the caller gave for the text of the statement.
    text: str


@dataclass(frozen=True, slots=True)
class Begin:
    """Begins a transaction."""

    # True for a transaction without writes.
    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls back the open transaction."""


@dataclass(frozen=True, slots=True)
class Read:
    """Reads one item."""

    # The text after the verb, exactly as the caller sent it.
    arguments: str


@dataclass(frozen=True, slots=True)
class Write:
    """Writes one item."""

    # The text after the verb, exactly as the caller sent it.
    arguments: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Executes a prepared statement by its name in the session."""

    # Name that the caller prepared.
    name: str
    # The text after the name, exactly as the caller sent it.
    arguments: str


@dataclass(frozen=True, slots=True)
class ExecutePrepared:
    """Executes a prepared statement by its definition.

    The name under which it is prepared on the connection is filled in when it is sent.
    """

    prepared_statement: PreparedStatement
    # The text after the name, exactly as the caller sent it.
    arguments: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Sets a session value."""

    name: str
    # Exactly as the caller sent it.
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepares a statement under a name in the session."""

    name: str
    prepared_statement: PreparedStatement


@dataclass(frozen=True, slots=True)
class ClosePrepared:
    """Closes a prepared statement, which removes its name from the session."""

    name: str


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A text that cannot be parsed as a statement."""

    # Description of the error.
    detail: str


Statement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | Execute
    | SetValue
    | Prepare
    | ClosePrepared
    | Unreadable
)

# Statements that an instance runs under the caller's id, apart from a commit.
ExecutableStatement = Read | Write | ExecutePrepared


def is_write(statement: ExecutableStatement) -> bool:
    """Return whether a statement changes data."""
    match statement:
        case Write():
            return True
        case ExecutePrepared(prepared_statement):
            return prepared_statement.mode is AccessMode.WRITE
        case Read():
            return False
