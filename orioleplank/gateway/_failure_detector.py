"""Notices proxies that have died without a word, so that nobody waits for their leases later.

Each proxy watches the next ones in a ring (after SWIM: Das, Gupta and Motivala, 2002). One that
answers neither directly nor through others is retired in the store: it gets no lease any more until
it registers anew, so whoever moves a primary waits only from that moment on. It is removed once its
leases are over.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from orioleplank.decision.group import CLOCK_DRIFT_MARGIN_S, LEASE_DURATION_S
from orioleplank.decision.membership import (
    PeerMessage,
    Ping,
    PingAsked,
    Pong,
    ProxyRecord,
    choose_ping_targets,
    rank_proxies,
)
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._interfaces import (
    RecordCollection,
    StoreConflictError,
    StoreUnavailableError,
)
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.gateway._records import dump_proxy_record, proxy_record_name

# Seconds between questions to a proxy.
PING_INTERVAL_S = 0.5
# Questions without an answer after which others are asked, and after which it is retired.
ASK_OTHERS_AFTER = 2
RETIRE_AFTER = 4
# Others that are asked.
OTHERS = 3
# Without any proxy's word for so many questions this proxy is alone, and judges nobody.
ALONE_AFTER = 2


class FailureDetector:
    """Watches other proxies."""

    def __init__(
        self,
        beliefs: ClusterState,
        records: RecordCollection,
        journal: EventLog,
        me: ProxyRecord,
        find_revision: Callable[[str], int | None],
        random: Random,
    ) -> None:
        self._beliefs = beliefs
        self._records = records
        self._journal = journal
        self._me = me
        self._find_revision = find_revision
        self._random = random
        # Questions without an answer, by run.
        self._missed: dict[str, int] = {}
        # Questions since any proxy was heard.
        self._alone_for = 0
        self._is_writing = False
        self.socket: PeerSocket | None = None

    def handle_message(self, message: PeerMessage) -> None:
        """Answer a question, or take an answer."""
        match message:
            case Ping(sender, asker):
                self._heard(sender)
                self._send(asker, Pong(self._me.name, self._me.incarnation))
            case PingAsked(sender, target):
                self._heard(sender)
                self._send(target, Ping(self._me.name, sender))
            case Pong(sender, incarnation):
                self._heard(sender)
                self._missed.pop(incarnation, None)

    async def check_peers(self) -> None:
        """Ask once; retire and remove those that are dead."""
        fleet = self._beliefs.fleet
        active = fleet.active()
        watched = [fleet.proxies[name] for name in choose_ping_targets(self._me, fleet)]
        self._alone_for += 1
        self._missed = {r.incarnation: self._missed.get(r.incarnation, 0) + 1 for r in watched}
        for record in watched:
            self._ask(record, active)
        silent = [r for r in watched if self._missed[r.incarnation] > RETIRE_AFTER]
        if self._is_writing or (silent and self._is_alone(len(active))):
            return
        self._is_writing = True
        try:
            for record in silent:
                await self._retire(record)
            await self._remove_lapsed()
        except (StoreUnavailableError, StoreConflictError) as error:
            self._journal.log_event(EventType.FLEET, outcome="not retired", why=str(error))
        finally:
            self._is_writing = False

    def _ask(self, record: ProxyRecord, active: Sequence[ProxyRecord]) -> None:
        self._send(record.name, Ping(self._me.name, self._me.name))
        if self._missed[record.incarnation] <= ASK_OTHERS_AFTER:
            return
        others = [o for o in active if o.name not in (self._me.name, record.name)]
        for other in self._random.sample(others, min(OTHERS, len(others))):
            self._send(other.name, PingAsked(self._me.name, record.name))

    def _is_alone(self, active: int) -> bool:
        """Tell whether this proxy hears nobody although there are others."""
        return active > 2 and self._alone_for > ALONE_AFTER

    async def _retire(self, record: ProxyRecord) -> None:
        revision = self._find_revision(record.name)
        if revision is None:
            return
        content = {**dump_proxy_record(record), "retired": True}
        await self._records.replace(proxy_record_name(record.name), content, revision)
        self._journal.log_event(
            EventType.FLEET, outcome="retired", peer=record.name, incarnation=record.incarnation
        )

    async def _remove_lapsed(self) -> None:
        """Remove retired proxies whose leases are over."""
        fleet, retired_at = self._beliefs.fleet, self._beliefs.retired_at
        if not retired_at:
            return
        names = [record.name for record in fleet.active()]
        for record in fleet.proxies.values():
            since = retired_at.get(record.incarnation)
            if not record.retired or since is None:
                continue
            over = since + LEASE_DURATION_S + 2 * CLOCK_DRIFT_MARGIN_S
            mine = rank_proxies(record.name, {*names, self._me.name})[0] == self._me.name
            revision = self._find_revision(record.name)
            if mine and revision is not None and self._beliefs.lease_clock() >= over:
                await self._records.remove(proxy_record_name(record.name), revision)

    def _heard(self, sender: str) -> None:
        self._alone_for = 0

    def _send(self, name: str, message: PeerMessage) -> None:
        record = self._beliefs.fleet.proxies.get(name)
        if record is not None and self.socket is not None:
            self.socket.send(record.address, message)
