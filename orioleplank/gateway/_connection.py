"""A connection of a pool."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision.session import INITIAL_CONNECTION_STATE, ConnectionState
from orioleplank.gateway._interfaces import InstanceLink


@dataclass(slots=True, eq=False)
class PooledConnection:
    """One connection and what the instance holds for it."""

    # The connection.
    link: InstanceLink
    # Values and prepared names at the instance.
    state: ConnectionState = INITIAL_CONNECTION_STATE
    # Number of the session that used it last; 0 for none.
    last_session_id: int = 0
    # False once it must not be used again.
    is_usable: bool = True
    # Counts how often the way to the instance had changed when it was opened.
    generation: int = 0
