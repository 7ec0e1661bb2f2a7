"""Routes and instances as the platform reports them, converted to the types of the proxy."""

from orioleplank.decision.instances._directory import (
    DRAIN_CUTOFF_MARGIN_S,
    MISSING_GRACE_S,
    DbRole,
    InstanceDirectory,
    InstanceEntry,
    InstanceState,
    TrackedInstance,
)
from orioleplank.decision.instances._instance_changes import InstanceChanges, ListedInstances
from orioleplank.decision.instances._route_changes import (
    ChangesMismatchError,
    RouteChanges,
    RouteHistory,
)
from orioleplank.decision.instances._routes import (
    DEFAULT_TRANSACTION_IDLE_S,
    Consistency,
    Route,
    RouteTable,
    ServiceLimits,
)

__all__ = [
    "DRAIN_CUTOFF_MARGIN_S",
    "MISSING_GRACE_S",
    "DEFAULT_TRANSACTION_IDLE_S",
    "ChangesMismatchError",
    "Consistency",
    "DbRole",
    "InstanceChanges",
    "InstanceDirectory",
    "InstanceEntry",
    "InstanceState",
    "ListedInstances",
    "Route",
    "RouteChanges",
    "RouteHistory",
    "RouteTable",
    "ServiceLimits",
    "TrackedInstance",
]
