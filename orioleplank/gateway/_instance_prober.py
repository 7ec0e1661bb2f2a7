"""Asks instances for their state, and other proxies whether they reach an instance."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.instances import InstanceEntry, InstanceState
from orioleplank.decision.membership import PeerMessage, ProxyRecord, ReachAsked, ReachTold
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._interfaces import (
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
)
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._pool import InstancePool

# Time for an instance's report, in seconds: several round trips between regions.
REPORT_LIMIT_S = 0.5
# Time for other proxies' words, in seconds, and how often they are asked in it.
REACH_LIMIT_S = 0.2
REACH_ROUNDS = 2
# A proxy that is asked about an instance looks itself if it has heard nothing of it for this long,
# in seconds; the next round has what it found.
LOOK_SELF_S = 0.3

UNREACHED = (
    InstanceUnreachableError,
    InstanceRefusedError,
    TwistedTimeoutError,
    CancelledError,
)


@dataclass(slots=True)
class _Question:
    """A question to other proxies."""

    # Seconds since each proxy's last answer from the instance, by the proxies' names.
    ages: dict[str, float] = field(default_factory=dict)


class InstanceProber:
    """Looks at instances, directly and through other proxies."""

    def __init__(self, reactor: Any, beliefs: ClusterState, me: str) -> None:
        self._reactor = reactor
        self._beliefs = beliefs
        self._me = me
        self._numbers = count(1)
        self._questions: dict[int, _Question] = {}
        self.socket: PeerSocket | None = None

    # Instances.

    async def probe(self, pool: InstancePool) -> InstanceReport | None:
        """Ask an instance for its state on a pooled connection; None when it does not tell."""
        try:
            waiting = pool.acquire({}, 0, 0, REPORT_LIMIT_S, is_probe=True)
            connection = await waiting.addTimeout(REPORT_LIMIT_S, self._reactor)
        except UNREACHED as error:
            if isinstance(error, TwistedTimeoutError | CancelledError):
                pool.record_failure()
            return None
        try:
            report = await connection.link.fetch_report().addTimeout(REPORT_LIMIT_S, self._reactor)
        except InstanceRefusedError:
            pool.record_reply()
            pool.release(connection)
            return None
        except UNREACHED:
            pool.record_failure()
            pool.discard(connection)
            return None
        pool.record_reply()
        pool.release(connection)
        return report

    async def collect_reports(self, entries: Iterable[InstanceEntry]) -> tuple[InstanceReport, ...]:
        """Ask several instances at once; those that do not tell are left out."""
        asked = [Deferred.fromCoroutine(self._report(entry)) for entry in entries]
        reports = [await deferred for deferred in asked]
        return tuple(report for report in reports if report is not None)

    async def _report(self, entry: InstanceEntry) -> InstanceReport | None:
        pool = self._beliefs.pools.get(entry.id)
        report = await self.probe(pool) if pool is not None else None
        if report is None:
            return None
        draining = entry.state is InstanceState.DRAINING
        return InstanceReport(
            report.id,
            report.role,
            report.term,
            report.received_position,
            draining,
            report.running_statements,
        )

    async def step_down(self, pool: InstancePool, term: int) -> bool:
        """Make an old primary a replica; False when it is not reached."""
        try:
            waiting = pool.acquire({}, 0, 0, REPORT_LIMIT_S, is_probe=True)
            connection = await waiting.addTimeout(REPORT_LIMIT_S, self._reactor)
        except UNREACHED:
            return False
        link: InstanceLink = connection.link
        try:
            await link.step_down(term).addTimeout(REPORT_LIMIT_S, self._reactor)
        except UNREACHED:
            pool.discard(connection)
            return False
        pool.release(connection)
        return True

    # Other proxies.

    async def query_peer_reachability(
        self, instance: str, peers: Iterable[ProxyRecord]
    ) -> dict[str, float]:
        """Return the seconds since each peer's last answer from an instance, by its name.

        They are infinite for a peer whose tries have failed since.
        """
        number, question = next(self._numbers), _Question()
        self._questions[number] = question
        asked = ReachAsked(self._me, number, instance)
        others = [peer for peer in peers if peer.name != self._me]
        for _ in range(REACH_ROUNDS):
            for peer in others:
                if self.socket is not None:
                    self.socket.send(peer.address, asked)
            await sleep(self._reactor, REACH_LIMIT_S / REACH_ROUNDS)
        del self._questions[number]
        return question.ages

    def handle_message(self, message: PeerMessage) -> None:
        """Answer a peer's question, or take its answer."""
        match message:
            case ReachAsked(sender, number, instance):
                self._tell_reach(sender, number, instance)
            case ReachTold(sender, number, age, failures):
                question = self._questions.get(number)
                if question is not None:
                    question.ages[sender] = age if failures == 0 else float("inf")

    def _tell_reach(self, sender: str, number: int, instance: str) -> None:
        peer = self._beliefs.fleet.proxies.get(sender)
        pool = self._beliefs.direct_pool(instance)
        if peer is None or self.socket is None or pool is None:
            return
        age = self._beliefs.now() - pool.last_reply_at
        if age >= LOOK_SELF_S:
            Deferred.fromCoroutine(self.probe(pool))
        self.socket.send(peer.address, ReachTold(self._me, number, age, pool.consecutive_failures))
