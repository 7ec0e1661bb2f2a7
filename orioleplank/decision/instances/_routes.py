"""Routes from a database's name to a service; versions only move up."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique

# Stands for a transaction that may rest as long as its caller likes: a day.
UNLIMITED_IDLE_S = 86400.0


@unique
class Consistency(Enum):
    """What reads of a route have to show."""

    # Every commit acknowledged before the read began.
    PRIMARY = "primary"
    # Every commit acknowledged longer ago than the route's greatest age.
    BOUNDED_STALENESS = "bounded"
    # The same, and every commit of the session itself.
    READ_YOUR_WRITES = "own-writes"


@dataclass(frozen=True, slots=True)
class Route:
    """One database as callers name it."""

    # Name that callers give at the start of a session.
    database: str
    # What its reads have to show.
    consistency: Consistency
    # Name of the service that runs its statements.
    service: str
    # Longest time for one statement, in seconds.
    timeout: float
    # Greatest age of what a read shows, in seconds; 0 for none.
    max_age: float = 0.0
    # 0 is the most important.
    priority: int = 0


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits of one service."""

    # Connections that each of its instances accepts, from all proxies together.
    max_connections: int
    # Replicas that confirm a commit before it is acknowledged.
    sync_replicas: int = 0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration."""

    # Its version; 0 before one is known.
    version: int = 0
    # Routes by database.
    routes: Mapping[str, Route] = field(default_factory=dict)
    # Limits by service.
    services: Mapping[str, ServiceLimits] = field(default_factory=dict)
    # How long a transaction may rest, in seconds.
    transaction_idle: float = UNLIMITED_IDLE_S

    def select_newer(self, other: RouteTable) -> RouteTable:
        """Return whichever has the higher version."""
        return other if other.version > self.version else self
