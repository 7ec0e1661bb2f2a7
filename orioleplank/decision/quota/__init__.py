"""Rate limits of accounts over all proxies: who grants permits, and who may start an operation."""

from orioleplank.decision.quota._account_permits import (
    PERMIT_LIFETIME_S,
    OverLimit,
    Permit,
    PermitDecision,
    Unavailable,
)
from orioleplank.decision.quota._coordinators import (
    COORDINATOR_COUNT,
    HANDOVER_DELAY_S,
    CoordinatorTable,
    select_coordinators,
)
from orioleplank.decision.quota._held_permits import HeldPermits, find_held_permits
from orioleplank.decision.quota._permit_coordinator import PermitCoordinator, find_limits
from orioleplank.decision.quota._permit_holder import PermitHolder, PermitOrder
from orioleplank.decision.quota._token_bucket import TokenBucket

__all__ = [
    "COORDINATOR_COUNT",
    "HANDOVER_DELAY_S",
    "PERMIT_LIFETIME_S",
    "CoordinatorTable",
    "HeldPermits",
    "OverLimit",
    "Permit",
    "PermitCoordinator",
    "PermitDecision",
    "PermitHolder",
    "PermitOrder",
    "TokenBucket",
    "Unavailable",
    "find_held_permits",
    "find_limits",
    "select_coordinators",
]
