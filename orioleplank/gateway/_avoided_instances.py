"""Instances that a request avoids for a short time after a failure or refusal there."""

from __future__ import annotations

from orioleplank.gateway._instance_executor import InstanceExecutor
from orioleplank.gateway._outcome import Refused

# How long a statement avoids an instance that failed or refused it, in seconds.
INSTANCE_AVOIDANCE_S = 0.1


class AvoidedInstances:
    """Instances that a statement avoids for `INSTANCE_AVOIDANCE_S` after a failure or refusal."""

    def __init__(self, executor: InstanceExecutor) -> None:
        self._now = executor.cluster_state.now
        self._avoided_until: dict[str, float] = {}
        # The latest refusal or failure at each instance.
        self.refusals: dict[str, Refused] = {}
        # True once the statement has waited for a replica.
        self.has_waited = False

    def add(self, instance: str, refusal: Refused | None = None) -> None:
        """Avoid an instance for `INSTANCE_AVOIDANCE_S`."""
        self._avoided_until[instance] = self._now() + INSTANCE_AVOIDANCE_S
        if refusal is not None:
            self.refusals[instance] = refusal

    @property
    def full(self) -> frozenset[str]:
        """Instances whose latest refusal stated when to retry, because many wait there."""
        return frozenset(name for name, r in self.refusals.items() if r.has_retry_after)

    def contains(self, instance: str) -> bool:
        """Return whether an instance is avoided now."""
        return self._now() < self._avoided_until.get(instance, 0.0)

    @property
    def has_any(self) -> bool:
        """True when an instance is avoided now, so that a short wait may make it available."""
        return any(self._now() < avoided_until for avoided_until in self._avoided_until.values())
