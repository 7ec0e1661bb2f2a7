"""Monitoring of all primaries; starts the failover of failed and the switchover of draining ones.

All proxies monitor, but act in the order of their rank for a service, each `RANK_DELAY_S` after the
one before, so that normally a single proxy starts a failover.
"""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from msgspec import Struct
from twisted.internet.defer import Deferred

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.failover import (
    PrimaryFailingWork,
    PrimaryHealth,
    PrimaryHealthy,
    PrimaryLeaving,
    PrimarySuspected,
    assess_primary,
)
from orioleplank.decision.group import (
    GroupPhase,
    GroupRecord,
    PrimaryUnknown,
    RecordInForce,
    RecordLost,
    RecordMissing,
    VersionedGroupRecord,
    assess_record,
)
from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._action_ranking import ActionRanking
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._failover import FailoverCoordinator
from orioleplank.gateway._failure_confirmation import FailureConfirmation
from orioleplank.gateway._group_record_writer import RETRY_DELAY_S
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._notifier import sleep

# Interval of the checks of each primary.
PRIMARY_CHECK_INTERVAL_S = 0.25
# A proxy acts this much later than the one ranked before it.
RANK_DELAY_S = 0.4
# A primary that has sent no response for this long is probed even without work in progress.
IDLE_PROBE_AFTER_S = 1.5
# An instance with requests in progress that has sent no response for this long is probed: longer
# than most statements take.
OVERDUE_RESPONSE_S = 0.4
# Shortest interval between probes of an instance: a probe may fail without any delay.
MIN_PROBE_INTERVAL_S = 0.1
# Number of proxies, by rank, that probe a primary while it is idle.
IDLE_PRIMARY_PROBERS = 2
# A failover whose record has not changed for this long is taken over. Its holder writes the record
# at least every `RECORD_REFRESH_INTERVAL_S`.
FAILOVER_TAKEOVER_TIMEOUT_S = 1.5
# The same once the leases are released: the holder may have requested a promotion that ends the
# failover without a successor.
PROMOTION_TAKEOVER_TIMEOUT_S = 4.0
# After a restore of the store, how long a proxy without a lease leaves it to those with one to
# write a group record again: longer than it takes all of them to learn of the restore.
RECORD_RECOVERY_DELAY_S = 1.5


class _UnchangedAssessment(Struct, frozen=True):
    """The latest kind of assessment of a primary, and since when it has been the same."""

    kind: type[object]
    # Seconds of the monotonic clock.
    unchanged_since: float


