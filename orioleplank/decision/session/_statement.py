"""Statements of a caller, as typed values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique


@unique
class AccessMode(Enum):
    """What a prepared statement does."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """What a prepared name stands for."""

    # Whether it reads or writes.
    mode: AccessMode
    # The caller's name of its text.
    text: str


@dataclass(frozen=True, slots=True)
class Begin:
    """Begins a transaction."""

    # True when it will not write.
    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Commits the transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rolls the transaction back."""


@dataclass(frozen=True, slots=True)
class Read:
    """Reads one item."""

    # What follows the verb, unchanged.
    arguments: str


@dataclass(frozen=True, slots=True)
class Write:
    """Writes one item."""

    # What follows the verb, unchanged.
    arguments: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Executes what a name of the session stands for."""

    # The caller's prepared name.
    name: str
    # What follows the name, unchanged.
    arguments: str


@dataclass(frozen=True, slots=True)
class ExecutePrepared:
    """Executes a shape; the connection's own name for it is filled in when it is sent."""

    # The shape.
    prepared_statement: PreparedStatement
    # What follows the name, unchanged.
    arguments: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Sets a value of the session."""

    # Name of the value.
    name: str
    # The value, unchanged.
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Gives a shape a name in the session."""

    # The caller's name.
    name: str
    # What it stands for.
    prepared_statement: PreparedStatement


@dataclass(frozen=True, slots=True)
class ClosePrepared:
    """Forgets a prepared name."""

    # The caller's name.
    name: str


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A text that is no statement."""

    # What is wrong with it.
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

# What an instance runs under the caller's id, besides a commit.
ExecutableStatement = Read | Write | ExecutePrepared


def is_write(statement: ExecutableStatement) -> bool:
    """Tell whether a statement changes data."""
    match statement:
        case Write():
            return True
        case ExecutePrepared(shape):
            return shape.mode is AccessMode.WRITE
        case Read():
            return False
