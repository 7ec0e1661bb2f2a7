"""Group records, leases on the primary of a group, and known positions of its log."""

from orioleplank.decision.group._group_record import (
    GroupPhase,
    GroupRecord,
    VersionedGroupRecord,
)
from orioleplank.decision.group._lease import (
    CLOCK_DRIFT_MARGIN_S,
    LEASE_DURATION_S,
    Lease,
    LeaseTable,
)
from orioleplank.decision.group._move_times import MoveStart, MoveTimes
from orioleplank.decision.group._positions import ObservedPosition, PositionHistory
from orioleplank.decision.group._record_state import (
    PrimaryUnknown,
    RecordInForce,
    RecordLost,
    RecordMissing,
    RecordNotListed,
    RecordState,
    assess_record,
)
from orioleplank.decision.group._sync_replication import SyncReplication

__all__ = [
    "CLOCK_DRIFT_MARGIN_S",
    "LEASE_DURATION_S",
    "GroupPhase",
    "GroupRecord",
    "Lease",
    "LeaseTable",
    "MoveStart",
    "MoveTimes",
    "ObservedPosition",
    "PositionHistory",
    "PrimaryUnknown",
    "RecordInForce",
    "RecordLost",
    "RecordMissing",
    "RecordNotListed",
    "RecordState",
    "SyncReplication",
    "VersionedGroupRecord",
    "assess_record",
]
