"""Failover of one service whose primary the proxies rely on under leases.

It collects lease releases, promotes an instance and records the new primary. The failover for
upstreams that acknowledge a write once a majority has stored it is in
`orioleplank.decision.quorum._failover`.

The group record in the store serializes failovers. A coordinator claims one by writing the record,
and the revision of its last write is the fencing token of the promotions that it requests.
"""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace
from twisted.internet.defer import Deferred

from orioleplank.decision import era_of
from orioleplank.decision.failover import InstanceReport, PromotionUnsafe
from orioleplank.decision.group import (
    GroupPhase,
    GroupRecord,
    PrimaryUnknown,
    RecordLost,
    SyncReplication,
    VersionedGroupRecord,
)
from orioleplank.decision.instances import DbRole
from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.membership import ProxyRecord, ReleaseAsked
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._group_record_writer import (
    NO_REVISION,
    RETRY_DELAY_S,
    ClaimedFailover,
    GroupRecordWriter,
)
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._interfaces import (
    PromotionService,
    RecordCollection,
    StoreConflictError,
    StoreUnavailableError,
)
from orioleplank.gateway._lease_release import CollectedReleases, LeaseReleaseCoordinator
from orioleplank.gateway._notifier import ChangeNotifier, sleep
from orioleplank.gateway._promotion import InstancePromoter
from orioleplank.gateway._records import dump_proxy_record, parse_proxy_record
from orioleplank.gateway._sync_replication import SyncReplicationKeeper

# Pause before a postponed switchover is tried again.
SWITCHOVER_POSTPONEMENT_S = 0.5
# Names of unresponsive proxies in one log line.
MAX_LOGGED_PROXIES = 5


