"""The nodes of a world: proxies and instances, with what their links remember."""

from __future__ import annotations

from dataclasses import dataclass, field

from orioleplank.decision.quorum import ConnectionId, Proxy
from orioleplank.standin import Instance
from orioleplank.tests._simulator import Node


@dataclass(frozen=True, slots=True, order=True)
class ConnectionKey:
    """A connection as its instance knows it."""

    # Name of the proxy.
    proxy: str
    # Run of the proxy.
    generation: int
    # The connection.
    connection: ConnectionId


@dataclass(slots=True)
class ProxyNode(Node):
    """One proxy."""

    # Its decisions.
    proxy: Proxy = field(init=False)
    # Added to the fabric's time for its monotonic clock, in seconds.
    clock_offset: float = 0.0
    # Added to its wall clock, in seconds.
    wall_clock_offset: float = 0.0
    # Instances it watches.
    watched_instances: set[str] = field(default_factory=set)
    # Connections it has open.
    connections: set[ConnectionId] = field(default_factory=set)
    # Revision up to which it has read the platform.
    revision: int = 0
    # True once it has stopped gracefully.
    stopped: bool = False


@dataclass(slots=True)
class InstanceNode(Node):
    """One instance."""

    # Its log, role and data.
    instance: Instance = field(init=False)
    # Seconds by which it applies entries late.
    lag: float = 0.003
    # When it last heard its primary, in seconds of the fabric.
    primary_heard_at: float = 0.0
    # Open connections.
    open_connections: set[ConnectionKey] = field(default_factory=set)
    # True while a batch of entries is under way.
    is_pulling: bool = False
    # When statements were sent to it after it was marked as leaving.
    late_statement_times: list[float] = field(default_factory=list)
    # Statements that run now.
    busy: int = 0
    # Most statements that ran at once.
    most_busy: int = 0
    # Most connections open at once.
    most_connections: int = 0
    # When it was marked as leaving, in seconds of the fabric; 0 before.
    leaving_at: float = 0.0
