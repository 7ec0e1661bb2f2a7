"""Tests of what a connection needs before a session's statement."""

from __future__ import annotations

import testtools

from orioleplank.decision.session import (
    INITIAL_CONNECTION_STATE,
    AccessMode,
    ConnectionState,
    PreparedStatement,
    PrepareOnConnection,
    ResetConnection,
    SetConnectionValue,
    plan_connection_setup,
)

_READ = PreparedStatement(AccessMode.READ, "q1")


def _apply(
    state: ConnectionState, values: dict[str, str], shape: PreparedStatement | None
) -> ConnectionState:
    for step in plan_connection_setup(state, values, shape):
        state = state.apply(step)
    return state


class TestPreparation(testtools.TestCase):
    def test_sends_only_the_difference(self) -> None:
        state = ConnectionState({"lang": "mi"})
        steps = plan_connection_setup(state, {"lang": "mi", "zone": "akl"}, None)
        self.assertEqual((SetConnectionValue("zone", "akl"),), steps)

    def test_value_of_another_session_is_cleared(self) -> None:
        steps = plan_connection_setup(ConnectionState({"lang": "mi"}), {}, None)
        self.assertEqual((ResetConnection(),), steps)

    def test_reset_prepares_the_shape_again(self) -> None:
        state = ConnectionState({"lang": "mi"}, {_READ: "p0"})
        steps = plan_connection_setup(state, {}, _READ)
        self.assertEqual((ResetConnection(), PrepareOnConnection("p0", _READ)), steps)

    def test_doubtful_values_are_cleared(self) -> None:
        state = ConnectionState({"lang": "mi"}).invalidate_values()
        steps = plan_connection_setup(state, {"lang": "mi"}, None)
        self.assertEqual((ResetConnection(), SetConnectionValue("lang", "mi")), steps)

    def test_shapes_have_names_of_their_own(self) -> None:
        write = PreparedStatement(AccessMode.WRITE, "q1")
        state = _apply(_apply(INITIAL_CONNECTION_STATE, {}, _READ), {}, write)
        self.assertEqual(2, len(set(state.prepared.values())))

    def test_nothing_is_sent_twice(self) -> None:
        state = _apply(INITIAL_CONNECTION_STATE, {"lang": "mi"}, _READ)
        self.assertEqual((), plan_connection_setup(state, {"lang": "mi"}, _READ))
