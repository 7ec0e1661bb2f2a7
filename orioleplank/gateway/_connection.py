"""A pooled connection to an instance."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.session import INITIAL_CONNECTION_STATE, ConnectionState
from orioleplank.gateway._interfaces import InstanceLink


class PooledConnection(Struct, eq=False):
    """A connection to an instance, with the session state that the instance keeps for it."""

    link: InstanceLink
    # Session values and prepared names that are set at the instance.
    state: ConnectionState = INITIAL_CONNECTION_STATE
    # Id of the session that last used it; 0 if it has not been used.
    last_session_id: int = 0
    # False while it must not be used for other work; it is then closed on release.
    is_usable: bool = True
    # How often the path to the instance had changed when the connection was opened.
    generation: int = 0
