"""Watches all primaries, and has those moved that are dead or leave."""

from __future__ import annotations

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.failover import (
    PrimaryHealth,
    PrimaryHealthy,
    PrimaryLeaving,
    PrimarySuspected,
    assess_primary,
    choose_confirming_peers,
)
from orioleplank.decision.group import GroupPhase, GroupRecord, VersionedGroupRecord
from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.membership import Fleet, ProxyRecord, rank_proxies
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._failover import RETRY_DELAY_S, FailoverCoordinator
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._tunnel import build_tunnel_route

# Seconds between looks at each primary.
PRIMARY_CHECK_INTERVAL_S = 0.25
# A proxy acts this much later than the one ranked before it, in seconds.
RANK_DELAY_S = 0.4
# A primary that has not answered for this long is asked for its state, in seconds.
QUIET_S = 1.5
# An instance that owes answers and has given none for this long is asked too, in seconds: longer
# than most statements take.
OVERDUE_S = 0.4
# Pause before an instance is asked again, in seconds: a failure may be found without any delay.
PROBE_AGAIN_S = 0.1
# Proxies that look after a primary while it is idle.
GUARDS = 2
# An answer that a peer has had within this time shows that the primary lives, in seconds.
ALIVE_S = 1.0
# Without any peer's word a proxy waits this long before it trusts its own view, in seconds.
ALONE_S = 3.0
# A move whose record has not changed for this long is taken over, in seconds: its holder writes
# the record at least every `REFRESH_S`, orders nothing after `ORDER_WINDOW_S`, and cuts an order
# that is not answered a second later.
TAKE_OVER_S = 4.0


@dataclass(frozen=True, slots=True)
class _Standing:
    """A verdict and since when it stands."""

    # Kind of the verdict.
    kind: type[object]
    # Since when, in seconds.
    since: float


@dataclass(frozen=True, slots=True)
class _Rank:
    """This proxy's place for one service, and what it follows from."""

    # The proxies.
    fleet: Fleet
    # Owners of the connections to its primary.
    owners: tuple[str, ...]
    # The place; 0 acts first.
    rank: int


