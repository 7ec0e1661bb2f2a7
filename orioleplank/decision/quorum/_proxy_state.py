"""What the parts of one proxy's decisions share."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from orioleplank.decision.quorum._configuration import Configuration
from orioleplank.decision.quorum._connection_pool import ConnectionPool
from orioleplank.decision.quorum._effect import Effect, Event, LogEvent
from orioleplank.decision.quorum._group_view import GroupView
from orioleplank.decision.quorum._membership import Membership
from orioleplank.decision.quorum._routing import RoutingContext
from orioleplank.decision.quorum._safeguards import ALL_SAFEGUARDS, Safeguard, Safeguards
from orioleplank.decision.quorum._specs import ServiceSpec


@dataclass(frozen=True, slots=True)
class ProxyIdentity:
    """Who a proxy is."""

    # Name, unique among the proxies.
    name: str
    # This run of it, unique for ever.
    incarnation: str
    # Availability zone.
    zone: str
    # Seed of its random numbers.
    seed: int = 0


@dataclass(frozen=True, slots=True, order=True)
class InstanceKey:
    """Names an instance."""

    # Name of the service.
    service: str
    # Name of the instance.
    instance: str


@dataclass(slots=True)
class ProxyState:
    """State that several parts of one proxy read, and the effects they add to.

    The values in it are frozen; each part replaces those it owns.
    """

    # Who the proxy is.
    identity: ProxyIdentity
    # The other proxies.
    membership: Membership
    # Mechanisms in force.
    safeguards: Safeguards = ALL_SAFEGUARDS
    # The configuration in force.
    configuration: Configuration = field(default_factory=Configuration)
    # Groups by service.
    group_views: dict[str, GroupView] = field(default_factory=dict)
    # Connections by service and instance.
    pools: dict[str, dict[str, ConnectionPool]] = field(default_factory=dict)
    # Services for which a round is wanted now.
    requested_rounds: set[str] = field(default_factory=set)
    # Instances that statements wait for a slot of.
    starved_instances: set[InstanceKey] = field(default_factory=set)
    # Proxy's monotonic clock, in seconds.
    now: float = 0.0
    # Seconds since the epoch, for the author's time of changes only.
    wall_time: float = 0.0
    # What is to be done.
    effects: list[Effect] = field(default_factory=list)
    # Generator for choices and backoff.
    random: Random = field(default_factory=Random)

    def emit(self, *effects: Effect) -> None:
        """Add what is to be done."""
        self.effects.extend(effects)

    def log_event(self, event: Event, step: str, peer: str = "", detail: str = "") -> None:
        """Log a numbered event."""
        self.effects.append(LogEvent(event, step, peer, detail))

    def leaving_instances(self) -> frozenset[str]:
        """Return the instances that take no new work by the platform's list."""
        if not self.safeguards.is_enabled(Safeguard.LEAVING):
            return frozenset()
        return self.membership.leaving_vms()

    def service_spec(self, service: str) -> ServiceSpec:
        """Return a service that is known to be configured."""
        spec = self.configuration.service(service)
        assert spec is not None
        return spec

    def routing_context(self, service: str) -> RoutingContext:
        """Return what a routing decision for `service` looks at."""
        return RoutingContext(
            self.service_spec(service),
            self.group_views[service],
            self.pools[service],
            self.leaving_instances(),
            self.identity.zone,
            self.now,
        )
