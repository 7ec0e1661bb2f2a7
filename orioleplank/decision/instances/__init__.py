"""What the platform says of routes and instances, in the product's own terms."""

from orioleplank.decision.instances._directory import (
    DRAINING_MARGIN_S,
    MISSING_GRACE_S,
    DbRole,
    Directory,
    InstanceEntry,
    InstanceState,
    KnownInstance,
)
from orioleplank.decision.instances._routes import (
    UNLIMITED_S,
    Consistency,
    Route,
    RouteTable,
    ServiceLimits,
)

__all__ = [
    "DRAINING_MARGIN_S",
    "MISSING_GRACE_S",
    "UNLIMITED_S",
    "Consistency",
    "DbRole",
    "Directory",
    "InstanceEntry",
    "InstanceState",
    "KnownInstance",
    "Route",
    "RouteTable",
    "ServiceLimits",
]
