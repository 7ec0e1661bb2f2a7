"""Selects the instance for a read or a read-only transaction from what this proxy knows."""

from __future__ import annotations

from collections.abc import Callable, Container
from zlib import crc32

from msgspec.structs import replace

from orioleplank.decision import ZERO_POSITION, Position
from orioleplank.decision.group import Lease
from orioleplank.decision.instances import Consistency, InstanceEntry
from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.routing import (
    NoInstanceAvailable,
    OwnerEstimate,
    Placement,
    ReadCandidate,
    ReadRequirement,
    ReplicaExpected,
    SelectedInstance,
    explain_candidate,
    place_read,
)
from orioleplank.gateway._avoided_instances import AvoidedInstances
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._instance_executor import InstanceExecutor, Request
from orioleplank.gateway._instance_health import INITIAL_LATENCY_S
from orioleplank.gateway._outcome import Outcome, Refused
from orioleplank.gateway._pool import InstancePool

# Limits of what a refusal says about the candidates: entries, and characters of each. A service has
# three instances; the limits hold where one has many.
MAX_EXPLAINED_CANDIDATES = 6
MAX_EXPLANATION_LENGTH = 120
# Longest wait for a replica before the instances are compared again, in seconds: the primary may
# have changed, or the replica may have stalled.
REPLICA_RECHECK_INTERVAL_S = 0.25
# Shortest wait for a replica, in seconds, so that rounding of times causes no further comparison.
MIN_WAIT_S = 0.001
# Reads that wait for the same position are sent over this time, in seconds, so that proxies with
# the same prediction do not all send at once.
WAIT_SPREAD_S = 0.05


