"""The state that a proxy keeps for a caller's session."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, unique

from msgspec import Struct, field
from msgspec.structs import replace

from orioleplank.decision._position import ZERO_POSITION, Position
from orioleplank.decision.session._statement import (
    Execute,
    ExecutePrepared,
    PreparedStatement,
    Read,
    Write,
)


@unique
class SessionPhase(Enum):
    """Transaction state of a session."""

    IDLE = "idle"
    IN_TRANSACTION = "in-transaction"
    # The transaction has failed; only its end is accepted.
    FAILED = "failed"


class Session(Struct, frozen=True):
    """State of one caller's session; immutable, each change returns a new session."""

    # Database that the caller named at the start of the session.
    database: str
    # Session values that the caller has set, by name.
    values: Mapping[str, str] = field(default_factory=dict)
    # Prepared statements by the caller's names for them.
    prepared: Mapping[str, PreparedStatement] = field(default_factory=dict)
    # Position of its last commit; `ZERO_POSITION` before the first one.
    position: Position = ZERO_POSITION
    phase: SessionPhase = SessionPhase.IDLE

    def set_value(self, name: str, value: str) -> Session:
        """Return the session with value `name` set to `value`."""
        return replace(self, values={**self.values, name: value})

    def prepare(self, name: str, prepared_statement: PreparedStatement) -> Session:
        """Return the session with a statement prepared under `name`."""
        return replace(self, prepared={**self.prepared, name: prepared_statement})

    def close_prepared(self, name: str) -> Session:
        """Return the session without the statement prepared under `name`; it need not exist."""
        remaining = {
            prepared_name: prepared_statement
            for prepared_name, prepared_statement in self.prepared.items()
            if prepared_name != name
        }
        return replace(self, prepared=remaining)

    def resolve(self, statement: Read | Write | Execute) -> Read | Write | ExecutePrepared | None:
        """Return the statement for an instance, with a prepared name replaced by its definition.

        None when the prepared name is not known.
        """
        match statement:
            case Execute(name, arguments):
                prepared_statement = self.prepared.get(name)
                return (
                    None
                    if prepared_statement is None
                    else ExecutePrepared(prepared_statement, arguments)
                )
            case _:
                return statement

    def record_commit(self, position: Position | None) -> Session:
        """Return the session after a commit at `position`; unchanged when the position is unknown.

        The position of the session never decreases.
        """
        if position is None:
            return self
        return replace(self, position=max(self.position, position))

    def with_phase(self, phase: SessionPhase) -> Session:
        """Return the session with its transaction state set to `phase`."""
        return replace(self, phase=phase)
