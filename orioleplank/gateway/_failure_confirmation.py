"""Confirmation by other proxies that a primary has failed, or fails its work."""

from __future__ import annotations

from orioleplank.decision.failover import (
    WorkStatus,
    choose_confirming_peers,
    is_work_failure_confirmed,
)
from orioleplank.decision.group import GroupRecord
from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._tunnel import build_tunnel_route

# A response that a peer has received within this time, in seconds, shows that the primary is
# running.
RECENT_RESPONSE_S = 1.0
# While no peer responds, a proxy relies on its own observation only after failures for this
# long, in seconds. `UNCONFIRMED_WORK_FAILURE_S` is the same for failing work.
UNCONFIRMED_FAILURE_S = 3.0


class FailureConfirmation:
    """Asks other proxies about a primary that this proxy finds failing."""

    def __init__(
        self,
        cluster_state: ClusterState,
        event_log: EventLog,
        prober: InstanceProber,
        own_record: ProxyRecord,
    ) -> None:
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._prober = prober
        self._own_record = own_record
        # Since when no peer has answered a query about a primary, by service, in seconds of the
        # monotonic clock.
        self._peers_silent_since: dict[str, float] = {}

    # Primaries that fail their work.

    async def is_work_failure_confirmed(self, record: GroupRecord, reason: str) -> bool:
        """Return whether the primary also fails the work of other proxies.

        Those that send it work on connections of their own are asked.
        """
        pool = self._cluster_state.pools.get(record.primary)
        own = pool.work_status if pool else WorkStatus()
        peers = self._find_judging_peers(record.primary)
        work = await self._prober.query_peer_work(record.primary, peers)
        is_confirmed = is_work_failure_confirmed(own, work.values())
        self._event_log.log_event(
            EventType.SUSPICION,
            service=record.service,
            primary=record.primary,
            why=reason,
            peers={name: round(status.failing_for, 2) for name, status in work.items()},
            outcome="fails its work" if is_confirmed else "not confirmed",
        )
        return is_confirmed

    def _find_judging_peers(self, primary: str) -> tuple[ProxyRecord, ...]:
        """Return the other proxies that send work to a primary on connections of their own."""
        fleet = self._cluster_state.fleet
        owners = self._cluster_state.connection_owners(primary)
        if not owners:
            return choose_confirming_peers(primary, self._own_record, fleet.active())
        known = (fleet.proxies.get(name) for name in owners if name != self._own_record.name)
        return tuple(record for record in known if record is not None)

    # Primaries that do not respond.

    async def is_failure_confirmed(self, record: GroupRecord, reason: str) -> bool:
        """Return whether no other proxy has reached the primary lately either.

        If there are peers and none of them responds, this is False until this proxy's own failures
        have lasted for `UNCONFIRMED_FAILURE_S`.
        """
        peers = choose_confirming_peers(
            record.primary, self._own_record, self._cluster_state.fleet.active()
        )
        ages = await self._prober.query_peer_reachability(record.primary, peers)
        is_isolated = self._is_isolated(record, bool(peers) and not ages)
        is_failed = not is_isolated and all(age > RECENT_RESPONSE_S for age in ages.values())
        self._event_log.log_event(
            EventType.SUSPICION,
            service=record.service,
            primary=record.primary,
            why=reason,
            peers=ages,
            outcome="dead" if is_failed else "not confirmed",
        )
        self._use_tunnel_through_peer(record.primary, ages)
        return is_failed

    def _is_isolated(self, record: GroupRecord, is_unanswered: bool) -> bool:
        """Return whether this proxy itself may be cut off, because no peer has responded.

        After `UNCONFIRMED_FAILURE_S` without responses of peers, or with failures of the primary,
        it relies on its own observation.
        """
        if not is_unanswered:
            self._peers_silent_since.pop(record.service, None)
            return False
        now = self._cluster_state.now()
        silent_for = now - self._peers_silent_since.setdefault(record.service, now)
        pool = self._cluster_state.pools.get(record.primary)
        failing_for = pool.failing_for if pool else 0.0
        return max(silent_for, failing_for) < UNCONFIRMED_FAILURE_S

    def _use_tunnel_through_peer(self, instance: str, ages: dict[str, float]) -> None:
        """Use a tunnel to an instance through the peer that received its latest response."""
        if not self._cluster_state.mechanisms.is_on(Mechanism.TUNNELS):
            return
        recent_ages = {name: age for name, age in ages.items() if age <= RECENT_RESPONSE_S}
        if not recent_ages:
            return
        nearest = min(recent_ages, key=lambda name: recent_ages[name])
        peer = self._cluster_state.fleet.proxies.get(nearest)
        if peer is not None:
            self._cluster_state.use_tunnel(instance, build_tunnel_route(peer, instance), nearest)