class ReadPlacer:
    """Selects instances for reads, and explains why an instance does not serve one."""

    def __init__(self, executor: InstanceExecutor) -> None:
        self._executor = executor
        self._cluster_state = executor.cluster_state
        # Called at the end of each read that waited for a replica, with its service and outcome.
        self.on_wait_ended: Callable[[str, str], None] = lambda service, outcome: None

    async def await_instance(
        self, request: Request, avoided: AvoidedInstances
    ) -> SelectedInstance | NoInstanceAvailable:
        """Select an instance for a read or a read-only transaction.

        Wait for a replica where this is sooner than the primary, or the only way.
        """
        while True:
            placement = self.select_instance(request, avoided)
            if not isinstance(placement, ReplicaExpected):
                return placement
            avoided.has_waited = True
            seconds = min(max(MIN_WAIT_S, placement.wait), REPLICA_RECHECK_INTERVAL_S)
            service, position = request.route.service, placement.min_position
            await self._executor.progress.wait(service, position, seconds)

    def select_instance(self, request: Request, avoided: AvoidedInstances) -> Placement:
        """Return where a read or a read-only transaction goes now, or what it waits for.

        An instance that refused it because many wait there is asked again only if nothing else can
        serve it.
        """
        full = avoided.full if self._predicts_lag else frozenset()
        placement = self._select_among_others(request, avoided, full)
        if full and isinstance(placement, NoInstanceAvailable):
            return self._select_among_others(request, avoided, frozenset())
        return placement

    def _select_among_others(
        self, request: Request, avoided: AvoidedInstances, excluded: Container[str]
    ) -> Placement:
        cluster_state, route = self._cluster_state, request.route
        lease = self.usable_lease(request)
        primary = lease.primary if lease else ""
        requirement = self.build_requirement(request)
        candidates = [
            self.build_candidate(entry, entry.id == primary, requirement, request)
            for entry in cluster_state.directory.entries_of_service(route.service)
            if entry.id not in excluded
            and not avoided.contains(entry.id)
            and accepts_work(cluster_state, entry.id, primary)
        ]
        placement = place_read(candidates, requirement, self._executor.random)
        if isinstance(placement, NoInstanceAvailable) and lease is not None:
            reason = f"primary {primary} takes no work now; {placement.reason}"
            return replace(placement, reason=reason)
        return placement

    @property
    def _predicts_lag(self) -> bool:
        return self._cluster_state.mechanisms.is_on(Mechanism.LAG_PREDICTION)

    # Replies of replicas.

    def avoid_lagging(
        self, request: Request, avoided: AvoidedInstances, instance: str, refusal: Refused
    ) -> None:
        """Avoid a replica that lacked the position of a read, until it is expected to have it.

        Where this is not predicted, or the replica reports the position that it lacked, it is
        avoided as after any other refusal, so that it is not asked again at once.
        """
        pool, position = self._cluster_state.pools.get(instance), self._needed_position(request)
        if pool is None or position is None or not self._predicts_lag:
            avoided.add(instance, refusal)
            return
        pool.reports.record_miss(self._cluster_state.lease_clock())
        is_expected = self._executor.progress.expected_at(pool, position) is not None
        if not is_expected or pool.reports.has(position):
            avoided.add(instance, refusal)
        else:
            avoided.refusals[instance] = refusal

    # The end of a read.

    def finish(self, request: Request, avoided: AvoidedInstances, outcome: Outcome) -> Outcome:
        """Count a read that waited for a replica; return its outcome, explained if refused."""
        if avoided.has_waited:
            self.on_wait_ended(request.route.service, self._name_end(request, outcome))
        if isinstance(outcome, Refused):
            return self._add_explanation(request, avoided, outcome)
        return outcome

    def _name_end(self, request: Request, outcome: Outcome) -> str:
        """Return who answered, or the code of the refusal."""
        if isinstance(outcome, Refused):
            return outcome.failure.code.value
        lease = self._cluster_state.lease(request.route.service)
        is_primary = lease is not None and lease.primary == outcome.instance
        return "primary" if is_primary else "replica"

    def _add_explanation(
        self, request: Request, avoided: AvoidedInstances, outcome: Refused
    ) -> Refused:
        """Return a refusal that states each candidate and the reason against it."""
        entries = self._cluster_state.directory.entries_of_service(request.route.service)
        reasons = (
            f"{entry.id}: {self.explain_instance(request, avoided, entry)}"
            for entry in tuple(entries)[:MAX_EXPLAINED_CANDIDATES]
        )
        candidates = tuple(reason[:MAX_EXPLANATION_LENGTH] for reason in reasons)
        return replace(outcome, candidates=candidates)

    def explain_instance(
        self, request: Request, avoided: AvoidedInstances, entry: InstanceEntry
    ) -> str:
        """Return the reason against an instance, or that it may serve the request."""
        lease = self.usable_lease(request)
        primary = lease.primary if lease else ""
        refusal = avoided.refusals.get(entry.id)
        if refusal is not None:
            return f"{refusal.failure.code.value}, {refusal.reason}"
        if not accepts_work(self._cluster_state, entry.id, primary):
            return "takes no work"
        requirement = self.build_requirement(request)
        candidate = self.build_candidate(entry, entry.id == primary, requirement, request)
        return explain_candidate(candidate, requirement)

    # What a read requires, and the candidates.

    def build_requirement(self, request: Request) -> ReadRequirement:
        """Return what a read requires of an instance now."""
        return ReadRequirement(
            self._needed_position(request), self._executor.remaining_time(request)
        )

    def build_candidate(
        self,
        entry: InstanceEntry,
        is_primary: bool,
        requirement: ReadRequirement,
        request: Request,
    ) -> ReadCandidate:
        """Return what placement compares of an instance that accepts work."""
        pool, mechanisms = self._cluster_state.pools[entry.id], self._cluster_state.mechanisms
        wait = None if is_primary else self._expected_wait(pool, requirement, request)
        weighs_latency = mechanisms.is_on(Mechanism.LATENCY_PREFERENCE)
        zone = self._executor.zone
        return ReadCandidate(
            entry.id,
            entry.zone == zone or not mechanisms.is_on(Mechanism.ZONE_PREFERENCE),
            is_primary,
            entry.slots,
            pool.in_flight if weighs_latency else 0,
            pool.latency if weighs_latency else INITIAL_LATENCY_S,
            # The lag backoff holds where the lag is not predicted.
            wait is None
            and requirement.min_position is not None
            and pool.is_likely_behind(requirement.min_position),
            wait or 0.0,
            (
                self._cluster_state.owner_estimate(entry, request.account.name)
                if weighs_latency
                else OwnerEstimate()
            ),
        )

    def _expected_wait(
        self, pool: InstancePool, requirement: ReadRequirement, request: Request
    ) -> float | None:
        """Return the seconds until an instance has the required position; None if unknown."""
        position = requirement.min_position
        if position is None or not self._predicts_lag:
            return None
        if pool.reports.has(position):
            return 0.0
        expected_at = self._executor.progress.expected_at(pool, position)
        if expected_at is None:
            return None
        send_at = expected_at + WAIT_SPREAD_S * _share_of(request.id)
        wait = max(0.0, send_at - self._cluster_state.lease_clock())
        # A replica that would be too late is asked between two lag backoffs. The prediction holds
        # only as long as the lag does not change, and a replica that is sent nothing reports
        # nothing: reads would be refused for seconds after it has caught up.
        if wait >= requirement.time_left and not pool.is_likely_behind(position):
            return None
        return wait

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


def _share_of(request_id: str) -> float:
    """Return a number from 0 to 1 that is the same for each attempt of a request."""
    return crc32(request_id.encode()) / 0xFFFFFFFF


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
