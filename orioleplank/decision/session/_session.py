"""What a proxy keeps of a caller's session."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique

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
    """Where a session stands with its transaction."""

    IDLE = "idle"
    IN_TRANSACTION = "in-transaction"
    # The transaction is lost; only its end is accepted.
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Session:
    """One caller's session."""

    # The database it named at its start.
    database: str
    # Values it has set, by name.
    values: Mapping[str, str] = field(default_factory=dict)
    # Shapes by the caller's own names.
    prepared: Mapping[str, PreparedStatement] = field(default_factory=dict)
    # Position of its last commit; `ZERO_POSITION` before one.
    position: Position = ZERO_POSITION
    # Where it stands with its transaction.
    phase: SessionPhase = SessionPhase.IDLE

    def set_value(self, name: str, value: str) -> Session:
        """Return the session with a value set."""
        return replace(self, values={**self.values, name: value})

    def prepare(self, name: str, shape: PreparedStatement) -> Session:
        """Return the session with a name for `shape`."""
        return replace(self, prepared={**self.prepared, name: shape})

    def close_prepared(self, name: str) -> Session:
        """Return the session without a name."""
        kept = {known: shape for known, shape in self.prepared.items() if known != name}
        return replace(self, prepared=kept)

    def resolve(self, statement: Read | Write | Execute) -> Read | Write | ExecutePrepared | None:
        """Return what an instance is to run; None when the prepared name is not known."""
        match statement:
            case Execute(name, arguments):
                shape = self.prepared.get(name)
                return None if shape is None else ExecutePrepared(shape, arguments)
            case _:
                return statement

    def record_commit(self, position: Position | None) -> Session:
        """Return the session after one of its commits at `position`."""
        if position is None:
            return self
        return replace(self, position=max(self.position, position))

    def with_phase(self, phase: SessionPhase) -> Session:
        """Return the session in `phase`."""
        return replace(self, phase=phase)
