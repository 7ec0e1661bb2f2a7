"""Who leads a group of instances, for how long a proxy may rely on it, and known positions."""

from orioleplank.decision.group._lease import (
    CLOCK_DRIFT_MARGIN_S,
    LEASE_DURATION_S,
    GroupPhase,
    GroupRecord,
    Lease,
    LeaseTable,
    VersionedGroupRecord,
)
from orioleplank.decision.group._positions import ObservedPosition, PositionHistory

__all__ = [
    "CLOCK_DRIFT_MARGIN_S",
    "LEASE_DURATION_S",
    "GroupPhase",
    "GroupRecord",
    "Lease",
    "LeaseTable",
    "ObservedPosition",
    "PositionHistory",
    "VersionedGroupRecord",
]
