"""Idle connections of a pool, and the choice among them."""

from __future__ import annotations

from collections.abc import Callable

from orioleplank.decision.session import plan_connection_setup
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._wait_queue import Waiter, WaitQueue

# How long a request has to have waited before an idle connection is closed for it that waiters of
# another account could use, in seconds. Earlier, both would wait for new connections; never, an
# account with a long queue would keep all connections.
REPLACE_WANTED_AFTER_S = 0.05


class IdleConnections:
    """The idle connections of a pool, the least recently used first."""

    def __init__(self, now: Callable[[], float], waiters: WaitQueue) -> None:
        self._now = now
        self._waiters = waiters
        self._connections: list[PooledConnection] = []

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: PooledConnection) -> None:
        """Add a connection as the most recently used one."""
        self._connections.append(connection)

    def remove(self, connection: PooledConnection) -> None:
        """Remove a connection that is used or closed now."""
        self._connections.remove(connection)

    def close_all(self) -> None:
        """Remove and close all connections."""
        connections, self._connections = self._connections, []
        for connection in connections:
            connection.link.close()

    def find_usable(self, request: ConnectionRequest) -> PooledConnection | None:
        """Return the connection that needs the least setup for a request; None without one."""
        usable = [c for c in reversed(self._connections) if request.may_use(c.link.account)]

        def setup_cost(connection: PooledConnection) -> tuple[int, bool]:
            steps = len(plan_connection_setup(connection.state, request.values, None))
            return steps, connection.last_session_id != request.session_id

        return min(usable, key=setup_cost, default=None)

    def find_replaceable(self, waiter: Waiter) -> PooledConnection | None:
        """Return the idle connection to close for a waiter; None if none should be.

        Connections of accounts without waiters that are as urgent come first, then the least
        recently used. Those of accounts with such waiters are closed only for a waiter that has
        waited for a while.
        """
        unwanted = (c for c in self._connections if not self._is_wanted(c, waiter))
        has_waited = self._now() - waiter.enqueued_at >= REPLACE_WANTED_AFTER_S
        return next(unwanted, self._connections[0] if has_waited and self._connections else None)

    def _is_wanted(self, connection: PooledConnection, waiter: Waiter) -> bool:
        """Return whether a waiter that is as urgent as `waiter` could use a connection."""
        first = self._waiters.first_of_account(connection.link.account or "")
        return first is not None and first.urgency <= waiter.urgency
