"""What a connection to an instance needs before it may run a statement of a session."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from orioleplank.decision.session._statement import Shape

# Shapes that a connection holds before it is reset, so that its memory stays bounded.
PREPARED_LIMIT = 200


@dataclass(frozen=True, slots=True)
class ResetConnection:
    """Clears all values and prepared names of a connection."""


@dataclass(frozen=True, slots=True)
class SetOnConnection:
    """Sets a value on a connection."""

    # Name of the value.
    name: str
    # The value.
    value: str


@dataclass(frozen=True, slots=True)
class PrepareShape:
    """Prepares a shape under the proxy's own name."""

    # The proxy's name, one for each shape and connection.
    name: str
    # The shape.
    shape: Shape


Preparation = ResetConnection | SetOnConnection | PrepareShape


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What an instance holds for one connection."""

    # Values by name.
    values: Mapping[str, str] = field(default_factory=dict)
    # The proxy's names by shape.
    prepared: Mapping[Shape, str] = field(default_factory=dict)
    # True when the values are not known for sure, so that only a reset helps.
    doubtful: bool = False

    def apply(self, step: Preparation) -> ConnectionState:
        """Return the state after a step has succeeded."""
        match step:
            case ResetConnection():
                return FRESH_CONNECTION
            case SetOnConnection(name, value):
                return replace(self, values={**self.values, name: value})
            case PrepareShape(name, shape):
                return replace(self, prepared={**self.prepared, shape: name})

    def doubt(self) -> ConnectionState:
        """Return the state after something that may have changed the values."""
        return replace(self, doubtful=True)


FRESH_CONNECTION = ConnectionState()


def find_preparation(
    state: ConnectionState, values: Mapping[str, str], shape: Shape | None
) -> tuple[Preparation, ...]:
    """Return the steps that make a connection fit a session's values and one shape."""
    steps: list[Preparation] = []
    if _needs_reset(state, values):
        steps.append(ResetConnection())
        state = FRESH_CONNECTION
    for name, value in values.items():
        if state.values.get(name) != value:
            steps.append(SetOnConnection(name, value))
    if shape is not None and shape not in state.prepared:
        steps.append(PrepareShape(f"p{len(state.prepared)}", shape))
    return tuple(steps)


def _needs_reset(state: ConnectionState, values: Mapping[str, str]) -> bool:
    if state.doubtful or len(state.prepared) >= PREPARED_LIMIT:
        return True
    return any(name not in values for name in state.values)
