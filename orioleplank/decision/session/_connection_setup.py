"""Setup steps that a connection to an instance needs before it runs a statement of a session."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field
from msgspec.structs import replace

from orioleplank.decision.session._statement import PreparedStatement

# A connection is reset when it holds this many prepared statements, to bound its memory.
MAX_PREPARED_STATEMENTS = 200
# Also when these have this many bytes of text; 200 messages of 1 MiB would fit otherwise.
MAX_PREPARED_BYTES = 256 * 1024


class ResetConnection(Struct, frozen=True):
    """Clears all values and prepared statements of a connection."""


class SetConnectionValue(Struct, frozen=True):
    """Sets a session value on a connection."""

    name: str
    value: str


class PrepareOnConnection(Struct, frozen=True):
    """Prepares a statement on a connection under a name that the proxy assigns."""

    # Name assigned by the proxy, unique for each prepared statement of the connection.
    name: str
    prepared_statement: PreparedStatement


ConnectionSetupStep = ResetConnection | SetConnectionValue | PrepareOnConnection


class ConnectionState(Struct, frozen=True):
    """The session state that an instance keeps for one connection."""

    # Session values by name.
    values: Mapping[str, str] = field(default_factory=dict)
    # Names assigned by the proxy, by prepared statement.
    prepared: Mapping[PreparedStatement, str] = field(default_factory=dict)
    # Bytes of the texts of these statements.
    prepared_bytes: int = 0
    # True when the values on the instance are uncertain, so that the connection must be reset.
    values_uncertain: bool = False

    def apply(self, step: ConnectionSetupStep) -> ConnectionState:
        """Return the state after `step` has succeeded."""
        match step:
            case ResetConnection():
                return INITIAL_CONNECTION_STATE
            case SetConnectionValue(name, value):
                return replace(self, values={**self.values, name: value})
            case PrepareOnConnection(name, prepared_statement):
                return replace(
                    self,
                    prepared={**self.prepared, prepared_statement: name},
                    prepared_bytes=self.prepared_bytes + len(prepared_statement.text),
                )

    def invalidate_values(self) -> ConnectionState:
        """Return the state after an operation that may have changed the values."""
        return replace(self, values_uncertain=True)


INITIAL_CONNECTION_STATE = ConnectionState()


def plan_connection_setup(
    state: ConnectionState, values: Mapping[str, str], prepared_statement: PreparedStatement | None
) -> tuple[ConnectionSetupStep, ...]:
    """Return the steps that prepare a connection for one statement of a session.

    `values` are the session values. `prepared_statement` is the prepared statement that is to
    be executed, or None. Empty when the connection is ready.
    """
    steps: list[ConnectionSetupStep] = []
    if _needs_reset(state, values):
        steps.append(ResetConnection())
        state = INITIAL_CONNECTION_STATE
    for name, value in values.items():
        if state.values.get(name) != value:
            steps.append(SetConnectionValue(name, value))
    if prepared_statement is not None and prepared_statement not in state.prepared:
        steps.append(PrepareOnConnection(f"p{len(state.prepared)}", prepared_statement))
    return tuple(steps)


def _needs_reset(state: ConnectionState, values: Mapping[str, str]) -> bool:
    if state.values_uncertain or len(state.prepared) >= MAX_PREPARED_STATEMENTS:
        return True
    if state.prepared_bytes >= MAX_PREPARED_BYTES:
        return True
    return any(name not in values for name in state.values)
