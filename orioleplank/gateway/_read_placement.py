"""Selects the instance for a read or a read-only transaction from what this proxy knows."""

from __future__ import annotations

from msgspec.structs import replace

from orioleplank.decision import ZERO_POSITION, Position
from orioleplank.decision.group import Lease
from orioleplank.decision.instances import Consistency, InstanceEntry
from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.routing import (
    NoInstanceAvailable,
    ReadCandidate,
    ReadRequirement,
    SelectedInstance,
    explain_candidate,
    place_read,
)
from orioleplank.gateway._avoided_instances import AvoidedInstances
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._instance_executor import InstanceExecutor, Request
from orioleplank.gateway._outcome import Outcome, Refused
from orioleplank.gateway._pool import INITIAL_LATENCY_S

# Limits of what a refusal says about the candidates: entries, and characters of each. A service has
# three instances; the limits hold where one has many.
MAX_EXPLAINED_CANDIDATES = 6
MAX_EXPLANATION_LENGTH = 120


class ReadPlacer:
    """Selects instances for reads, and explains why an instance does not serve one."""

    def __init__(self, executor: InstanceExecutor) -> None:
        self._executor = executor
        self._cluster_state = executor.cluster_state

    def select_instance(
        self, request: Request, avoided: AvoidedInstances
    ) -> SelectedInstance | NoInstanceAvailable:
        """Select an instance for a read or a read-only transaction."""
        cluster_state, route = self._cluster_state, request.route
        lease = self.usable_lease(request)
        primary = lease.primary if lease else ""
        requirement = ReadRequirement(self._needed_position(request))
        candidates = [
            self._build_candidate(entry, entry.id == primary, requirement)
            for entry in cluster_state.directory.entries_of_service(route.service)
            if not avoided.contains(entry.id) and accepts_work(cluster_state, entry.id, primary)
        ]
        placement = place_read(candidates, requirement)
        if isinstance(placement, NoInstanceAvailable) and lease is not None:
            return NoInstanceAvailable(f"primary {primary} takes no work now; {placement.reason}")
        return placement

    # Explanation of refusals.

    def add_explanation(
        self, request: Request, avoided: AvoidedInstances, outcome: Outcome
    ) -> Outcome:
        """Return the outcome of a read; a refusal states each candidate and the reason against."""
        if not isinstance(outcome, Refused):
            return outcome
        entries = self._cluster_state.directory.entries_of_service(request.route.service)
        reasons = (
            f"{entry.id}: {self._explain_instance(request, avoided, entry)}"
            for entry in tuple(entries)[:MAX_EXPLAINED_CANDIDATES]
        )
        candidates = tuple(reason[:MAX_EXPLANATION_LENGTH] for reason in reasons)
        return replace(outcome, candidates=candidates)

    def _explain_instance(
        self, request: Request, avoided: AvoidedInstances, entry: InstanceEntry
    ) -> str:
        lease = self.usable_lease(request)
        primary = lease.primary if lease else ""
        refusal = avoided.refusals.get(entry.id)
        if refusal is not None:
            return f"{refusal.failure.code.value}, {refusal.reason}"
        if not accepts_work(self._cluster_state, entry.id, primary):
            return "takes no work"
        requirement = ReadRequirement(self._needed_position(request))
        candidate = self._build_candidate(entry, entry.id == primary, requirement)
        return explain_candidate(candidate, requirement)

    # What a read requires, and the candidates.

    def _build_candidate(
        self, entry: InstanceEntry, is_primary: bool, requirement: ReadRequirement
    ) -> ReadCandidate:
        pool, mechanisms = self._cluster_state.pools[entry.id], self._cluster_state.mechanisms
        weighs_latency = mechanisms.is_on(Mechanism.LATENCY_PREFERENCE)
        zone = self._executor.zone
        return ReadCandidate(
            entry.id,
            entry.zone == zone or not mechanisms.is_on(Mechanism.ZONE_PREFERENCE),
            is_primary,
            entry.slots,
            pool.in_flight if weighs_latency else 0,
            pool.latency if weighs_latency else INITIAL_LATENCY_S,
            requirement.min_position is not None
            and pool.is_likely_behind(requirement.min_position),
        )

    def usable_lease(self, request: Request) -> Lease | None:
        """Return the lease on the primary if it allows a read of this route there, or None.

        The lease must cover the oldest acceptable time of the route, and its term must not be
        older than the session's position.
        """
        lease = self._cluster_state.lease(request.route.service)
        if lease is None or request.session.position.term > lease.term:
            return None
        return lease if lease.is_valid_at(_oldest_acceptable_time(request)) else None

    def _needed_position(self, request: Request) -> Position | None:
        """Return the log position that a replica must have reached for this request.

        None means that no replica may serve it, only the primary.
        """
        route, session_position = request.route, request.session.position
        if route.consistency is Consistency.PRIMARY:
            return None
        min_position = self._cluster_state.positions.find_minimum(
            route.service, _oldest_acceptable_time(request)
        )
        if (
            min_position is None
            or route.consistency is Consistency.BOUNDED_STALENESS
            or session_position == ZERO_POSITION
        ):
            return min_position
        # The last entries of an earlier term may have been lost in a failover, so positions of
        # different terms cannot be compared and only the primary may serve the read.
        return (
            max(min_position, session_position)
            if session_position.term == min_position.term
            else None
        )


def _oldest_acceptable_time(request: Request) -> float:
    if request.route.consistency is Consistency.PRIMARY:
        return request.received_at
    return request.received_at - request.route.max_age


def accepts_work(cluster_state: ClusterState, instance: str, primary: str) -> bool:
    """Return whether work may be sent to an instance, `primary` being the one relied on."""
    if instance not in cluster_state.pools:
        return False
    if instance == primary:
        return cluster_state.primary_accepts_work(instance)
    return cluster_state.directory.accepts_work(instance)
