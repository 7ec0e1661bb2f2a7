"""Connection pools of all known instances."""

from __future__ import annotations

from collections.abc import Callable

from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.mechanisms import MechanismSwitches
from orioleplank.decision.routing import DirectPath
from orioleplank.gateway._instance_connector import ConnectionLimit, Dial, InstanceConnector
from orioleplank.gateway._pool import InstancePool

# A connection that is held for other proxies is closed after it has been idle for this long.
UNUSED_CONNECTION_TIMEOUT_S = 3.0


class InstancePools:
    """The pools of one proxy: one for each known instance, and those of its own connections."""

    def __init__(
        self,
        connector: InstanceConnector,
        now: Callable[[], float],
        on_problem: Callable[[str], None],
        mechanisms: MechanismSwitches,
    ) -> None:
        # The pool of each known instance, by its id.
        self.pools: dict[str, InstancePool] = {}
        self._connector = connector
        self._now = now
        # Called with the id of an instance with which a pool had a problem.
        self._on_problem = on_problem
        self._mechanisms = mechanisms
        # This proxy's own connections to instances to which it normally forwards statements, by
        # instance: for statements that it receives as a backup owner, and for its own statements
        # while it reaches no connection owner.
        self._own_connection_pools: dict[str, InstancePool] = {}

    def update(self, instance: str, entry: InstanceEntry | None) -> None:
        """Open, update or close the pools of an instance to match its entry; None if it is gone."""
        for pools in (self.pools, self._own_connection_pools):
            pool = pools.get(instance)
            if pool is not None and (entry is None or _is_different_incarnation(pool.entry, entry)):
                del pools[instance]
                pool.close()
            elif pool is not None and entry is not None:
                pool.entry = entry
        if entry is not None and instance not in self.pools:
            self.pools[instance] = self._build_pool(
                entry,
                self._connector.open,
                self._connector.connection_limit,
                self._connector.holds_connections,
            )

    def own_connection_pool(self, entry: InstanceEntry) -> InstancePool | None:
        """Return the pool of this proxy's own connections to an instance.

        Where this proxy normally forwards statements to connection owners, this is a pool besides
        the one of the forwarding links.
        """
        if isinstance(self._connector.connection_path(entry), DirectPath):
            return self.pools.get(entry.id)
        pool = self._own_connection_pools.get(entry.id)
        if pool is None:
            pool = self._build_pool(
                entry,
                self._connector.open_own_connection,
                self._connector.non_owner_connection_limit,
            )
            self._own_connection_pools[entry.id] = pool
        return pool

    def limited_pools(self) -> list[tuple[InstancePool, int]]:
        """Return the pools with a limit on statements, each with its limit."""
        pools = (*self.pools.values(), *self._own_connection_pools.values())
        limits = ((pool, pool.statements.limit) for pool in pools)
        return [(pool, limit) for pool, limit in limits if limit is not None]

    def serve_waiters(self) -> None:
        """Serve requests that may start because time has passed, such as after a measurement."""
        for pool in (*self.pools.values(), *self._own_connection_pools.values()):
            pool.serve_waiters()

    def close_unused_connections(self) -> None:
        """Close idle own connections to instances to which statements are normally forwarded."""
        for pool in self._own_connection_pools.values():
            if self._now() - pool.last_released_at >= UNUSED_CONNECTION_TIMEOUT_S:
                pool.close_idle_connections()

    def serve_held_back_transactions(self) -> None:
        """Serve transactions that waited for other accounts to stop using an instance."""
        for pools in (self.pools, self._own_connection_pools):
            for pool in pools.values():
                pool.serve_held_back()

    def _build_pool(
        self,
        entry: InstanceEntry,
        dial: Dial,
        connection_limit: ConnectionLimit,
        limits_statements: Callable[[InstanceEntry], bool] = lambda _: True,
    ) -> InstancePool:
        return InstancePool(
            entry,
            dial,
            self._now,
            connection_limit,
            self._on_problem,
            self._mechanisms,
            limits_statements,
        )


def _is_different_incarnation(previous: InstanceEntry, current: InstanceEntry) -> bool:
    if previous.address != current.address or previous.service != current.service:
        return True
    return bool(previous.born and current.born and previous.born != current.born)
