"""State that the managers of one proxy share."""

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
    """Identifies one run of a proxy, and says where it runs."""

    # Unique in the fleet.
    name: str
    # Identifies this run of the process; never reused.
    incarnation: str
    zone: str
    # Seed of the random number generator.
    seed: int = 0


@dataclass(frozen=True, slots=True, order=True)
class InstanceKey:
    """Identifies an instance of a service."""

    service: str
    instance: str


@dataclass(slots=True)
class ProxyState:
    """Shared state of the managers of one proxy, and the effects that they emit.

    Most values are immutable; each manager replaces the ones that it owns.
    """

    identity: ProxyIdentity
    # What is known of the other proxies.
    membership: Membership
    # Safety mechanisms that are enabled.
    safeguards: Safeguards = ALL_SAFEGUARDS
    configuration: Configuration = field(default_factory=Configuration)
    # Views of the groups, by service.
    group_views: dict[str, GroupView] = field(default_factory=dict)
    # Connection pools, by service and instance.
    pools: dict[str, dict[str, ConnectionPool]] = field(default_factory=dict)
    # Services that need a new probe round at once.
    requested_rounds: set[str] = field(default_factory=set)
    # Instances at which statements wait for a slot.
    starved_instances: set[InstanceKey] = field(default_factory=set)
    # Time of the monotonic clock at the current message, in seconds.
    now: float = 0.0
    # Seconds since the epoch; used only to date changes written by this proxy.
    wall_time: float = 0.0
    # Effects emitted while the current message is processed.
    effects: list[Effect] = field(default_factory=list)
    # Random number generator for routing and backoff.
    random: Random = field(default_factory=Random)

    def emit(self, *effects: Effect) -> None:
        """Append effects, to be carried out in order."""
        self.effects.extend(effects)

    def log_event(self, event: Event, step: str, peer: str = "", detail: str = "") -> None:
        """Emit a log event."""
        self.effects.append(LogEvent(event, step, peer, detail))

    def leaving_instances(self) -> frozenset[str]:
        """Return the names of the instances that take no new work, according to the platform."""
        if not self.safeguards.is_enabled(Safeguard.LEAVING):
            return frozenset()
        return self.membership.leaving_vms()

    def service_spec(self, service: str) -> ServiceSpec:
        """Return the specification of a service, which must be configured."""
        spec = self.configuration.service(service)
        assert spec is not None
        return spec

    def routing_context(self, service: str) -> RoutingContext:
        """Return the input to a routing decision for `service`, besides the request."""
        return RoutingContext(
            self.service_spec(service),
            self.group_views[service],
            self.pools[service],
            self.leaving_instances(),
            self.identity.zone,
            self.now,
        )