class PrimaryMonitor:
    """Watches all primaries."""

    def __init__(
        self,
        reactor: Any,
        beliefs: ClusterState,
        journal: EventLog,
        inspection: InstanceProber,
        moves: FailoverCoordinator,
        me: ProxyRecord,
    ) -> None:
        self._reactor = reactor
        self._beliefs = beliefs
        self._journal = journal
        self._inspection = inspection
        self._moves = moves
        self._me = me
        self._standing: dict[str, _Standing] = {}
        self._seen_moving: dict[str, tuple[int, float]] = {}
        self._busy: set[str] = set()
        self._probing: set[str] = set()
        # When each instance was asked last, in seconds.
        self._probed_at: dict[str, float] = {}
        self._ranks: dict[str, _Rank] = {}

    # Watching.

    def check_primaries(self) -> None:
        """Look at every service once."""
        if self._moves.is_stopped or not self._beliefs.leases.listing_requested_at > float("-inf"):
            return
        self._probed_at = {n: at for n, at in self._probed_at.items() if n in self._beliefs.pools}
        for instance in self._beliefs.pools:
            self._probe_if_quiet(instance)
        for service in self._beliefs.routes.services:
            if service not in self._busy:
                self._look_at(service)

    def _look_at(self, service: str) -> None:
        seen = self._beliefs.leases.group_records.get(service)
        if seen is None:
            if self._may_act(service, "absent"):
                self._start(service, self._moves.create_group_record(service))
            return
        if seen.record.phase is GroupPhase.MOVING:
            self._look_at_move(service, seen)
            return
        self._seen_moving.pop(service, None)
        match assess_primary(self._find_evidence(seen.record)):
            case PrimaryHealthy():
                self._standing.pop(service, None)
            case PrimarySuspected() if self._hears_from_owners(seen.record.primary):
                pass
            case PrimarySuspected(why) as verdict:
                acts = self._may_act(service, verdict)
                self._begin(service, self._inquire(service, seen, why, acts))
            case PrimaryLeaving() as verdict if self._may_act(service, verdict):
                self._start(service, self._moves.switch_over(service, seen))
            case verdict if self._may_act(service, verdict):
                self._start(service, self._moves.fail_over(service, seen, planned=False))

    def _look_at_move(self, service: str, seen: VersionedGroupRecord) -> None:
        """Take over a move whose holder has gone silent."""
        now = self._beliefs.now()
        revision, since = self._seen_moving.get(service, (0, now))
        if revision != seen.revision:
            self._seen_moving[service] = (seen.revision, now)
            return
        patience = 0.0 if self._has_holder_ended(seen.record) else TAKE_OVER_S
        delay = patience + self._rank(service) * RANK_DELAY_S
        if now - since >= delay:
            self._start(service, self._moves.fail_over(service, seen, seen.record.planned))

    def _has_holder_ended(self, record: GroupRecord) -> bool:
        """Tell whether the run that holds a move has ended for sure."""
        if record.holder == self._me.name:
            return True
        holder = self._beliefs.fleet.proxies.get(record.holder)
        return holder is not None and holder.incarnation != record.incarnation

    def _may_act(self, service: str, verdict: object) -> bool:
        """Tell whether a verdict has stood for long enough for this proxy's rank."""
        now, kind = self._beliefs.now(), type(verdict)
        standing = self._standing.get(service)
        if standing is None or standing.kind is not kind:
            standing = _Standing(kind, now)
            self._standing[service] = standing
        return now - standing.since >= self._rank(service) * RANK_DELAY_S

    def _rank(self, service: str) -> int:
        """Return this proxy's place among those who may act for a service; owners come first."""
        seen, fleet = self._beliefs.leases.group_records.get(service), self._beliefs.fleet
        owners = self._beliefs.connection_owners(seen.record.primary) if seen else ()
        known = self._ranks.get(service)
        if known is not None and known.fleet is fleet and known.owners == owners:
            return known.rank
        names = {record.name for record in fleet.active()} | {self._me.name}
        ranked = owners + tuple(n for n in rank_proxies(service, names) if n not in owners)
        rank = ranked.index(self._me.name)
        self._ranks[service] = _Rank(fleet, owners, rank)
        return rank

    def _hears_from_owners(self, primary: str) -> bool:
        """Tell whether others hold the connections to a primary, and look after it."""
        owners = self._beliefs.connection_owners(primary)
        return bool(owners) and self._me.name not in owners

    def _find_evidence(self, record: GroupRecord) -> PrimaryHealth:
        known = self._beliefs.directory.instances.get(record.primary)
        pool = self._beliefs.pools.get(record.primary)
        return PrimaryHealth(
            is_listed=known is not None,
            is_leaving=known is not None and known.is_leaving(self._beliefs.now()),
            failing_for=pool.failing_for if pool else 0.0,
            failures=pool.consecutive_failures if pool else 0,
            denies_primary_role=pool is not None and pool.denies_primary_role,
        )

    def _probe_if_quiet(self, instance: str) -> None:
        """Ask an instance that fails, or whose answers are overdue; a primary also when idle."""
        pool, now = self._beliefs.pools[instance], self._beliefs.now()
        since = now - self._probed_at.get(instance, float("-inf"))
        if instance in self._probing or since < PROBE_AGAIN_S:
            return
        quiet = now - pool.last_reply_at
        is_overdue = pool.in_flight > 0 and quiet >= OVERDUE_S
        if (
            pool.consecutive_failures
            or is_overdue
            or (quiet >= QUIET_S and self._guards(pool.entry))
        ):
            self._probing.add(instance)
            self._probed_at[instance] = now
            probe = Deferred.fromCoroutine(self._inspection.probe(pool))

            def forget(result: object) -> object:
                self._probing.discard(instance)
                return result

            probe.addBoth(forget).addErrback(self._fail)

    # Work on one service.

    def _guards(self, entry: InstanceEntry) -> bool:
        """Tell whether this proxy is one of those that look after an idle primary."""
        lease = self._beliefs.lease(entry.service)
        is_primary = lease is not None and lease.primary == entry.id
        return is_primary and self._rank(entry.service) < GUARDS

    def _start(self, service: str, work: Coroutine[Any, Any, None]) -> None:
        self._standing.pop(service, None)
        self._begin(service, work)

    def _begin(self, service: str, work: Coroutine[Any, Any, None]) -> None:
        self._busy.add(service)

        def end(_: object) -> None:
            self._busy.discard(service)

        Deferred.fromCoroutine(work).addErrback(self._fail).addBoth(end)

    def _fail(self, failure: Any) -> None:
        if isinstance(failure.value, OrioleplankError):
            self._journal.log_event(EventType.MOVE, outcome="given up", why=str(failure.value))
            return
        self._journal.log_event(EventType.ERROR, step="move primary", detail=failure.getTraceback())

    async def _inquire(
        self, service: str, seen: VersionedGroupRecord, why: str, acts: bool
    ) -> None:
        """Ask the other proxies about a primary that does not answer here.

        One that reaches it becomes the way to it. Otherwise it is replaced, if this proxy `acts`.
        """
        is_dead = await self._is_dead_for_all(seen.record, why)
        if is_dead and acts:
            self._standing.pop(service, None)
            await self._moves.fail_over(service, seen, planned=False)
            return
        if not is_dead:
            self._standing.pop(service, None)
        await sleep(self._reactor, RETRY_DELAY_S)

    async def _is_dead_for_all(self, record: GroupRecord, why: str) -> bool:
        """Ask the other proxies; one that reaches the primary shows that it lives."""
        peers = choose_confirming_peers(record.primary, self._me, self._beliefs.fleet.active())
        ages = await self._inspection.query_peer_reachability(record.primary, peers)
        pool = self._beliefs.pools.get(record.primary)
        alone = bool(peers) and not ages and (pool is None or pool.failing_for < ALONE_S)
        is_dead = not alone and all(age > ALIVE_S for age in ages.values())
        self._journal.log_event(
            EventType.SUSPICION,
            service=record.service,
            primary=record.primary,
            why=why,
            peers=ages,
            outcome="dead" if is_dead else "not confirmed",
        )
        self._take_detour(record.primary, ages)
        return is_dead

    def _take_detour(self, instance: str, ages: dict[str, float]) -> None:
        """Reach an instance through the peer that had its last answer."""
        alive = {name: age for name, age in ages.items() if age <= ALIVE_S}
        if not alive:
            return
        nearest = min(alive, key=lambda name: alive[name])
        peer = self._beliefs.fleet.proxies.get(nearest)
        if peer is not None:
            self._beliefs.use_tunnel(instance, build_tunnel_route(peer, instance), nearest)
