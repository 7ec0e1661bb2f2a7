"""Tests of the setup of a connection for a statement of a session."""

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
from orioleplank.decision.session._connection_setup import MAX_PREPARED_BYTES

_READ = PreparedStatement(AccessMode.READ, "q1")


def _apply_setup(
    state: ConnectionState, values: dict[str, str], prepared_statement: PreparedStatement | None
) -> ConnectionState:
    for step in plan_connection_setup(state, values, prepared_statement):
        state = state.apply(step)
    return state


class TestPlanConnectionSetup(testtools.TestCase):
    def test_only_values_that_differ_are_set(self) -> None:
        state = ConnectionState({"lang": "mi"})
        steps = plan_connection_setup(state, {"lang": "mi", "zone": "akl"}, None)
        self.assertEqual((SetConnectionValue("zone", "akl"),), steps)

    def test_connection_is_reset_when_it_has_a_value_of_another_session(self) -> None:
        steps = plan_connection_setup(ConnectionState({"lang": "mi"}), {}, None)
        self.assertEqual((ResetConnection(),), steps)

    def test_statement_is_prepared_again_after_a_reset(self) -> None:
        state = ConnectionState({"lang": "mi"}, {_READ: "p0"})
        steps = plan_connection_setup(state, {}, _READ)
        self.assertEqual((ResetConnection(), PrepareOnConnection("p0", _READ)), steps)

    def test_connection_is_reset_when_its_values_are_uncertain(self) -> None:
        state = ConnectionState({"lang": "mi"}).invalidate_values()
        steps = plan_connection_setup(state, {"lang": "mi"}, None)
        self.assertEqual((ResetConnection(), SetConnectionValue("lang", "mi")), steps)

    def test_prepared_statements_get_distinct_names(self) -> None:
        write = PreparedStatement(AccessMode.WRITE, "q1")
        state = _apply_setup(_apply_setup(INITIAL_CONNECTION_STATE, {}, _READ), {}, write)
        self.assertEqual(2, len(set(state.prepared.values())))

    def test_connection_that_is_already_set_up_needs_no_steps(self) -> None:
        state = _apply_setup(INITIAL_CONNECTION_STATE, {"lang": "mi"}, _READ)
        self.assertEqual((), plan_connection_setup(state, {"lang": "mi"}, _READ))


class TestPreparedBytes(testtools.TestCase):
    """Guards against connections that keep 200 prepared statements of up to 1 MiB each."""

    def test_connection_with_many_prepared_bytes_is_reset(self) -> None:
        state = ConnectionState()
        large = PreparedStatement(AccessMode.READ, "s" * MAX_PREPARED_BYTES)
        self.assertEqual(1, len(plan_connection_setup(state, {}, large)))
        state = state.apply(PrepareOnConnection("p0", large))
        small = PreparedStatement(AccessMode.READ, "t")
        steps = plan_connection_setup(state, {}, small)
        self.assertEqual((ResetConnection(), PrepareOnConnection("p0", small)), steps)
