"""Promotion of an instance once no proxy relies on the old primary any longer."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace
from twisted.internet.defer import Deferred

from orioleplank.decision.failover import (
    InstanceReport,
    PromotionSafe,
    PromotionSafety,
    PromotionUnsafe,
    has_caught_up_replica,
    select_candidates,
)
from orioleplank.decision.group import GroupRecord
from orioleplank.decision.instances import DbRole
from orioleplank.decision.mechanisms import Mechanism
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._group_record_writer import (
    RETRY_DELAY_S,
    ClaimedFailover,
    FailoverSupersededError,
    GroupRecordWriter,
)
from orioleplank.gateway._instance_prober import InstanceProber
from orioleplank.gateway._interfaces import PromotionService, StoreUnavailableError
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._sync_replication import SyncReplicationKeeper

# A promotion is requested only within this time after the group record was written.
PROMOTION_REQUEST_WINDOW_S = 2.0
# Time for a promotion to take effect before another one is requested.
PROMOTION_EFFECT_TIMEOUT_S = 3.0
# Interval of the probes of the instance that is being promoted.
PROMOTION_EFFECT_CHECK_INTERVAL_S = 0.05
# How long a switchover waits for a replica that has received the whole log.
CATCH_UP_TIMEOUT_S = 1.5
# Interval at which the received positions of the replicas are read during that wait.
CATCH_UP_CHECK_INTERVAL_S = 0.02


class InstancePromoter:
    """Requests the promotions of a claimed failover, under its revision as the fencing token."""

    def __init__(
        self,
        reactor: Any,
        cluster_state: ClusterState,
        promotions: PromotionService,
        prober: InstanceProber,
        writer: GroupRecordWriter,
        sync_keeper: SyncReplicationKeeper,
    ) -> None:
        self._reactor = reactor
        self._cluster_state = cluster_state
        self._promotions = promotions
        self._prober = prober
        self._writer = writer
        self._sync_keeper = sync_keeper

    async def _mark_released(self, failover: ClaimedFailover) -> None:
        """Record that no proxy relies on the old primary; must precede the first promotion."""
        await self._writer.write(failover, replace(failover.record, released=True))

    async def promote(self, failover: ClaimedFailover, old_record: GroupRecord) -> InstanceReport:
        """Promote the instance with the newest received position; return its report as primary.

        With synchronous replication it waits for an instance that holds all acknowledged commits.

        The reports are collected while the record is written as released. In a failover the report
        of the old primary is not awaited, unless it may stay.
        """
        catch_up_deadline = self._cluster_state.now() + CATCH_UP_TIMEOUT_S
        may_skip_report = self._cluster_state.mechanisms.is_on(Mechanism.UNAWAITED_REPORT)
        record = failover.record
        awaits_all = record.planned or record.keeps_primary or not may_skip_report
        unawaited = "" if awaits_all else old_record.primary
        marking: Deferred[None] | None = Deferred.fromCoroutine(self._mark_released(failover))
        has_requested = False
        while True:
            entries = self._cluster_state.directory.entries_of_service(failover.record.service)
            reports = await self._prober.collect_reports(entries, unawaited)
            if marking is not None:
                await marking
                marking = None
            await self._writer.refresh_if_due(failover)
            new_primary = self._find_new_primary(reports, old_record)
            if new_primary is not None:
                return new_primary
            may_wait = failover.record.planned and self._cluster_state.now() < catch_up_deadline
            if may_wait and not has_caught_up_replica(reports, old_record.primary):
                await sleep(self._reactor, CATCH_UP_CHECK_INTERVAL_S)
                continue
            safety = self.assess_safety(failover.record, old_record.primary, reports)
            await self._record_awaited(failover, old_record.primary, safety)
            if isinstance(safety, PromotionUnsafe):
                unawaited = ""
                kept = _find_old_primary(reports, old_record)
                if kept is not None and not (record.planned or has_requested):
                    return kept
            candidates = safety.candidates if isinstance(safety, PromotionSafe) else ()
            for candidate in candidates:
                has_requested = True
                if await self._request_promotion(failover, candidate):
                    report = await self._wait_for_promotion(failover, candidate, old_record)
                    if report is not None:
                        return report
                    break
            await sleep(self._reactor, RETRY_DELAY_S)

    def assess_safety(
        self, record: GroupRecord, old_primary: str, reports: tuple[InstanceReport, ...]
    ) -> PromotionSafety:
        """Return which reporting instances hold all acknowledged commits of a group."""
        return select_candidates(
            reports,
            old_primary,
            self._sync_keeper.required_confirmations(record),
            record.sync,
            self._sync_keeper.list_replicas(record.service, old_primary),
        )

    async def _record_awaited(
        self, failover: ClaimedFailover, old_primary: str, safety: PromotionSafety
    ) -> None:
        """Write and log which reports a promotion waits for, when this has changed."""
        awaited: tuple[str, ...] = ()
        if isinstance(safety, PromotionUnsafe):
            awaited = (*safety.awaited, old_primary)
        if awaited == failover.record.awaited:
            return
        if isinstance(safety, PromotionUnsafe):
            self._writer.log_failover(
                failover,
                "no safe instance",
                awaited=awaited,
                best=str(safety.best),
                base=str(failover.record.sync.base),
            )
        await self._writer.write(failover, replace(failover.record, awaited=awaited))

    def _find_new_primary(
        self, reports: tuple[InstanceReport, ...], old_record: GroupRecord
    ) -> InstanceReport | None:
        """Return the report of an instance that already is the new primary; None without one.

        A primary that was replaced by a new instance with the same log reports a new id and the
        old term. So does one that may stay, under its own id.
        """
        primaries = [report for report in reports if _is_new_primary(report, old_record)]
        return max(primaries, key=lambda report: report.term) if primaries else None

    async def _request_promotion(self, failover: ClaimedFailover, candidate: str) -> bool:
        """Request a promotion; return False when that instance cannot take over.

        Returns True also when the outcome is unknown.
        """
        service = failover.record.service
        if failover.revision < self._cluster_state.leases.min_revisions.get(service, 0):
            raise FailoverSupersededError(
                "order promotion", service, "another proxy has claimed it"
            )
        # The record is written again once half of the window has passed, because the window counts
        # from the latest write.
        if (
            self._cluster_state.lease_clock() - failover.requested_at
            >= PROMOTION_REQUEST_WINDOW_S / 2
        ):
            await self._writer.write(failover, failover.record)
        if self._cluster_state.lease_clock() - failover.requested_at >= PROMOTION_REQUEST_WINDOW_S:
            return False
        in_flight = self._cluster_state.promotions_in_flight
        in_flight[service] += 1
        try:
            accepted = await self._promotions.request_promotion(
                service, candidate, failover.revision
            )
        except StoreUnavailableError as error:
            self._writer.log_failover(
                failover, "order unanswered", instance=candidate, why=str(error)
            )
            return True
        finally:
            in_flight[service] -= 1
        self._writer.log_failover(
            failover, "ordered" if accepted else "order refused", instance=candidate
        )
        return accepted

    async def _wait_for_promotion(
        self, failover: ClaimedFailover, candidate: str, old_record: GroupRecord
    ) -> InstanceReport | None:
        """Wait until the candidate is the primary; return its report, or None after the timeout."""
        deadline = self._cluster_state.now() + PROMOTION_EFFECT_TIMEOUT_S
        while self._cluster_state.now() < deadline:
            pool = self._cluster_state.pools.get(candidate)
            report = await self._prober.probe(pool) if pool is not None else None
            if report is not None and _is_new_primary(report, old_record):
                return report
            await self._writer.refresh_if_due(failover)
            await sleep(self._reactor, PROMOTION_EFFECT_CHECK_INTERVAL_S)
        return None


def _find_old_primary(
    reports: tuple[InstanceReport, ...], old_record: GroupRecord
) -> InstanceReport | None:
    """Return the report of the old primary if it still leads its term; None otherwise.

    Where no instance can be promoted safely, it may go on if no promotion was requested.
    """
    leading = (
        report
        for report in reports
        if report.role is DbRole.PRIMARY
        and (report.id, report.term) == (old_record.primary, old_record.term)
    )
    return next(leading, None)


def _is_new_primary(report: InstanceReport, old_record: GroupRecord) -> bool:
    if report.role is not DbRole.PRIMARY:
        return False
    may_have_same_term = report.id != old_record.primary or old_record.keeps_primary
    return report.term > old_record.term or (may_have_same_term and report.term == old_record.term)
