"""Failure detector for other proxies, so that failovers need not wait for leases of failed ones.

Each proxy pings its successors in a ring (after SWIM: Das, Gupta and Motivala, 2002). One that
responds neither to direct nor to indirect probes is retired in the store: it is granted no lease
until it registers again, so a failover waits for its leases only from that time on. Its record is
removed once its leases have expired.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from orioleplank.decision.group import CLOCK_DRIFT_MARGIN_S, LEASE_DURATION_S
from orioleplank.decision.mechanisms import Mechanism
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

# Interval of the pings to a proxy.
PING_INTERVAL_S = 0.5
# Number of unanswered pings from which on the next ping is accompanied by indirect probes, and from
# which on the next check retires the proxy.
INDIRECT_PROBE_AFTER_PINGS = 2
RETIRE_AFTER_PINGS = 4
# Number of proxies that are asked for an indirect probe.
INDIRECT_PROBERS = 3
# After more than this many checks without a message from any proxy this one considers itself
# isolated, and retires no other proxy.
ISOLATED_AFTER_CHECKS = 2


class FailureDetector:
    """Pings other proxies, and retires and removes the records of failed ones.

    While this proxy is isolated it retires none, because the fault is probably its own.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        records: RecordCollection,
        event_log: EventLog,
        own_record: ProxyRecord,
        find_revision: Callable[[str], int | None],
        random: Random,
    ) -> None:
        self._cluster_state = cluster_state
        self._records = records
        self._event_log = event_log
        self._own_record = own_record
        self._find_revision = find_revision
        self._random = random
        # Pings since the last answer, including the one that is being sent, by incarnation.
        self._unanswered: dict[str, int] = {}
        # Checks since the last message from any proxy.
        self._checks_without_message = 0
        self._is_writing = False
        self.socket: PeerSocket | None = None

    def handle_message(self, message: PeerMessage) -> None:
        """Answer a ping, send a requested indirect probe, or record a pong."""
        match message:
            case Ping(sender, requester, _):
                self._record_message(sender)
                self._send(requester, Pong(self._own_record.name, self._own_record.incarnation))
            case PingAsked(sender, target):
                self._record_message(sender)
                self._send(target, Ping(self._own_record.name, sender))
            case Pong(sender, incarnation):
                self._record_message(sender)
                self._unanswered.pop(incarnation, None)

    async def check_peers(self) -> None:
        """Ping the watched proxies once; retire failed ones.

        Retired proxies whose leases have expired are removed.
        """
        fleet = self._cluster_state.fleet
        active = fleet.active()
        watched = [fleet.proxies[name] for name in choose_ping_targets(self._own_record, fleet)]
        self._checks_without_message += 1
        self._unanswered = {
            record.incarnation: self._unanswered.get(record.incarnation, 0) + 1
            for record in watched
        }
        for record in watched:
            self._ping(record, active)
        failed = [
            record
            for record in watched
            if self._unanswered[record.incarnation] > RETIRE_AFTER_PINGS
        ]
        if self._is_writing or (failed and self._is_isolated(len(active))):
            return
        self._is_writing = True
        try:
            for record in failed:
                await self._retire(record)
            await self._remove_expired()
        except (StoreUnavailableError, StoreConflictError) as error:
            self._event_log.log_event(EventType.FLEET, outcome="not retired", why=str(error))
        finally:
            self._is_writing = False

    def _ping(self, record: ProxyRecord, active: Sequence[ProxyRecord]) -> None:
        routes = self._cluster_state.routes.version
        self._send(record.name, Ping(self._own_record.name, self._own_record.name, routes))
        if self._unanswered[record.incarnation] <= INDIRECT_PROBE_AFTER_PINGS:
            return
        if not self._cluster_state.mechanisms.is_on(Mechanism.INDIRECT_PINGS):
            return
        others = [
            other for other in active if other.name not in (self._own_record.name, record.name)
        ]
        for other in self._random.sample(others, min(INDIRECT_PROBERS, len(others))):
            self._send(other.name, PingAsked(self._own_record.name, record.name))

    def _is_isolated(self, active: int) -> bool:
        """Return whether this proxy receives no messages although several others are active.

        Always False with at most two active proxies: the failure of the only other one leaves this
        proxy without messages too.
        """
        return active > 2 and self._checks_without_message > ISOLATED_AFTER_CHECKS

    async def _retire(self, record: ProxyRecord) -> None:
        revision = self._find_revision(record.name)
        if revision is None:
            return
        content = {**dump_proxy_record(record), "retired": True}
        await self._records.replace(proxy_record_name(record.name), content, revision)
        self._event_log.log_event(
            EventType.FLEET, outcome="retired", peer=record.name, incarnation=record.incarnation
        )

    async def _remove_expired(self) -> None:
        """Remove the records of retired proxies whose leases have expired."""
        fleet, retired_at = self._cluster_state.fleet, self._cluster_state.retired_at
        if not retired_at:
            return
        names = [record.name for record in fleet.active()]
        for record in fleet.proxies.values():
            retirement_time = retired_at.get(record.incarnation)
            if not record.retired or retirement_time is None:
                continue
            # One margin more than a failover allows for leases to expire.
            expired_at = retirement_time + LEASE_DURATION_S + 2 * CLOCK_DRIFT_MARGIN_S
            is_responsible = (
                rank_proxies(record.name, {*names, self._own_record.name})[0]
                == self._own_record.name
            )
            revision = self._find_revision(record.name)
            if (
                is_responsible
                and revision is not None
                and self._cluster_state.lease_clock() >= expired_at
            ):
                await self._records.remove(proxy_record_name(record.name), revision)

    def _record_message(self, sender: str) -> None:
        self._checks_without_message = 0

    def _send(self, name: str, message: PeerMessage) -> None:
        record = self._cluster_state.fleet.proxies.get(name)
        if record is not None and self.socket is not None:
            self.socket.send(record.address, message)
