"""Probes of instances, and queries to other proxies whether they reach an instance."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count
from typing import Any

from msgspec import Struct, field
from msgspec.structs import replace
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank.decision.failover import InstanceReport, WorkStatus
from orioleplank.decision.instances import InstanceEntry, InstanceState
from orioleplank.decision.membership import PeerMessage, ProxyRecord, ReachAsked, ReachTold
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._connection_request import ConnectionRequest
from orioleplank.gateway._interfaces import (
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
)
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._pool import InstancePool

# Timeout of an instance's report: several round trips between regions.
REPORT_TIMEOUT_S = 0.5
# Time for the responses of other proxies, and how often the request is sent within it.
REACHABILITY_TIMEOUT_S = 0.2
REACHABILITY_ROUNDS = 2
# A proxy that is asked about an instance probes it if the instance has not responded for this long;
# the response to the next round includes the result.
PROBE_ON_QUERY_AFTER_S = 0.3

PROBE_ERRORS = (
    InstanceUnreachableError,
    InstanceRefusedError,
    TwistedTimeoutError,
    CancelledError,
)


class _ReachabilityQuery(Struct):
    """A query to other proxies that is in progress."""

    # Seconds since each proxy's latest response from the instance, by proxy; infinite when its
    # later attempts have failed.
    ages: dict[str, float] = field(default_factory=dict)
    # How the instance's work for each proxy has ended, by proxy.
    work: dict[str, WorkStatus] = field(default_factory=dict)


class InstanceProber:
    """Probes instances on pooled connections, and asks other proxies whether they reach one."""

    def __init__(self, reactor: Any, cluster_state: ClusterState, own_name: str) -> None:
        self._reactor = reactor
        self._cluster_state = cluster_state
        self._own_name = own_name
        self._query_numbers = count(1)
        self._queries: dict[int, _ReachabilityQuery] = {}
        self.socket: PeerSocket | None = None

    # Instances.

    async def probe(self, pool: InstancePool) -> InstanceReport | None:
        """Request an instance's report on a pooled connection.

        Returns None when the instance is unreachable, does not respond in time or refuses. The
        outcome is recorded in the pool.
        """
        try:
            acquisition = pool.acquire(ConnectionRequest(REPORT_TIMEOUT_S, is_probe=True))
            connection = await acquisition.addTimeout(REPORT_TIMEOUT_S, self._reactor)
        except PROBE_ERRORS as error:
            if isinstance(error, TwistedTimeoutError | CancelledError):
                pool.record_failure()
            return None
        try:
            report = await connection.link.fetch_report().addTimeout(
                REPORT_TIMEOUT_S, self._reactor
            )
        except InstanceRefusedError:
            pool.record_reply()
            pool.release(connection)
            return None
        except PROBE_ERRORS:
            pool.record_failure()
            pool.discard(connection)
            return None
        pool.record_reply()
        pool.release(connection)
        return replace(report, address=pool.entry.address)

    async def collect_reports(
        self, entries: Iterable[InstanceEntry], unawaited: str = ""
    ) -> tuple[InstanceReport, ...]:
        """Probe several instances concurrently; those that give no report are left out.

        The instance `unawaited`, which has probably failed, is left out too unless it reports
        before all others have finished.
        """
        probes = {entry.id: Deferred.fromCoroutine(self._report(entry)) for entry in entries}
        late_probe = probes.pop(unawaited, None)
        reports = [await deferred for deferred in probes.values()]
        if late_probe is not None and (late_probe.called or not probes):
            reports.append(await late_probe)
        return tuple(report for report in reports if report is not None)

    async def _report(self, entry: InstanceEntry) -> InstanceReport | None:
        pool = self._cluster_state.pools.get(entry.id)
        report = await self.probe(pool) if pool is not None else None
        if report is None:
            return None
        # An instance that fails its work is promoted only if no other one can be.
        is_draining = entry.state is InstanceState.DRAINING
        is_avoided = is_draining or (pool is not None and pool.work_status.failing_for > 0)
        return replace(report, draining=is_avoided)

    async def step_down(self, pool: InstancePool, term: int) -> bool:
        """Request that an old primary becomes a replica.

        Returns False when no connection was available, no reply arrived, or the reply contains a
        failure.
        """
        try:
            acquisition = pool.acquire(ConnectionRequest(REPORT_TIMEOUT_S, is_probe=True))
            connection = await acquisition.addTimeout(REPORT_TIMEOUT_S, self._reactor)
        except PROBE_ERRORS:
            return False
        link: InstanceLink = connection.link
        try:
            reply = await link.step_down(term).addTimeout(REPORT_TIMEOUT_S, self._reactor)
        except PROBE_ERRORS:
            pool.discard(connection)
            return False
        pool.release(connection)
        return reply.failure is None

    # Other proxies.

    async def query_peer_reachability(
        self, instance: str, peers: Iterable[ProxyRecord]
    ) -> dict[str, float]:
        """Return the seconds since each peer's latest response from an instance, by peer.

        The value is infinite for a peer whose later attempts have failed; peers that do not
        respond are left out.
        """
        return (await self._query_peers(instance, peers)).ages

    async def query_peer_work(
        self, instance: str, peers: Iterable[ProxyRecord]
    ) -> dict[str, WorkStatus]:
        """Return how an instance's work for each peer has ended, by peer.

        Peers that do not respond are left out.
        """
        return (await self._query_peers(instance, peers)).work

    async def _query_peers(self, instance: str, peers: Iterable[ProxyRecord]) -> _ReachabilityQuery:
        number, query = next(self._query_numbers), _ReachabilityQuery()
        self._queries[number] = query
        request = ReachAsked(self._own_name, number, instance)
        others = [peer for peer in peers if peer.name != self._own_name]
        for _ in range(REACHABILITY_ROUNDS):
            for peer in others:
                if self.socket is not None:
                    self.socket.send(peer.address, request)
            await sleep(self._reactor, REACHABILITY_TIMEOUT_S / REACHABILITY_ROUNDS)
        del self._queries[number]
        return query

    def handle_message(self, message: PeerMessage) -> None:
        """Answer a peer's query, or record its response; ignore other messages."""
        match message:
            case ReachAsked(sender, number, instance):
                self._answer_query(sender, number, instance)
            case ReachTold(sender, number, age, failures, work_failing_for, work_succeeds):
                query = self._queries.get(number)
                if query is not None:
                    query.ages[sender] = age if failures == 0 else float("inf")
                    query.work[sender] = WorkStatus(work_failing_for, work_succeeds)

    def _answer_query(self, sender: str, number: int, instance: str) -> None:
        peer = self._cluster_state.fleet.proxies.get(sender)
        pool = self._cluster_state.own_connection_pool(instance)
        if peer is None or self.socket is None or pool is None:
            return
        age = self._cluster_state.now() - pool.last_reply_at
        if age >= PROBE_ON_QUERY_AFTER_S:
            Deferred.fromCoroutine(self.probe(pool))
        work = pool.work_status
        response = ReachTold(
            self._own_name,
            number,
            age,
            pool.consecutive_failures,
            work.failing_for,
            work.succeeds,
        )
        self.socket.send(peer.address, response)
