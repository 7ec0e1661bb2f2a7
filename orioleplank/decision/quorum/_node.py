"""What the parts of one proxy's decisions share."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from orioleplank.decision.quorum._configuration import Configuration
from orioleplank.decision.quorum._effect import Effect, Event, Note
from orioleplank.decision.quorum._group import GroupView
from orioleplank.decision.quorum._mechanism import ALL_MECHANISMS, Mechanisms, Switch
from orioleplank.decision.quorum._membership import Membership
from orioleplank.decision.quorum._pool import Pool
from orioleplank.decision.quorum._routing import Surroundings
from orioleplank.decision.quorum._specs import ServiceSpec


@dataclass(frozen=True, slots=True)
class Identity:
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
class Node:
    """State that several parts of one proxy read, and the effects they add to.

    The values in it are frozen; each part replaces those it owns.
    """

    # Who the proxy is.
    identity: Identity
    # The other proxies.
    membership: Membership
    # Mechanisms in force.
    mechanisms: Mechanisms = ALL_MECHANISMS
    # The configuration in force.
    configuration: Configuration = field(default_factory=Configuration)
    # Groups by service.
    views: dict[str, GroupView] = field(default_factory=dict)
    # Connections by service and instance.
    pools: dict[str, dict[str, Pool]] = field(default_factory=dict)
    # Services for which a round is wanted now.
    wanted_rounds: set[str] = field(default_factory=set)
    # Instances that statements wait for a slot of.
    starved: set[InstanceKey] = field(default_factory=set)
    # Proxy's monotonic clock, in seconds.
    now: float = 0.0
    # Seconds since the epoch, for the author's time of changes only.
    wall: float = 0.0
    # What is to be done.
    effects: list[Effect] = field(default_factory=list)
    # Generator for choices and backoff.
    random: Random = field(default_factory=Random)

    def emit(self, *effects: Effect) -> None:
        """Add what is to be done."""
        self.effects.extend(effects)

    def note(self, event: Event, step: str, peer: str = "", detail: str = "") -> None:
        """Log a numbered event."""
        self.effects.append(Note(event, step, peer, detail))

    def leaving(self) -> frozenset[str]:
        """Return the instances that take no new work by the platform's list."""
        if not self.mechanisms.on(Switch.LEAVING):
            return frozenset()
        return self.membership.leaving_vms()

    def spec(self, service: str) -> ServiceSpec:
        """Return a service that is known to be configured."""
        spec = self.configuration.service(service)
        assert spec is not None
        return spec

    def surroundings(self, service: str) -> Surroundings:
        """Return what a routing decision for `service` looks at."""
        return Surroundings(
            self.spec(service),
            self.views[service],
            self.pools[service],
            self.leaving(),
            self.identity.zone,
            self.now,
        )
