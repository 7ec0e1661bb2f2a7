"""Tests of what a connection needs before a session's statement."""

from __future__ import annotations

import testtools

from orioleplank.decision.session import (
    FRESH_CONNECTION,
    ConnectionState,
    Mode,
    PrepareShape,
    ResetConnection,
    SetOnConnection,
    Shape,
    find_preparation,
)

_READ = Shape(Mode.READ, "q1")


def _apply(state: ConnectionState, values: dict[str, str], shape: Shape | None) -> ConnectionState:
    for step in find_preparation(state, values, shape):
        state = state.apply(step)
    return state


class TestPreparation(testtools.TestCase):
    def test_sends_only_the_difference(self) -> None:
        state = ConnectionState({"lang": "mi"})
        steps = find_preparation(state, {"lang": "mi", "zone": "akl"}, None)
        self.assertEqual((SetOnConnection("zone", "akl"),), steps)

    def test_value_of_another_session_is_cleared(self) -> None:
        steps = find_preparation(ConnectionState({"lang": "mi"}), {}, None)
        self.assertEqual((ResetConnection(),), steps)

    def test_reset_prepares_the_shape_again(self) -> None:
        state = ConnectionState({"lang": "mi"}, {_READ: "p0"})
        steps = find_preparation(state, {}, _READ)
        self.assertEqual((ResetConnection(), PrepareShape("p0", _READ)), steps)

    def test_doubtful_values_are_cleared(self) -> None:
        state = ConnectionState({"lang": "mi"}).doubt()
        steps = find_preparation(state, {"lang": "mi"}, None)
        self.assertEqual((ResetConnection(), SetOnConnection("lang", "mi")), steps)

    def test_shapes_have_names_of_their_own(self) -> None:
        write = Shape(Mode.WRITE, "q1")
        state = _apply(_apply(FRESH_CONNECTION, {}, _READ), {}, write)
        self.assertEqual(2, len(set(state.prepared.values())))

    def test_nothing_is_sent_twice(self) -> None:
        state = _apply(FRESH_CONNECTION, {"lang": "mi"}, _READ)
        self.assertEqual((), find_preparation(state, {"lang": "mi"}, _READ))
