"""Limits on the values and prepared statements that a session keeps until it ends."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.intake._limits import CallerLimits
from orioleplank.decision.session import Prepare, Session, SetValue, Statement


class SessionSize(Struct, frozen=True):
    """Numbers and bytes of the values and prepared statements that a session keeps."""

    # Bytes of names, values and prepared statements.
    byte_count: int = 0
    values: int = 0
    statements: int = 0


def measure_session(session: Session) -> SessionSize:
    """Return the size of a session."""
    values, prepared = session.values, session.prepared
    byte_count = sum(len(name) + len(value) for name, value in values.items())
    byte_count += sum(len(name) + len(statement.text) for name, statement in prepared.items())
    return SessionSize(byte_count, len(values), len(prepared))


def find_excess(session: Session, statement: Statement, limits: CallerLimits) -> str | None:
    """Return which limit a session would exceed after a statement, as text; None if none.

    Addresses sessions that set values or prepare statements without end.
    """
    match statement:
        case SetValue(name, value):
            after = measure_session(session.set_value(name, value))
        case Prepare(name, prepared_statement):
            after = measure_session(session.prepare(name, prepared_statement))
        case _:
            return None
    if after.byte_count > limits.session_bytes:
        return f"a session keeps at most {limits.session_bytes} bytes; nothing was kept"
    if after.values > limits.session_values:
        return f"a session keeps at most {limits.session_values} values; nothing was kept"
    if after.statements > limits.session_statements:
        return f"a session keeps at most {limits.session_statements} statements; nothing was kept"
    return None
