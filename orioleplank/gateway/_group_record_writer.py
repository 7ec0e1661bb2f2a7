"""Writes of the group record by the proxy that replaces a primary."""

from __future__ import annotations

from typing import Any

from msgspec import Struct
from msgspec.structs import replace

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.group import GroupRecord, VersionedGroupRecord
from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._interfaces import (
    RecordCollection,
    StoreConflictError,
    StoreUnavailableError,
)
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._records import dump_group_record, group_record_name, parse_group_record

# Pause before a step that failed is retried.
RETRY_DELAY_S = 0.2
# Interval at which the record of a running failover is rewritten, so that no other proxy takes the
# failover over.
RECORD_REFRESH_INTERVAL_S = 0.5
# Revision of a record that the store does not have yet.
NO_REVISION = 0


class FailoverSupersededError(OrioleplankError):
    """Another proxy has taken the failover over, the claim was lost, or this proxy is stopping."""


class ClaimedFailover(Struct):
    """A failover or switchover that this proxy has claimed."""

    # As this proxy wrote it last.
    record: GroupRecord
    # Store revision of the record, which is also the fencing token; `NO_REVISION` if the record is
    # to be created.
    revision: int
    # When the last write was requested, in seconds of the lease clock.
    requested_at: float


class GroupRecordWriter:
    """Writes group records signed by this proxy, each on condition that no other has changed it."""

    def __init__(
        self,
        reactor: Any,
        cluster_state: ClusterState,
        event_log: EventLog,
        records: RecordCollection,
        own_record: ProxyRecord,
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._records = records
        self._own_record = own_record
        self._write_count = 0
        self.is_stopped = False

    async def create(self, record: GroupRecord) -> None:
        """Write the first record of a group.

        Raises `StoreConflictError` or `StoreUnavailableError`.
        """
        signed = self._sign(record)
        name = group_record_name(record.service)
        revision = await self._records.create(name, dump_group_record(signed))
        self._apply_record(signed, revision)

    def _sign(self, record: GroupRecord) -> GroupRecord:
        self._write_count += 1
        return replace(
            record,
            holder=self._own_record.name,
            incarnation=self._own_record.incarnation,
            number=self._write_count,
            era=self._cluster_state.leases.era,
        )

    async def write(self, failover: ClaimedFailover, record: GroupRecord) -> None:
        """Write the group record on condition that no other proxy has changed it.

        Retries while the store is unavailable. Raises `FailoverSupersededError` when another proxy
        has changed the record, the store was restored, or this proxy is stopping.
        """
        signed = self._sign(record)
        while not self.is_stopped:
            requested_at = self._cluster_state.lease_clock()
            try:
                revision = await self._store(signed, failover.revision)
            except StoreConflictError:
                revision = await self._find_own_write(signed, failover.revision)
            except StoreUnavailableError as error:
                self.log_failover(failover, "record not written", why=str(error))
                await sleep(self._reactor, RETRY_DELAY_S)
                continue
            failover.record, failover.revision, failover.requested_at = (
                signed,
                revision,
                requested_at,
            )
            self._apply_record(signed, revision)
            if not VersionedGroupRecord(signed, revision).is_in_force:
                raise FailoverSupersededError(
                    "write record", record.service, "the store was restored meanwhile"
                )
            return
        raise FailoverSupersededError("write record", record.service, "this proxy is stopping")

    def time_until_refresh(self, failover: ClaimedFailover) -> float:
        """Return the seconds after which the record has to be written again."""
        refresh_at = failover.requested_at + RECORD_REFRESH_INTERVAL_S
        return refresh_at - self._cluster_state.lease_clock()

    async def refresh_if_due(self, failover: ClaimedFailover) -> None:
        """Write the record again if its latest write is too long ago."""
        if self.time_until_refresh(failover) <= 0:
            await self.write(failover, failover.record)

    async def _store(self, signed: GroupRecord, revision: int) -> int:
        name, content = group_record_name(signed.service), dump_group_record(signed)
        if revision == NO_REVISION:
            return await self._records.create(name, content)
        return await self._records.replace(name, content, revision)

    async def _find_own_write(self, signed: GroupRecord, previous_revision: int) -> int:
        """Return the revision of a write whose response was lost.

        Raises `FailoverSupersededError` when the stored record is not that write.
        """
        listing = await self._records.list()
        for item in listing.items:
            versioned_record = parse_group_record(item)
            if (
                versioned_record is not None
                and versioned_record.record == signed
                and versioned_record.is_in_force
                and versioned_record.revision > previous_revision
            ):
                return versioned_record.revision
        raise FailoverSupersededError(
            "write record", signed.service, "another proxy has written it"
        )

    def _apply_record(self, record: GroupRecord, revision: int) -> None:
        versioned_record = VersionedGroupRecord(record, revision)
        self._cluster_state.update_leases(self._cluster_state.leases.apply_change(versioned_record))

    def log_failover(self, failover: ClaimedFailover, outcome: str, **fields: object) -> None:
        """Log a step of a failover."""
        self._event_log.log_event(
            EventType.MOVE,
            service=failover.record.service,
            revision=failover.revision,
            outcome=outcome,
            **fields,
        )
