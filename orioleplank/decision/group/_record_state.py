"""What to do about the record of a group, by whether it is in force.

Load pattern: the store comes back from an older copy, and every group record has to be written
again. Proxies that hold a lease know the primary and write it at once, so that no lease ends. When
none does, a primary was being replaced, or all leases have ended: the group is then claimed as for
a failover, and a primary that still leads is kept.
"""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.group._group_record import GroupPhase, VersionedGroupRecord
from orioleplank.decision.group._lease import Lease, LeaseTable


class RecordMissing(Struct, frozen=True):
    """The group has no record, and this proxy has known none."""


class RecordInForce(Struct, frozen=True):
    """The record may be relied on."""

    versioned: VersionedGroupRecord


class RecordLost(Struct, frozen=True):
    """The record is not in force, and this proxy holds a lease: no other primary was promoted."""

    lease: Lease
    # The record that is to be replaced; of an earlier era if the store has none.
    versioned: VersionedGroupRecord


class PrimaryUnknown(Struct, frozen=True):
    """The record is not in force, and this proxy holds no lease."""

    # The record that is to be replaced; of an earlier era if the store has none.
    versioned: VersionedGroupRecord
    # True if the primary was being replaced, so that no proxy is likely to hold a lease.
    is_moving: bool


class RecordNotListed(Struct, frozen=True):
    """The records of the store's present era have not been listed yet."""


RecordState = RecordMissing | RecordInForce | RecordLost | PrimaryUnknown | RecordNotListed


def assess_record(table: LeaseTable, service: str, now: float) -> RecordState:
    """Return the state of a service's record at `now`, in seconds of the lease clock."""
    versioned = table.group_records.get(service)
    if versioned is None:
        return RecordMissing()
    if table.is_in_force(service):
        return RecordInForce(versioned)
    if table.listed_era != table.era:
        return RecordNotListed()
    lease = table.lease(service)
    if lease is not None and lease.is_valid_at(now):
        return RecordLost(lease, versioned)
    last = table.last_in_force.get(service)
    is_moving = last is not None and last.record.phase is GroupPhase.MOVING
    return PrimaryUnknown(versioned, is_moving)
