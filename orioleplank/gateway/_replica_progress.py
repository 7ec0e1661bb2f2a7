"""What this proxy knows of the log positions of replicas, and the reads that wait for one."""

from __future__ import annotations

from typing import Any

from msgspec import Struct
from twisted.internet.defer import Deferred

from orioleplank.decision import ZERO_POSITION, Position
from orioleplank.decision.routing import ReplicaReports
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._pool import InstancePool


class _Waiter(Struct, eq=False):
    """A read that waits until a replica has a position."""

    position: Position
    # Fires when a replica of the service is reported to have the position.
    reported: Deferred[None]


class ReplicaProgress:
    """Records the positions in replies, and wakes the reads that wait for them."""

    def __init__(self, cluster_state: ClusterState, reactor: Any) -> None:
        self._cluster_state = cluster_state
        self._reactor = reactor
        # Reads that wait, by service of the replica.
        self._waiters: dict[str, set[_Waiter]] = {}
        # Highest position that a replica reported, by service.
        self._highest: dict[str, Position] = {}

    def record(self, pool: InstancePool, position: Position | None) -> None:
        """Record the position in a reply that has just arrived, if it states one.

        A reply to a statement that this proxy runs for another one comes from a second pool of the
        instance; it counts for the instance as well.
        """
        if position is None:
            return
        service = pool.entry.service
        history = self._cluster_state.positions.known_history(service, position.term)
        self._reports_of(pool).add(self._cluster_state.lease_clock(), position, history)
        lease = self._cluster_state.lease(service)
        if lease is None or lease.primary != pool.entry.id:
            self._wake_waiters(service, position)

    def _wake_waiters(self, service: str, position: Position) -> None:
        """Wake the reads for a position that a replica has reported for the first time.

        Most replies report a known position and cost nothing here, however many reads wait.
        """
        if position <= self._highest.get(service, ZERO_POSITION):
            return
        self._highest[service] = position
        for waiter in tuple(self._waiters.get(service, ())):
            if waiter.position <= position and not waiter.reported.called:
                waiter.reported.callback(None)

    def _reports_of(self, pool: InstancePool) -> ReplicaReports:
        known = self._cluster_state.pools.get(pool.entry.id)
        return known.reports if known is not None and known.entry == pool.entry else pool.reports

    def expected_at(self, pool: InstancePool, position: Position) -> float | None:
        """Return when an instance will have a position, in seconds of the lease clock, or None."""
        service = pool.entry.service
        history = self._cluster_state.positions.known_history(service, position.term)
        return pool.reports.expected_at(position, history, self._cluster_state.lease_clock())

    async def wait(self, service: str, position: Position, seconds: float) -> None:
        """Return after `seconds`, or as soon as a replica is reported to have the position."""
        waiter = _Waiter(position, Deferred())
        waiters = self._waiters.setdefault(service, set())
        waiters.add(waiter)
        timer = self._reactor.callLater(max(0.0, seconds), _wake, waiter.reported)
        try:
            await waiter.reported
        finally:
            waiters.discard(waiter)
            if timer.active():
                timer.cancel()


def _wake(reported: Deferred[None]) -> None:
    if not reported.called:
        reported.callback(None)
