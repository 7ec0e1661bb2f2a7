"""Promotion of an instance once no proxy relies on the old primary any longer."""

from __future__ import annotations

from enum import Enum, unique
from typing import Any

from msgspec import Struct
from msgspec.structs import replace
from twisted.internet.defer import Deferred

from orioleplank.decision.failover import (
    PROMOTION_EFFECT_TIMEOUT_S,
    InstanceReport,
    PendingPromotions,
    PromotionSafe,
    PromotionSafety,
    PromotionUnsafe,
    find_new_primary,
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
# Interval of the probes of the instance that is being promoted.
PROMOTION_EFFECT_CHECK_INTERVAL_S = 0.05
# How long a switchover waits for a replica that has received the whole log.
CATCH_UP_TIMEOUT_S = 1.5
# Interval at which the received positions of the replicas are read during that wait.
CATCH_UP_CHECK_INTERVAL_S = 0.02


@unique
class PromotionRequest(Enum):
    """The outcome of a request for a promotion."""

    ACCEPTED = "accepted"
    # It will not take effect.
    REFUSED = "refused"
    # It may take effect.
    UNANSWERED = "unanswered"


class _PromotionAttempt(Struct):
    """The state of one run of `InstancePromoter.promote`."""

    failover: ClaimedFailover
    # The record of the primary that is being replaced.
    old_record: GroupRecord
    pending: PendingPromotions


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

    async def promote(self, failover: ClaimedFailover, old_record: GroupRecord) -> InstanceReport:
        """Promote the instance with the newest received position; return its report as primary.

        All leases must have been released. A promotion that an earlier claim may have requested is
        waited for first. With synchronous replication, so is an instance that holds all
        acknowledged commits.

        The reports are collected while the record is written as released. In a failover the report
        of the old primary is not awaited, unless it may stay.
        """
        attempt = _PromotionAttempt(
            failover, old_record, PendingPromotions.inherit(old_record, self._cluster_state.now())
        )
        catch_up_deadline = self._cluster_state.now() + CATCH_UP_TIMEOUT_S
        marking: Deferred[None] | None = Deferred.fromCoroutine(self._mark_released(failover))
        while True:
            reports = await self._collect_reports(attempt)
            if marking is not None:
                await marking
                marking = None
            await self._writer.refresh_if_due(failover)
            now, pending = self._cluster_state.now(), attempt.pending
            new_primary = find_new_primary(reports, old_record, pending, now)
            if new_primary is not None:
                return new_primary
            if now < pending.settles_at:
                await sleep(self._reactor, PROMOTION_EFFECT_CHECK_INTERVAL_S)
                continue
            may_wait = failover.record.planned and now < catch_up_deadline
            if may_wait and not has_caught_up_replica(reports, old_record.primary):
                await sleep(self._reactor, CATCH_UP_CHECK_INTERVAL_S)
                continue
            promoted = await self._promote_best(attempt, reports)
            if promoted is not None:
                return promoted
            await sleep(self._reactor, RETRY_DELAY_S)

    async def _mark_released(self, failover: ClaimedFailover) -> None:
        """Record that no proxy relies on the old primary; must precede the first promotion."""
        record = replace(failover.record, released=True, may_be_requested=True)
        await self._writer.write(failover, record)

    async def _collect_reports(self, attempt: _PromotionAttempt) -> tuple[InstanceReport, ...]:
        record = attempt.failover.record
        may_skip_report = self._cluster_state.mechanisms.is_on(Mechanism.UNAWAITED_REPORT)
        awaits_all = record.planned or record.keeps_primary or record.awaited or not may_skip_report
        entries = self._cluster_state.directory.entries_of_service(record.service)
        unawaited = "" if awaits_all else attempt.old_record.primary
        return await self._prober.collect_reports(entries, unawaited)

    async def _promote_best(
        self, attempt: _PromotionAttempt, reports: tuple[InstanceReport, ...]
    ) -> InstanceReport | None:
        """Promote the best instance that may be; return its report as primary, or None."""
        failover, old_record = attempt.failover, attempt.old_record
        replaced = "" if old_record.keeps_primary else old_record.primary
        safety = self.assess_safety(failover.record, replaced, reports)
        match safety:
            case PromotionUnsafe():
                await self._record_wait(attempt, safety)
                may_keep = not failover.record.planned and not attempt.pending.has_any
                return _find_old_primary(reports, old_record) if may_keep else None
            case PromotionSafe(()):
                await self._record_wait(attempt, safety)
                return None
            case PromotionSafe(candidates):
                return await self._promote_first(attempt, candidates)

    async def _promote_first(
        self, attempt: _PromotionAttempt, candidates: tuple[str, ...]
    ) -> InstanceReport | None:
        """Promote the first of the candidates that accepts it."""
        failover = attempt.failover
        if failover.record.awaited or not failover.record.may_be_requested:
            record = replace(failover.record, awaited=(), may_be_requested=True)
            await self._writer.write(failover, record)
        for candidate in candidates:
            earlier = attempt.pending
            attempt.pending = earlier.add(candidate)
            match await self._request_promotion(failover, candidate):
                case PromotionRequest.REFUSED:
                    attempt.pending = earlier
                case result:
                    return await self._wait_for_promotion(attempt, candidate, result)
        return None

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

    async def _record_wait(self, attempt: _PromotionAttempt, safety: PromotionSafety) -> None:
        """Write and log what a promotion waits for, when this has changed."""
        failover = attempt.failover
        awaited: tuple[str, ...] = ()
        if isinstance(safety, PromotionUnsafe):
            awaited = (*safety.awaited, attempt.old_record.primary)
        record = replace(failover.record, awaited=awaited, may_be_requested=attempt.pending.has_any)
        if record == failover.record:
            return
        if isinstance(safety, PromotionUnsafe) and awaited != failover.record.awaited:
            self._writer.log_failover(
                failover,
                "no safe instance",
                awaited=awaited,
                best=str(safety.best),
                base=str(failover.record.sync.base),
            )
        await self._writer.write(failover, record)

    async def _request_promotion(
        self, failover: ClaimedFailover, candidate: str
    ) -> PromotionRequest:
        """Request a promotion, unless the claim was written too long ago."""
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
            return PromotionRequest.REFUSED
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
            return PromotionRequest.UNANSWERED
        finally:
            in_flight[service] -= 1
        self._writer.log_failover(
            failover, "ordered" if accepted else "order refused", instance=candidate
        )
        return PromotionRequest.ACCEPTED if accepted else PromotionRequest.REFUSED

    async def _wait_for_promotion(
        self, attempt: _PromotionAttempt, candidate: str, result: PromotionRequest
    ) -> InstanceReport | None:
        """Wait until the candidate leads a new term; return its report, or None after the timeout.

        A candidate that still leads the old term after its promotion was accepted has not been
        replaced: for the present primary the promotion changes nothing.
        """
        old_term, report = attempt.old_record.term, None
        deadline = self._cluster_state.now() + PROMOTION_EFFECT_TIMEOUT_S
        while self._cluster_state.now() < deadline:
            pool = self._cluster_state.pools.get(candidate)
            report = await self._prober.probe(pool) if pool is not None else None
            if report is not None and report.role is DbRole.PRIMARY and report.term > old_term:
                return report
            await self._writer.refresh_if_due(attempt.failover)
            await sleep(self._reactor, PROMOTION_EFFECT_CHECK_INTERVAL_S)
        is_present = report is not None and report.role is DbRole.PRIMARY
        return report if is_present and result is PromotionRequest.ACCEPTED else None


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
