"""Who leads a group of instances, for how long a proxy may rely on it, and known positions."""

from orioleplank.decision.group._lease import (
    LEASE_S,
    RELEASE_MARGIN_S,
    GroupRecord,
    Lease,
    LeaseBook,
    Phase,
    SeenRecord,
)
from orioleplank.decision.group._positions import KnownPosition, PositionHistory

__all__ = [
    "LEASE_S",
    "RELEASE_MARGIN_S",
    "GroupRecord",
    "KnownPosition",
    "Lease",
    "LeaseBook",
    "Phase",
    "PositionHistory",
    "SeenRecord",
]
