"""Routes from a database name to a service; the version of the table never decreases."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, unique

from msgspec import Struct, field

from orioleplank.decision.accounts import AccountTable

# Idle limit of a transaction when none is configured, in seconds: one day, effectively unlimited.
DEFAULT_TRANSACTION_IDLE_S = 86400.0


@unique
class Consistency(Enum):
    """Which commits a read has to reflect."""

    # Every commit acknowledged before the read began.
    PRIMARY = "primary"
    # Every commit acknowledged more than the route's `max_age` before the read.
    BOUNDED_STALENESS = "bounded"
    # As `BOUNDED_STALENESS`, and also every commit of the session itself.
    READ_YOUR_WRITES = "own-writes"


class Route(Struct, frozen=True, array_like=True):
    """The route of one database."""

    # Database name that callers send at the start of a session.
    database: str
    consistency: Consistency
    # Name of the service that runs its statements.
    service: str
    # Timeout of one statement, in seconds.
    timeout: float
    # Maximum staleness of a read, in seconds; 0 allows none.
    max_age: float = 0.0
    # 0 is the highest priority.
    priority: int = 0
    # True if it also serves callers whose key belongs to no account.
    is_public: bool = False


class ServiceLimits(Struct, frozen=True):
    """Configured limits of one service."""

    # Connections that each instance of the service accepts, from all proxies together.
    max_connections: int
    # Replicas that confirm a commit before it is acknowledged.
    sync_replicas: int = 0


class RouteTable(Struct, frozen=True):
    """One version of the routes and limits."""

    # 0 before the first version is known.
    version: int = 0
    # Routes by database.
    routes: Mapping[str, Route] = field(default_factory=dict)
    # Limits by service.
    services: Mapping[str, ServiceLimits] = field(default_factory=dict)
    # How long a transaction may stay idle, in seconds.
    transaction_idle: float = DEFAULT_TRANSACTION_IDLE_S
    # None when the configuration has no list of accounts; then callers are not identified.
    accounts: AccountTable | None = None

    def select_newer(self, other: RouteTable) -> RouteTable:
        """Return the table with the higher version; this one when they are equal."""
        return other if other.version > self.version else self
