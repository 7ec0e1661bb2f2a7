"""Keeps the state of synchronous replication in the group records (`SyncReplication`)."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.group import GroupRecord, SyncReplication, VersionedGroupRecord
from orioleplank.decision.instances import DbRole
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._group_record_writer import ClaimedFailover, GroupRecordWriter
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._notifier import sleep

# Pause before it is checked again whether replicas have caught up.
CATCH_UP_RETRY_DELAY_S = 1.0


class SyncReplicationKeeper:
    """Compares the group records with the listed replicas and the configuration.

    A replica that joins is recorded at once. One that has left, or a changed setting, is recorded
    only when other replicas have received everything that the primary had committed by then.
    """

    def __init__(
        self,
        reactor: Any,
        cluster_state: ClusterState,
        event_log: EventLog,
        prober: InstanceProber,
        writer: GroupRecordWriter,
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._prober = prober
        self._writer = writer

    def list_replicas(self, service: str, primary: str) -> tuple[str, ...]:
        """Return the addresses of all listed instances of a service but the primary."""
        entries = self._cluster_state.directory.entries_of_service(service)
        return tuple(sorted({entry.address for entry in entries if entry.id != primary}))

    def required_confirmations(self, record: GroupRecord) -> int:
        """Return on how many replicas each acknowledged commit of a group can be relied on."""
        return record.sync.required_confirmations(
            self._configured(record.service), self._cluster_state.routes.version
        )

    def stamp(self, sync: SyncReplication) -> SyncReplication:
        """Return the state as of the configuration that is known now."""
        return replace(sync, version=self._cluster_state.routes.version)

    def begin_term(
        self, old: SyncReplication, service: str, primary: InstanceReport
    ) -> SyncReplication:
        """Return the state for the term of a new primary, as of its report."""
        confirmations = self._configured(service)
        if confirmations == 0:
            return SyncReplication()
        replicas = {*old.replicas, *self.list_replicas(service, primary.id)} - {primary.address}
        return SyncReplication(
            confirmations,
            tuple(sorted(replicas)),
            primary.received_position,
            self._cluster_state.routes.version,
        )

    def is_outdated(self, record: GroupRecord) -> bool:
        """Return whether the state in a stable record differs from listing or configuration."""
        configured = self._configured(record.service)
        if configured == 0 and record.sync.confirmations == 0:
            return False
        if configured != record.sync.confirmations:
            return True
        return record.sync.replicas != self.list_replicas(record.service, record.primary)

    async def update(self, versioned: VersionedGroupRecord) -> None:
        """Bring the state in a stable record up to date, if this is safe now.

        Raises `FailoverSupersededError` when another proxy has written the record.
        """
        record = versioned.record
        grown = self._add_replicas(record)
        sync = grown if grown != record.sync else await self._rebase(record)
        if sync is None:
            await sleep(self._reactor, CATCH_UP_RETRY_DELAY_S)
            return
        failover = ClaimedFailover(record, versioned.revision, self._cluster_state.lease_clock())
        await self._writer.write(failover, replace(record, sync=sync))
        self._event_log.log_event(
            EventType.MOVE,
            service=record.service,
            revision=failover.revision,
            outcome="replicas recorded",
            replicas=sync.replicas,
            confirmations=sync.confirmations,
            base=str(sync.base),
        )

    def _add_replicas(self, record: GroupRecord) -> SyncReplication:
        """Return the state with all listed replicas added; unchanged under another setting."""
        if self._configured(record.service) != record.sync.confirmations:
            return record.sync
        listed = self.list_replicas(record.service, record.primary)
        return replace(record.sync, replicas=tuple(sorted({*record.sync.replicas, *listed})))

    async def _rebase(self, record: GroupRecord) -> SyncReplication | None:
        """Return the state without the past; None while too few replicas have caught up."""
        service, configured = record.service, self._configured(record.service)
        listed = self.list_replicas(service, record.primary)
        entries = self._cluster_state.directory.entries_of_service(service)
        first = await self._prober.collect_reports(
            entry for entry in entries if entry.id == record.primary
        )
        leads = [r for r in first if r.role is DbRole.PRIMARY and r.term == record.term]
        if not leads:
            return None
        base = leads[0].received_position
        others = await self._prober.collect_reports(
            entry for entry in entries if entry.id != record.primary
        )
        caught_up = [report for report in others if report.received_position >= base]
        if len(caught_up) < max(configured, record.sync.confirmations):
            return None
        if configured == 0:
            return SyncReplication()
        return SyncReplication(configured, listed, base, self._cluster_state.routes.version)

    def _configured(self, service: str) -> int:
        limits = self._cluster_state.routes.services.get(service)
        return limits.sync_replicas if limits is not None else 0
