"""What a connection to an instance needs before it may run a statement of a session."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from orioleplank.decision.session._statement import PreparedStatement

# Shapes that a connection holds before it is reset, so that its memory stays bounded.
PREPARED_LIMIT = 200


@dataclass(frozen=True, slots=True)
class ResetConnection:
    """Clears all values and prepared names of a connection."""


@dataclass(frozen=True, slots=True)
class SetConnectionValue:
    """Sets a value on a connection."""

    # Name of the value.
    name: str
    # The value.
    value: str


@dataclass(frozen=True, slots=True)
class PrepareOnConnection:
    """Prepares a shape under the proxy's own name."""

    # The proxy's name, one for each shape and connection.
    name: str
    # The shape.
    prepared_statement: PreparedStatement


ConnectionSetupStep = ResetConnection | SetConnectionValue | PrepareOnConnection


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What an instance holds for one connection."""

    # Values by name.
    values: Mapping[str, str] = field(default_factory=dict)
    # The proxy's names by shape.
    prepared: Mapping[PreparedStatement, str] = field(default_factory=dict)
    # True when the values are not known for sure, so that only a reset helps.
    doubtful: bool = False

    def apply(self, step: ConnectionSetupStep) -> ConnectionState:
        """Return the state after a step has succeeded."""
        match step:
            case ResetConnection():
                return INITIAL_CONNECTION_STATE
            case SetConnectionValue(name, value):
                return replace(self, values={**self.values, name: value})
            case PrepareOnConnection(name, shape):
                return replace(self, prepared={**self.prepared, shape: name})

    def invalidate_values(self) -> ConnectionState:
        """Return the state after something that may have changed the values."""
        return replace(self, doubtful=True)


INITIAL_CONNECTION_STATE = ConnectionState()


def plan_connection_setup(
    state: ConnectionState, values: Mapping[str, str], shape: PreparedStatement | None
) -> tuple[ConnectionSetupStep, ...]:
    """Return the steps that make a connection fit a session's values and one shape."""
    steps: list[ConnectionSetupStep] = []
    if _needs_reset(state, values):
        steps.append(ResetConnection())
        state = INITIAL_CONNECTION_STATE
    for name, value in values.items():
        if state.values.get(name) != value:
            steps.append(SetConnectionValue(name, value))
    if shape is not None and shape not in state.prepared:
        steps.append(PrepareOnConnection(f"p{len(state.prepared)}", shape))
    return tuple(steps)


def _needs_reset(state: ConnectionState, values: Mapping[str, str]) -> bool:
    if state.doubtful or len(state.prepared) >= PREPARED_LIMIT:
        return True
    return any(name not in values for name in state.values)
