"""Reports the limits on statements at instances: gauges, and log lines when one is low."""

from __future__ import annotations

from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._pool import InstancePool


class LimitReports:
    """Sets the gauges of all limited pools, and logs limits that become low or recover.

    A limit is low from when it is less than half of the instance's slots until it has reached the
    slots again; in between it would be logged at every change.
    """

    def __init__(self, cluster_state: ClusterState, event_log: EventLog, metrics: Metrics) -> None:
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._metrics = metrics
        # Pools whose limit was last logged as low.
        self._low: set[InstancePool] = set()

    def update(self) -> None:
        """Set the gauges to the present values, and log what changed since the last call."""
        limited = self._cluster_state.instance_pools.limited_pools()
        self._metrics.clear_limits()
        for pool, limit in limited:
            self._metrics.set_limit(
                pool.entry.service, pool.entry.id, limit, len(pool.statements), pool.waiting
            )
            self._log_change(pool, limit)
        self._low.intersection_update(pool for pool, _ in limited)

    def _log_change(self, pool: InstancePool, limit: int) -> None:
        slots = pool.entry.slots
        if pool not in self._low and limit < slots / 2:
            self._low.add(pool)
            self._log(pool, limit, "low")
        elif pool in self._low and limit >= slots:
            self._low.remove(pool)
            self._log(pool, limit, "restored")

    def _log(self, pool: InstancePool, limit: int, outcome: str) -> None:
        self._event_log.log_event(
            EventType.STATEMENT_LIMIT,
            outcome=outcome,
            instance=pool.entry.id,
            service=pool.entry.service,
            limit=limit,
            slots=pool.entry.slots,
            running=len(pool.statements),
            waiting=pool.waiting,
        )
