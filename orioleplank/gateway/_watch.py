"""Watches all primaries, and has those moved that are dead or leave."""

from __future__ import annotations

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.group import GroupRecord, Phase, SeenRecord
from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.keeper import (
    Evidence,
    FoundDead,
    Leaving,
    StillThere,
    choose_witnesses,
    judge_primary,
)
from orioleplank.decision.membership import Fleet, ProxyRecord, rank_proxies
from orioleplank.gateway._beliefs import Beliefs
from orioleplank.gateway._inspection import Inspection
from orioleplank.gateway._journal import Journal, Topic
from orioleplank.gateway._moves import AGAIN_S, Moves
from orioleplank.gateway._signal import sleep
from orioleplank.gateway._tunnel import find_detour

# Seconds between looks at each primary.
LOOK_S = 0.25
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


class Watch:
    """Watches all primaries."""

    def __init__(
        self,
        reactor: Any,
        beliefs: Beliefs,
        journal: Journal,
        inspection: Inspection,
        moves: Moves,
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

    def look(self) -> None:
        """Look at every service once."""
        if self._moves.is_stopped or not self._beliefs.leases.asked_at > float("-inf"):
            return
        self._probed_at = {n: at for n, at in self._probed_at.items() if n in self._beliefs.pools}
        for instance in self._beliefs.pools:
            self._probe_if_quiet(instance)
        for service in self._beliefs.routes.services:
            if service not in self._busy:
                self._look_at(service)

    def _look_at(self, service: str) -> None:
        seen = self._beliefs.leases.seen.get(service)
        if seen is None:
            if self._may_act(service, "absent"):
                self._start(service, self._moves.create_record(service))
            return
        if seen.record.phase is Phase.MOVING:
            self._look_at_move(service, seen)
            return
        self._seen_moving.pop(service, None)
        match judge_primary(self._find_evidence(seen.record)):
            case StillThere():
                self._standing.pop(service, None)
            case FoundDead() if self._hears_from_owners(seen.record.primary):
                pass
            case FoundDead(why) as verdict:
                acts = self._may_act(service, verdict)
                self._begin(service, self._inquire(service, seen, why, acts))
            case Leaving() as verdict if self._may_act(service, verdict):
                self._start(service, self._moves.leave(service, seen))
            case verdict if self._may_act(service, verdict):
                self._start(service, self._moves.move(service, seen, planned=False))

    def _look_at_move(self, service: str, seen: SeenRecord) -> None:
        """Take over a move whose holder has gone silent."""
        now = self._beliefs.now()
        revision, since = self._seen_moving.get(service, (0, now))
        if revision != seen.revision:
            self._seen_moving[service] = (seen.revision, now)
            return
        patience = 0.0 if self._has_holder_ended(seen.record) else TAKE_OVER_S
        delay = patience + self._rank(service) * RANK_DELAY_S
        if now - since >= delay:
            self._start(service, self._moves.move(service, seen, seen.record.planned))

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
        seen, fleet = self._beliefs.leases.seen.get(service), self._beliefs.fleet
        owners = self._beliefs.owners(seen.record.primary) if seen else ()
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
        owners = self._beliefs.owners(primary)
        return bool(owners) and self._me.name not in owners

    def _find_evidence(self, record: GroupRecord) -> Evidence:
        known = self._beliefs.directory.instances.get(record.primary)
        pool = self._beliefs.pools.get(record.primary)
        return Evidence(
            listed=known is not None,
            leaving=known is not None and known.is_leaving(self._beliefs.now()),
            failing_for=pool.failing_for if pool else 0.0,
            failures=pool.failures if pool else 0,
            denies_lead=pool is not None and pool.denies_lead,
        )

    def _probe_if_quiet(self, instance: str) -> None:
        """Ask an instance that fails, or whose answers are overdue; a primary also when idle."""
        pool, now = self._beliefs.pools[instance], self._beliefs.now()
        since = now - self._probed_at.get(instance, float("-inf"))
        if instance in self._probing or since < PROBE_AGAIN_S:
            return
        quiet = now - pool.answered_at
        is_overdue = pool.in_flight > 0 and quiet >= OVERDUE_S
        if pool.failures or is_overdue or (quiet >= QUIET_S and self._guards(pool.entry)):
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
            self._journal.note(Topic.MOVE, outcome="given up", why=str(failure.value))
            return
        self._journal.note(Topic.ERROR, step="move primary", detail=failure.getTraceback())

    async def _inquire(self, service: str, seen: SeenRecord, why: str, acts: bool) -> None:
        """Ask the other proxies about a primary that does not answer here.

        One that reaches it becomes the way to it. Otherwise it is replaced, if this proxy `acts`.
        """
        is_dead = await self._is_dead_for_all(seen.record, why)
        if is_dead and acts:
            self._standing.pop(service, None)
            await self._moves.move(service, seen, planned=False)
            return
        if not is_dead:
            self._standing.pop(service, None)
        await sleep(self._reactor, AGAIN_S)

    async def _is_dead_for_all(self, record: GroupRecord, why: str) -> bool:
        """Ask the other proxies; one that reaches the primary shows that it lives."""
        peers = choose_witnesses(record.primary, self._me, self._beliefs.fleet.active())
        ages = await self._inspection.ask_reach(record.primary, peers)
        pool = self._beliefs.pools.get(record.primary)
        alone = bool(peers) and not ages and (pool is None or pool.failing_for < ALONE_S)
        is_dead = not alone and all(age > ALIVE_S for age in ages.values())
        self._journal.note(
            Topic.SUSPICION,
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
            self._beliefs.take_detour(instance, find_detour(peer, instance), nearest)
