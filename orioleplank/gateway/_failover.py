"""One move: gathers words, promotes the best instance, and writes who leads."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.failover import (
    InstanceReport,
    has_caught_up_replica,
    rank_promotion_candidates,
)
from orioleplank.decision.group import GroupPhase, GroupRecord, VersionedGroupRecord
from orioleplank.decision.instances import DbRole
from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._interfaces import (
    PromotionService,
    RecordCollection,
    StoreConflictError,
    StoreUnavailableError,
)
from orioleplank.gateway._lease_release import LeaseReleaseCoordinator
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._records import (
    dump_group_record,
    group_record_name,
    parse_group_record,
    parse_proxy_record,
)

# A promotion is ordered within this time after the record was written, in seconds.
ORDER_WINDOW_S = 2.0
# Time for a promotion to take effect before another one is ordered, in seconds.
EFFECT_S = 3.0
# Pause between looks at the instance that is being promoted, in seconds.
EFFECT_LOOK_S = 0.05
# How long a planned move waits for a replica that has received everything, in seconds.
CATCH_UP_S = 1.5
# Pause between looks at replicas that catch up, in seconds.
CATCH_UP_LOOK_S = 0.02
# Pause after a step that failed, in seconds.
RETRY_DELAY_S = 0.2
# Seconds between two writes of the record of a move that goes on, so that nobody takes it over.
REFRESH_S = 1.0
# Pause between looks whether all words are in, in seconds.
GATHER_LOOK_S = 0.05
# Pause before a move that was put off is tried again, in seconds.
PUT_OFF_S = 0.5
# Names of silent proxies in one line.
SILENT_NAMES = 5


class MoveLostError(OrioleplankError):
    """Another proxy has taken the move over."""


@dataclass(slots=True)
class _Move:
    """A move that this proxy holds."""

    # The record as this proxy wrote it last.
    record: GroupRecord
    # Its revision, which is the fencing token.
    revision: int
    # When the last write of it was asked for, in seconds of the clock of leases.
    asked_at: float


class FailoverCoordinator:
    """Carries out moves of primaries."""

    def __init__(
        self,
        reactor: Any,
        beliefs: ClusterState,
        journal: EventLog,
        records: RecordCollection,
        promotions: PromotionService,
        inspection: InstanceProber,
        releases: LeaseReleaseCoordinator,
        me: ProxyRecord,
    ) -> None:
        self._reactor = reactor
        self._beliefs = beliefs
        self._journal = journal
        self._records = records
        self._promotions = promotions
        self._inspection = inspection
        self._releases = releases
        self._me = me
        self._number = 0
        self.is_stopped = False

    async def switch_over(self, service: str, seen: VersionedGroupRecord) -> None:
        """Move a primary that will end, once nobody's leases would have to be waited out for it.

        While a proxy is silent the primary serves on, as long as it may be sent work.
        """
        primary = seen.record.primary
        if self._beliefs.drains_for_at_least(primary, PUT_OFF_S):
            silent = await self._releases.find_unresponsive_proxies()
            if silent and self._beliefs.drains_for_at_least(primary, PUT_OFF_S):
                self._journal.log_event(
                    EventType.MOVE,
                    service=service,
                    revision=seen.revision,
                    outcome="put off",
                    silent=silent[:SILENT_NAMES],
                )
                await sleep(self._reactor, PUT_OFF_S)
                return
        await self.fail_over(service, seen, planned=True)

    async def fail_over(self, service: str, seen: VersionedGroupRecord, planned: bool) -> None:
        """Move the primary of a service away from the one that `seen` names."""
        old = seen.record
        move = await self._claim(old, seen.revision, planned)
        self._note_move(move, "claimed", old_primary=old.primary, planned=planned)
        holders = await self._list_holders(move)
        gathering = Deferred.fromCoroutine(
            self._releases.collect_releases(service, move.revision, planned, holders)
        )
        late = await self._refresh_until(move, gathering)
        self._note_move(move, "released", waited_out=[peer.name for peer in late])
        new = await self._promote(move, old)
        stable = replace(move.record, phase=GroupPhase.STABLE, primary=new.id, term=new.term)
        await self._write(move, stable)
        self._note_move(move, "done", primary=new.id, term=new.term)
        await self._step_down(old.primary, new)
        await self._retire(late)

    async def _claim(self, old: GroupRecord, revision: int, planned: bool) -> _Move:
        record = replace(old, phase=GroupPhase.MOVING, planned=planned, released=False)
        move = _Move(record, revision, self._beliefs.lease_clock())
        await self._write(move, record)
        return move

    async def _list_holders(self, move: _Move) -> tuple[ProxyRecord, ...]:
        """List the proxies that may hold a lease from before the move."""
        while True:
            try:
                listing = await self._records.list()
            except StoreUnavailableError:
                await sleep(self._reactor, RETRY_DELAY_S)
                continue
            found = (parse_proxy_record(item) for item in listing.items)
            return tuple(record for record in found if record is not None)

    async def _refresh_until(
        self, move: _Move, gathering: Deferred[tuple[ProxyRecord, ...]]
    ) -> tuple[ProxyRecord, ...]:
        """Keep the move while words are gathered; return whose leases had to be waited out."""
        while not gathering.called:
            await sleep(self._reactor, GATHER_LOOK_S)
            if self._beliefs.lease_clock() - move.asked_at >= REFRESH_S:
                await self._write(move, move.record)
        return await gathering

    async def _promote(self, move: _Move, old: GroupRecord) -> InstanceReport:
        """Promote the instance that has received most; return its report once it leads."""
        catch_up_until = self._beliefs.now() + CATCH_UP_S
        while True:
            if self._beliefs.lease_clock() - move.asked_at >= REFRESH_S:
                await self._write(move, move.record)
            entries = self._beliefs.directory.entries_of_service(move.record.service)
            reports = await self._inspection.collect_reports(entries)
            leading = self._find_leading(reports, old)
            if leading is not None:
                return leading
            may_wait = move.record.planned and self._beliefs.now() < catch_up_until
            if may_wait and not has_caught_up_replica(reports, old.primary):
                await sleep(self._reactor, CATCH_UP_LOOK_S)
                continue
            for successor in rank_promotion_candidates(reports, old.primary):
                if await self._order(move, successor):
                    led = await self._await_effect(move, successor, old)
                    if led is not None:
                        return led
                    break
            await sleep(self._reactor, RETRY_DELAY_S)

    def _find_leading(
        self, reports: tuple[InstanceReport, ...], old: GroupRecord
    ) -> InstanceReport | None:
        """Find an instance that leads already.

        An instance that was replaced with its log and its lead has a new id and the old term.
        """
        leading = [report for report in reports if _leads_after(report, old)]
        return max(leading, key=lambda report: report.term) if leading else None

    async def _order(self, move: _Move, successor: str) -> bool:
        """Order a promotion; False when that instance cannot take over."""
        if self._beliefs.lease_clock() - move.asked_at >= ORDER_WINDOW_S / 2:
            await self._write(move, move.record)
        elif not move.record.released:
            await self._write(move, replace(move.record, released=True))
        if self._beliefs.lease_clock() - move.asked_at >= ORDER_WINDOW_S:
            return False
        service = move.record.service
        try:
            accepted = await self._promotions.request_promotion(service, successor, move.revision)
        except StoreUnavailableError as error:
            self._note_move(move, "order unanswered", instance=successor, why=str(error))
            return True
        self._note_move(move, "ordered" if accepted else "order refused", instance=successor)
        return accepted

    async def _await_effect(
        self, move: _Move, successor: str, old: GroupRecord
    ) -> InstanceReport | None:
        """Wait until the successor leads; None when it does not in time."""
        limit = self._beliefs.now() + EFFECT_S
        while self._beliefs.now() < limit:
            pool = self._beliefs.pools.get(successor)
            report = await self._inspection.probe(pool) if pool is not None else None
            if report is not None and _leads_after(report, old):
                return report
            if self._beliefs.lease_clock() - move.asked_at >= REFRESH_S:
                await self._write(move, move.record)
            await sleep(self._reactor, EFFECT_LOOK_S)
        return None

    async def _step_down(self, old_primary: str, new: InstanceReport) -> None:
        pool = self._beliefs.pools.get(old_primary)
        if pool is None or old_primary == new.id:
            return
        reached = await self._inspection.step_down(pool, new.term)
        outcome = "old primary stepped down" if reached else "old primary not reached"
        self._journal.log_event(EventType.MOVE, instance=old_primary, outcome=outcome)

    async def _retire(self, silent: tuple[ProxyRecord, ...]) -> None:
        """Mark proxies that did not answer, so that they register anew or are removed."""
        if not silent:
            return
        listing = await self._records.list()
        names = {record.name: record for record in silent}
        for item in listing.items:
            record = parse_proxy_record(item)
            if record is None or record.retired or record != names.get(record.name):
                continue
            try:
                content = {**item.content, "retired": True}
                await self._records.replace(item.name, content, item.revision)
            except StoreConflictError:
                continue

    async def create_group_record(self, service: str) -> None:
        """Write the first record of a service, from what its instances say."""
        reports = await self._inspection.collect_reports(
            self._beliefs.directory.entries_of_service(service)
        )
        leading = [report for report in reports if report.role is DbRole.PRIMARY]
        if not leading:
            self._journal.log_event(EventType.MOVE, service=service, outcome="no primary found")
            return
        leader = max(leading, key=lambda report: report.term)
        record = self._sign(GroupRecord(service, GroupPhase.STABLE, leader.id, leader.term, "", ""))
        revision = await self._records.create(group_record_name(service), dump_group_record(record))
        self._take_record(record, revision)

    # The record.

    def _sign(self, record: GroupRecord) -> GroupRecord:
        self._number += 1
        return replace(
            record,
            holder=self._me.name,
            incarnation=self._me.incarnation,
            number=self._number,
        )

    async def _write(self, move: _Move, record: GroupRecord) -> None:
        """Write the record on condition that nobody else has; raise `MoveLostError`."""
        signed = self._sign(record)
        name = group_record_name(record.service)
        while not self.is_stopped:
            asked_at = self._beliefs.lease_clock()
            try:
                revision = await self._records.replace(
                    name, dump_group_record(signed), move.revision
                )
            except StoreConflictError:
                revision = await self._find_own(signed, move.revision)
            except StoreUnavailableError as error:
                self._note_move(move, "record not written", why=str(error))
                await sleep(self._reactor, RETRY_DELAY_S)
                continue
            move.record, move.revision, move.asked_at = signed, revision, asked_at
            self._take_record(signed, revision)
            return
        raise MoveLostError("write record", record.service, "this proxy is stopping")

    async def _find_own(self, signed: GroupRecord, before: int) -> int:
        """Return the revision of a write whose answer was lost; raise `MoveLostError`."""
        listing = await self._records.list()
        for item in listing.items:
            seen = parse_group_record(item)
            if seen is not None and seen.record == signed and seen.revision > before:
                return seen.revision
        raise MoveLostError("write record", signed.service, "another proxy has written it")

    def _take_record(self, record: GroupRecord, revision: int) -> None:
        seen = VersionedGroupRecord(record, revision)
        self._beliefs.update_leases(self._beliefs.leases.apply_change(seen))

    def _note_move(self, move: _Move, outcome: str, **fields: object) -> None:
        self._journal.log_event(
            EventType.MOVE,
            service=move.record.service,
            revision=move.revision,
            outcome=outcome,
            **fields,
        )


def _leads_after(report: InstanceReport, old: GroupRecord) -> bool:
    if report.role is not DbRole.PRIMARY:
        return False
    return report.term > old.term or (report.id != old.primary and report.term == old.term)