class PrimaryMonitor:
    """Assesses the primaries of all services periodically, and starts failovers and switchovers.

    At most one action (failover, switchover, confirmation by peers or first group record) runs per
    service in this proxy.
    """

    def __init__(
        self,
        reactor: Any,
        cluster_state: ClusterState,
        event_log: EventLog,
        prober: InstanceProber,
        failovers: FailoverCoordinator,
        own_record: ProxyRecord,
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._prober = prober
        self._failovers = failovers
        self._own_record = own_record
        self._assessments: dict[str, _UnchangedAssessment] = {}
        # Store revision of each running failover's record, and since when it has not changed.
        self._failover_revisions: dict[str, tuple[int, float]] = {}
        # Services with an action in progress.
        self._services_in_action: set[str] = set()
        self._probing: set[str] = set()
        # When each instance was last probed, in seconds of the monotonic clock.
        self._probed_at: dict[str, float] = {}
        self._ranking = ActionRanking(cluster_state, own_record.name)
        self._confirmation = FailureConfirmation(cluster_state, event_log, prober, own_record)

    # Periodic checks.

    def check_primaries(self) -> None:
        """Assess the primary of every service once, and probe instances that may have failed."""
        if self._failovers.is_stopped or not self._cluster_state.leases.leases_start_at > float(
            "-inf"
        ):
            return
        self._probed_at = {
            name: probed_at
            for name, probed_at in self._probed_at.items()
            if name in self._cluster_state.pools
        }
        for instance in self._cluster_state.pools:
            self._probe_if_unresponsive(instance)
        for service in self._cluster_state.routes.services:
            if service not in self._services_in_action:
                self._check_service(service)

    def _check_service(self, service: str) -> None:
        cluster_state = self._cluster_state
        match assess_record(cluster_state.leases, service, cluster_state.lease_clock()):
            case RecordMissing() as state:
                if self._may_act(service, state):
                    self._start_action(service, self._failovers.create_group_record(service))
            case RecordLost() as state:
                if self._may_act(service, state):
                    self._start_action(service, self._failovers.reinstate(state))
            case PrimaryUnknown() as state:
                delay_s = 0.0 if state.is_moving else RECORD_RECOVERY_DELAY_S
                if self._may_act(service, state, delay_s):
                    self._start_action(service, self._failovers.recover(state))
            case RecordInForce(versioned_record):
                if versioned_record.record.phase is GroupPhase.MOVING:
                    self._check_failover(service, versioned_record)
                else:
                    self._failover_revisions.pop(service, None)
                    self._check_primary(service, versioned_record)

    def _check_primary(self, service: str, versioned_record: VersionedGroupRecord) -> None:
        match assess_primary(self._collect_health(versioned_record.record)):
            case PrimaryHealthy() if not self._failovers.sync_keeper.is_outdated(
                versioned_record.record
            ):
                self._assessments.pop(service, None)
            case PrimaryHealthy() as assessment:
                if self._may_act(service, assessment):
                    update = self._failovers.sync_keeper.update(versioned_record)
                    self._start_action(service, update)
            case PrimarySuspected() if self._is_monitored_by_owners(
                versioned_record.record.primary
            ):
                pass
            case PrimarySuspected(reason) as assessment:
                may_act = self._may_act(service, assessment)
                self._run_exclusively(
                    service, self._confirm_failure(service, versioned_record, reason, may_act)
                )
            case PrimaryFailingWork() if not self._judges_work(versioned_record.record.primary):
                pass
            case PrimaryFailingWork(reason) as assessment:
                if self._may_act(service, assessment):
                    self._run_exclusively(
                        service, self._confirm_work_failure(service, versioned_record, reason)
                    )
            case PrimaryLeaving() as assessment if self._may_act(service, assessment):
                self._start_action(service, self._failovers.switch_over(service, versioned_record))
            case assessment if self._may_act(service, assessment):
                self._start_action(
                    service, self._failovers.fail_over(service, versioned_record, planned=False)
                )

    def _check_failover(self, service: str, versioned_record: VersionedGroupRecord) -> None:
        """Take over a failover whose record is no longer refreshed by its holder."""
        now = self._cluster_state.now()
        revision, unchanged_since = self._failover_revisions.get(service, (0, now))
        if revision != versioned_record.revision:
            self._failover_revisions[service] = (versioned_record.revision, now)
            return
        takeover_delay = self._takeover_delay(versioned_record.record)
        # The holder itself takes no part in its succession.
        successors = [
            name for name in self._ranking.names(service) if name != versioned_record.record.holder
        ]
        rank = successors.index(self._own_record.name) if self._own_record.name in successors else 0
        delay = takeover_delay + rank * RANK_DELAY_S
        if now - unchanged_since >= delay:
            self._start_action(
                service,
                self._failovers.fail_over(
                    service, versioned_record, versioned_record.record.planned
                ),
            )

    def _takeover_delay(self, record: GroupRecord) -> float:
        """Return for how long a failover's record must not change before it is taken over.

        A successor waits itself for a promotion that the holder may have requested. Before the
        leases are recorded as released it has requested none: it would have to write the record
        first, and fails to once another proxy has written it.
        """
        if self._has_holder_ended(record):
            return 0.0
        is_early = self._cluster_state.mechanisms.is_on(Mechanism.EARLY_SUCCESSION)
        if record.released or not is_early:
            return PROMOTION_TAKEOVER_TIMEOUT_S
        return FAILOVER_TAKEOVER_TIMEOUT_S

    def _has_holder_ended(self, record: GroupRecord) -> bool:
        """Return whether the incarnation that holds a failover has certainly ended."""
        if record.holder == self._own_record.name:
            return True
        holder = self._cluster_state.fleet.proxies.get(record.holder)
        return (
            holder is not None
            and holder.era == record.era
            and holder.incarnation != record.incarnation
        )

    def _may_act(self, service: str, assessment: object, delay_s: float = 0.0) -> bool:
        """Return whether an assessment has been the same for `delay_s` and this proxy's delay."""
        now, kind = self._cluster_state.now(), type(assessment)
        latest = self._assessments.get(service)
        if latest is None or latest.kind is not kind:
            latest = _UnchangedAssessment(kind, now)
            self._assessments[service] = latest
        return (
            now - latest.unchanged_since >= delay_s + self._ranking.own_rank(service) * RANK_DELAY_S
        )

    def _is_monitored_by_owners(self, primary: str) -> bool:
        """Return whether other proxies own the connections to a primary, and so monitor it."""
        owners = self._cluster_state.connection_owners(primary)
        return bool(owners) and self._own_record.name not in owners

    def _collect_health(self, record: GroupRecord) -> PrimaryHealth:
        known = self._cluster_state.directory.instances.get(record.primary)
        pool = self._cluster_state.pools.get(record.primary)
        return PrimaryHealth(
            is_listed=known is not None,
            is_leaving=known is not None and known.is_leaving(self._cluster_state.now()),
            failing_for=pool.failing_for if pool else 0.0,
            failures=pool.consecutive_failures if pool else 0,
            denies_primary_role=pool is not None and pool.denies_primary_role,
            work_failing_for=pool.work_status.failing_for if pool else 0.0,
            leading_for=self._cluster_state.primaries.leading_for(record.service),
        )

    def _judges_work(self, primary: str) -> bool:
        """Return whether this proxy acts on a primary's work: it has connections of its own."""
        is_on = self._cluster_state.mechanisms.is_on(Mechanism.WORK_FAILURES)
        return is_on and not self._is_monitored_by_owners(primary)

    def _probe_if_unresponsive(self, instance: str) -> None:
        """Probe an instance that fails or whose responses are overdue; a primary also when idle."""
        pool, now = self._cluster_state.pools[instance], self._cluster_state.now()
        since_last_probe = now - self._probed_at.get(instance, float("-inf"))
        if instance in self._probing or since_last_probe < MIN_PROBE_INTERVAL_S:
            return
        time_since_reply = now - pool.last_reply_at
        is_overdue = pool.in_flight > 0 and time_since_reply >= OVERDUE_RESPONSE_S
        if (
            pool.consecutive_failures
            or is_overdue
            or (time_since_reply >= IDLE_PROBE_AFTER_S and self._probes_while_idle(pool.entry))
        ):
            self._probing.add(instance)
            self._probed_at[instance] = now
            probe = Deferred.fromCoroutine(self._prober.probe(pool))

            def mark_finished(result: object) -> object:
                self._probing.discard(instance)
                return result

            probe.addBoth(mark_finished).addErrback(self._log_failure)

    # Work per service.

    def _probes_while_idle(self, entry: InstanceEntry) -> bool:
        """Return whether an instance is a primary that this proxy has to probe while it is idle."""
        lease = self._cluster_state.lease(entry.service)
        is_primary = lease is not None and lease.primary == entry.id
        return is_primary and self._ranking.own_rank(entry.service) < IDLE_PRIMARY_PROBERS

    def _start_action(self, service: str, work: Coroutine[Any, Any, None]) -> None:
        self._assessments.pop(service, None)
        self._run_exclusively(service, work)

    def _run_exclusively(self, service: str, work: Coroutine[Any, Any, None]) -> None:
        self._services_in_action.add(service)

        def end_action(_: object) -> None:
            self._services_in_action.discard(service)

        Deferred.fromCoroutine(work).addErrback(self._log_failure).addBoth(end_action)

    def _log_failure(self, failure: Any) -> None:
        if isinstance(failure.value, OrioleplankError):
            self._event_log.log_event(EventType.MOVE, outcome="given up", why=str(failure.value))
            return
        self._event_log.log_event(
            EventType.ERROR, step="move primary", detail=failure.getTraceback()
        )

    async def _confirm_failure(
        self, service: str, versioned_record: VersionedGroupRecord, reason: str, may_act: bool
    ) -> None:
        """Ask other proxies about a primary that does not respond to this one.

        If one of them reaches it, new connections to it go through a tunnel of that proxy. If none
        does and `may_act` is True, a failover is started.
        """
        is_failed = await self._confirmation.is_failure_confirmed(versioned_record.record, reason)
        if is_failed and may_act:
            self._assessments.pop(service, None)
            await self._failovers.fail_over(service, versioned_record, planned=False)
            return
        if not is_failed:
            self._assessments.pop(service, None)
        await sleep(self._reactor, RETRY_DELAY_S)

    async def _confirm_work_failure(
        self, service: str, versioned_record: VersionedGroupRecord, reason: str
    ) -> None:
        """Replace a primary that fails its work at other proxies too.

        It is replaced like a draining one: it still replicates and finishes running work.
        """
        if await self._confirmation.is_work_failure_confirmed(versioned_record.record, reason):
            self._assessments.pop(service, None)
            await self._failovers.fail_over(service, versioned_record, planned=True)
            return
        await sleep(self._reactor, RETRY_DELAY_S)