class FailoverCoordinator:
    """Runs failovers and switchovers, and writes the first record of a group.

    Several proxies may attempt the same failover: conditional writes of the group record let one
    of them continue, and the others end with `FailoverSupersededError` or `StoreConflictError`.
    """

    def __init__(
        self,
        reactor: Any,
        cluster_state: ClusterState,
        event_log: EventLog,
        records: RecordCollection,
        promotions: PromotionService,
        prober: InstanceProber,
        lease_releases: LeaseReleaseCoordinator,
        own_record: ProxyRecord,
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._records = records
        self._prober = prober
        self._lease_releases = lease_releases
        self._own_record = own_record
        self._writer = GroupRecordWriter(reactor, cluster_state, event_log, records, own_record)
        self.sync_keeper = SyncReplicationKeeper(
            reactor, cluster_state, event_log, prober, self._writer
        )
        self._promoter = InstancePromoter(
            reactor, cluster_state, promotions, prober, self._writer, self.sync_keeper
        )

    @property
    def is_stopped(self) -> bool:
        """True once this proxy replaces no more primaries."""
        return self._writer.is_stopped

    def stop(self) -> None:
        """Replace no more primaries; a failover in progress ends with its next write."""
        self._writer.is_stopped = True

    async def switch_over(self, service: str, versioned_record: VersionedGroupRecord) -> None:
        """Replace a draining primary, once no lease of an unresponsive proxy would delay it.

        While a proxy is unresponsive the switchover is postponed and the primary continues to
        serve, as long as it accepts work.
        """
        primary = versioned_record.record.primary
        may_postpone = self._cluster_state.mechanisms.is_on(Mechanism.SWITCHOVER_POSTPONEMENT)
        if may_postpone and self._cluster_state.drains_for_at_least(
            primary, SWITCHOVER_POSTPONEMENT_S
        ):
            unresponsive = await self._lease_releases.find_unresponsive_proxies()
            awaited = await self._find_awaited_replicas(versioned_record.record)
            if (unresponsive or awaited) and self._cluster_state.drains_for_at_least(
                primary, SWITCHOVER_POSTPONEMENT_S
            ):
                self._event_log.log_event(
                    EventType.MOVE,
                    service=service,
                    revision=versioned_record.revision,
                    outcome="put off",
                    silent=unresponsive[:MAX_LOGGED_PROXIES],
                    awaited=awaited,
                )
                await sleep(self._reactor, SWITCHOVER_POSTPONEMENT_S)
                return
        await self.fail_over(service, versioned_record, planned=True)

    async def _find_awaited_replicas(self, record: GroupRecord) -> tuple[str, ...]:
        """Return the replicas without which the primary cannot be replaced safely now."""
        if self.sync_keeper.required_confirmations(record) == 0:
            return ()
        reports = await self._prober.collect_reports(
            self._cluster_state.directory.entries_of_service(record.service)
        )
        match self._promoter.assess_safety(record, record.primary, reports):
            case PromotionUnsafe(awaited):
                return awaited or (record.primary,)
            case _:
                return ()

    async def reinstate(self, lost: RecordLost) -> None:
        """Write the record of a group again that was lost in a restore of the store.

        No other primary was promoted before the restore, since this proxy held a lease after it.
        None is promoted later unless the group is claimed, and then this write fails.
        """
        versioned = lost.versioned
        service = versioned.record.service
        known = self._cluster_state.leases.last_in_force.get(service, versioned)
        record = GroupRecord(
            service,
            GroupPhase.STABLE,
            lost.lease.primary,
            lost.lease.term,
            "",
            "",
            sync=known.record.sync,
        )
        failover = self._start_from(record, versioned)
        await self._writer.write(failover, record)
        self._writer.log_failover(failover, "reinstated", primary=record.primary, term=record.term)

    async def recover(self, unknown: PrimaryUnknown) -> None:
        """Find or promote the primary of a group whose record was lost with all leases."""
        versioned = unknown.versioned
        known = self._cluster_state.leases.last_in_force.get(versioned.record.service, versioned)
        newest = max((versioned, known), key=lambda item: item.record.term)
        record = replace(newest.record, keeps_primary=True)
        failover = await self._claim(record, versioned, versioned.revision, planned=False)
        await self._replace_primary(failover, record, self._cluster_state.lease_clock())

    async def fail_over(
        self, service: str, versioned_record: VersionedGroupRecord, planned: bool
    ) -> None:
        """Replace the primary that a group record names.

        `planned` is True for a switchover. The proxies then release their leases only after their
        running work has ended, and the promotion waits until a replica has caught up; both waits
        are limited.
        """
        old_record = versioned_record.record
        is_early = self._cluster_state.mechanisms.is_on(Mechanism.EARLY_SUCCESSION)
        taken_over_at = self._cluster_state.move_times.seen_at(old_record) if is_early else None
        is_taken_over = old_record.phase is GroupPhase.MOVING
        replaces = old_record.replaces if is_taken_over else versioned_record.revision
        failover = await self._claim(old_record, versioned_record, replaces, planned)
        move_started_at = (
            self._cluster_state.lease_clock() if taken_over_at is None else taken_over_at
        )
        await self._replace_primary(failover, old_record, move_started_at)

    async def _replace_primary(
        self, failover: ClaimedFailover, old_record: GroupRecord, move_started_at: float
    ) -> None:
        """Collect the releases, promote an instance, and write the record of the new primary.

        No lease rests on a read that was requested after `move_started_at`.
        """
        service, planned = old_record.service, failover.record.planned
        old_primary = old_record.primary
        self._writer.log_failover(failover, "claimed", old_primary=old_primary, planned=planned)
        holders = await self._list_lease_holders(failover)
        request = ReleaseAsked(self._own_record.name, service, failover.revision, planned)
        releases = Deferred.fromCoroutine(
            self._lease_releases.collect_releases(request, move_started_at, holders)
        )
        collected = await self._refresh_while_collecting(failover, releases)
        self._writer.log_failover(
            failover, "released", waited_out=[peer.name for peer in collected.expired]
        )
        if collected.highest_term > old_record.term:
            old_record = replace(old_record, primary="", term=collected.highest_term)
        new_primary = await self._promoter.promote(failover, old_record)
        sync = self.sync_keeper.begin_term(failover.record.sync, service, new_primary)
        record = GroupRecord(
            service, GroupPhase.STABLE, new_primary.id, new_primary.term, "", "", sync=sync
        )
        await self._writer.write(failover, record)
        self._writer.log_failover(failover, "done", primary=new_primary.id, term=new_primary.term)
        await self._step_down(old_primary, new_primary)
        await self._retire_expired_holders(collected.expired)

    async def _claim(
        self,
        old_record: GroupRecord,
        versioned: VersionedGroupRecord,
        replaces: int,
        planned: bool,
    ) -> ClaimedFailover:
        """Write that the primary of `old_record` is being replaced, over the stored `versioned`."""
        is_taken_over = old_record.phase is GroupPhase.MOVING
        sync = old_record.sync if is_taken_over else self.sync_keeper.stamp(old_record.sync)
        record = replace(
            old_record,
            sync=sync,
            phase=GroupPhase.MOVING,
            planned=planned,
            released=False,
            replaces=replaces,
        )
        failover = self._start_from(record, versioned)
        await self._writer.write(failover, record)
        return failover

    def _start_from(self, record: GroupRecord, versioned: VersionedGroupRecord) -> ClaimedFailover:
        """Return a claim that will replace a record; it is created if the store has lost it."""
        is_stored = versioned.era == self._cluster_state.leases.era
        revision = versioned.revision if is_stored else NO_REVISION
        return ClaimedFailover(record, revision, self._cluster_state.lease_clock())

    async def _list_lease_holders(self, failover: ClaimedFailover) -> tuple[ProxyRecord, ...]:
        """Return the proxies that may hold a lease from before the failover.

        Retries until the store responds.
        """
        while True:
            try:
                listing = await self._records.list()
            except StoreUnavailableError:
                await sleep(self._reactor, RETRY_DELAY_S)
                continue
            found = (parse_proxy_record(item) for item in listing.items)
            return self._cluster_state.fleet_history.find_lease_holders(
                (record for record in found if record is not None), era_of(listing.revision)
            )

    async def _refresh_while_collecting(
        self, failover: ClaimedFailover, releases: Deferred[CollectedReleases]
    ) -> CollectedReleases:
        """Keep the claim until all leases are released or expired; return the result."""
        finished = ChangeNotifier(self._reactor)

        def notify(result: CollectedReleases) -> CollectedReleases:
            finished.notify_all()
            return result

        releases.addBoth(notify)
        while not releases.called:
            await finished.wait(self._writer.time_until_refresh(failover))
            if not releases.called:
                await self._writer.refresh_if_due(failover)
        return await releases

    async def _step_down(self, old_primary: str, new_primary: InstanceReport) -> None:
        pool = self._cluster_state.pools.get(old_primary)
        if pool is None or old_primary == new_primary.id:
            return
        reached = await self._prober.step_down(pool, new_primary.term)
        outcome = "old primary stepped down" if reached else "old primary not reached"
        self._event_log.log_event(EventType.MOVE, instance=old_primary, outcome=outcome)

    async def _retire_expired_holders(self, unresponsive: tuple[ProxyRecord, ...]) -> None:
        """Mark unresponsive proxies as retired, so that they register again or are removed.

        Unlike the failure detector, it lists the records again, and leaves out those that have
        changed since this proxy read them.
        """
        if not unresponsive:
            return
        listing = await self._records.list()
        names = {record.name: record for record in unresponsive}
        for item in listing.items:
            record = parse_proxy_record(item)
            if record is None or record.retired or record != names.get(record.name):
                continue
            try:
                content = dump_proxy_record(replace(record, retired=True))
                await self._records.replace(item.name, content, item.revision)
            except StoreConflictError:
                continue

    async def create_group_record(self, service: str) -> None:
        """Write the first group record of a service, from the reports of its instances.

        Without an instance that reports the primary role nothing is written. Raises
        `StoreConflictError` or `StoreUnavailableError`.
        """
        reports = await self._prober.collect_reports(
            self._cluster_state.directory.entries_of_service(service)
        )
        primaries = [report for report in reports if report.role is DbRole.PRIMARY]
        if not primaries:
            self._event_log.log_event(EventType.MOVE, service=service, outcome="no primary found")
            return
        primary = max(primaries, key=lambda report: report.term)
        sync = self.sync_keeper.begin_term(SyncReplication(), service, primary)
        await self._writer.create(
            GroupRecord(service, GroupPhase.STABLE, primary.id, primary.term, "", "", sync=sync)
        )
