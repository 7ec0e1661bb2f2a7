"""What this proxy knows of the log positions of replicas, and the reads that wait for one."""

from __future__ import annotations

from typing import Any

from msgspec import Struct
from twisted.internet.defer import Deferred

from orioleplank.decision import Position
from orioleplank.decision.routing import ReplicaReports
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._pool import InstancePool


class _Waiter(Struct, eq=False):
    """A read that waits until a replica has a position."""

    # Service of the replica.
    service: str
    position: Position
    # Id of the primary, which has every position; empty if none is relied on.
    primary: str
    # Fires when a replica of the service is reported to have the position.
    reported: Deferred[None]


class ReplicaProgress:
    """Records the positions in replies, and wakes the reads that wait for them."""

    def __init__(self, cluster_state: ClusterState, reactor: Any) -> None:
        self._cluster_state = cluster_state
        self._reactor = reactor
        self._waiters: list[_Waiter] = []

    def record(self, pool: InstancePool, position: Position | None) -> None:
        """Record the position in a reply that has just arrived, if it states one.

        A reply to a statement that this proxy runs for another one comes from a second pool of the
        instance; it counts for the instance as well.
        """
        if position is None:
            return
        service = pool.entry.service
        history = self._cluster_state.positions.known_history(service, position.term)
        reports = self._reports_of(pool)
        reports.add(self._cluster_state.lease_clock(), position, history)
        for waiter in tuple(self._waiters):
            is_replica = waiter.service == service and waiter.primary != pool.entry.id
            if is_replica and reports.has(waiter.position) and not waiter.reported.called:
                waiter.reported.callback(None)

    def _reports_of(self, pool: InstancePool) -> ReplicaReports:
        known = self._cluster_state.pools.get(pool.entry.id)
        return known.reports if known is not None and known.entry == pool.entry else pool.reports

    def expected_at(self, pool: InstancePool, position: Position) -> float | None:
        """Return when an instance will have a position, in seconds of the lease clock, or None."""
        service = pool.entry.service
        history = self._cluster_state.positions.known_history(service, position.term)
        return pool.reports.expected_at(position, history, self._cluster_state.lease_clock())

    async def wait(self, service: str, primary: str, position: Position, seconds: float) -> None:
        """Return after `seconds`, or as soon as a replica is reported to have the position."""
        waiter = _Waiter(service, position, primary, Deferred())
        self._waiters.append(waiter)
        timer = self._reactor.callLater(max(0.0, seconds), _wake, waiter.reported)
        try:
            await waiter.reported
        finally:
            self._waiters.remove(waiter)
            if timer.active():
                timer.cancel()


def _wake(reported: Deferred[None]) -> None:
    if not reported.called:
        reported.callback(None)
