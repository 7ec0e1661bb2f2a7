"""Typed representations of the statements of a caller."""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct


@unique
class AccessMode(Enum):
    """Whether a prepared statement reads or writes."""

    READ = "read"
    WRITE = "write"


class PreparedStatement(Struct, frozen=True):
    """The definition of a prepared statement, independent of its name."""

    mode: AccessMode
    # Identifier that the caller gave for the text of the statement.
    text: str


class Begin(Struct, frozen=True):
    """Begins a transaction."""

    # True for a transaction without writes.
    read_only: bool


class Commit(Struct, frozen=True):
    """Commits the open transaction."""


class Rollback(Struct, frozen=True):
    """Rolls back the open transaction."""


class Read(Struct, frozen=True):
    """Reads one item."""

    # The text after the verb, exactly as the caller sent it.
    arguments: str


class Write(Struct, frozen=True):
    """Writes one item."""

    # The text after the verb, exactly as the caller sent it.
    arguments: str


class Execute(Struct, frozen=True):
    """Executes a prepared statement by its name in the session."""

    # Name that the caller prepared.
    name: str
    # The text after the name, exactly as the caller sent it.
    arguments: str


class ExecutePrepared(Struct, frozen=True):
    """Executes a prepared statement by its definition.

    The name under which it is prepared on the connection is filled in when it is sent.
    """

    prepared_statement: PreparedStatement
    # The text after the name, exactly as the caller sent it.
    arguments: str


class SetValue(Struct, frozen=True):
    """Sets a session value."""

    name: str
    # Exactly as the caller sent it.
    value: str


class Prepare(Struct, frozen=True):
    """Prepares a statement under a name in the session."""

    name: str
    prepared_statement: PreparedStatement


class ClosePrepared(Struct, frozen=True):
    """Closes a prepared statement, which removes its name from the session."""

    name: str


class Unreadable(Struct, frozen=True):
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
