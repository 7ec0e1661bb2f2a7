"""The nodes of a simulated cluster: proxies and instances, with the state of their links."""

from __future__ import annotations

from dataclasses import dataclass, field

from orioleplank.decision.quorum import ConnectionId, Proxy
from orioleplank.standin import Instance
from orioleplank.tests._simulator import Node


@dataclass(frozen=True, slots=True, order=True)
class ConnectionKey:
    """Identifies a connection at its instance, also across restarts of the proxy."""

    # Name of the proxy.
    proxy: str
    # Generation of the proxy that opened it.
    generation: int
    connection: ConnectionId


@dataclass(slots=True)
class ProxyNode(Node):
    """A proxy: its decision logic and the state that the simulation keeps for it."""

    proxy: Proxy = field(init=False)
    # Offset of its monotonic clock from the simulated time, in seconds.
    clock_offset: float = 0.0
    # Error of its wall clock, in seconds.
    wall_clock_offset: float = 0.0
    # Names of the instances to which it has opened a control stream.
    watched_instances: set[str] = field(default_factory=set)
    # Connections that it has open or is opening.
    connections: set[ConnectionId] = field(default_factory=set)
    # Platform revision up to which it has received changes.
    revision: int = 0
    # True after a graceful stop.
    stopped: bool = False


@dataclass(slots=True)
class InstanceNode(Node):
    """An instance: its log, role and data, and counters for the checks."""

    instance: Instance = field(init=False)
    # Delay before it applies replicated entries, in seconds.
    lag: float = 0.003
    # Simulated time at which it last heard from its primary, in seconds.
    primary_heard_at: float = 0.0
    open_connections: set[ConnectionKey] = field(default_factory=set)
    # True while a batch of replicated entries is in transit.
    is_pulling: bool = False
    # Simulated times at which statements outside a transaction, or that begin one, were sent to it
    # after it was marked as leaving, in seconds.
    late_statement_times: list[float] = field(default_factory=list)
    # Number of statements that it is running.
    busy: int = 0
    # Highest number of statements running at once.
    most_busy: int = 0
    # Highest number of connections open at once.
    most_connections: int = 0
    # Simulated time at which it was marked as leaving, in seconds; 0 before.
    leaving_at: float = 0.0
