"""Runs single statements that are outside a transaction.

Reads go to any instance whose data is fresh enough for the route, writes to the primary under a
valid lease.
"""

from __future__ import annotations

from random import Random
from typing import Any

from msgspec import Struct
from twisted.internet.defer import CancelledError
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank.decision.group import Lease
from orioleplank.decision.routing import NoInstanceAvailable, SelectedInstance
from orioleplank.decision.session import NOT_EXECUTED_CODES, ExecutableStatement, FailureCode, Reply
from orioleplank.gateway._avoided_instances import AvoidedInstances
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._instance_executor import (
    NO_REPLY_ERRORS,
    NOT_SENT_ERRORS,
    InstanceExecutor,
    PreparationError,
    Request,
)
from orioleplank.gateway._interfaces import RequestOptions
from orioleplank.gateway._outcome import WAIT_STEP, Completed, Outcome, Refused, refuse
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._read_placement import ReadPlacer, accepts_work
from orioleplank.gateway._wait_queue import QueueTooLongError

# Share of the remaining time that one attempt may take, which leaves time for another attempt.
ATTEMPT_TIME_SHARE = 0.5
# Least remaining time for which an attempt is made, in seconds: one round trip between regions.
MIN_ATTEMPT_S = 0.03
# How long statements wait for an unresponsive primary, in seconds. This leaves time for indirect
# probes, and for finding a tunnel to the primary or starting a failover.
PRIMARY_RECOVERY_WAIT_S = 1.5
# Longest wait of a statement for a change before it checks again for an instance, in seconds.
INSTANCE_RECHECK_INTERVAL_S = 0.05
# How long the reply to a commit waits for a renewed lease that covers it, in seconds: long enough
# for one lease renewal.
COMMIT_CONFIRM_TIMEOUT_S = 1.5
# Why the work for a request ends after its caller has left.
CALLER_LEFT_REASON = "the caller has left"


class Sending(Struct, frozen=True):
    """When a statement was sent."""

    # In seconds of the lease clock.
    sent_at: float
    # Id and term of the primary that was relied on then; None without a lease.
    primary: tuple[str, int] | None


class StatementExecutor(InstanceExecutor):
    """Runs reads and writes that are outside a transaction.

    Failed attempts are repeated within the route's timeout when this is safe.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        reactor: Any,
        zone: str,
        random: Random | None = None,
    ) -> None:
        super().__init__(cluster_state, reactor, zone, random)
        self.reads = ReadPlacer(self)

    # Reads.

    async def run_read(self, request: Request, statement: ExecutableStatement) -> Outcome:
        """Run a read outside a transaction; it may be attempted at several instances."""
        avoided = AvoidedInstances(self)
        outcome = await self._run_read_attempts(request, statement, avoided)
        return self.reads.finish(request, avoided, outcome)

    async def _run_read_attempts(
        self, request: Request, statement: ExecutableStatement, avoided: AvoidedInstances
    ) -> Outcome:
        last_refusal = refuse(FailureCode.BUSY, "place read", "its time is over")
        while self.remaining_time(request) > MIN_ATTEMPT_S:
            placement = await self.reads.await_instance(request, avoided)
            if isinstance(placement, NoInstanceAvailable):
                if last_refusal.instance and last_refusal.has_retry_after:
                    return last_refusal
                last_refusal = refuse(
                    FailureCode.BUSY,
                    "place read",
                    placement.reason,
                    retry_after=placement.retry_after,
                )
                if not self.may_become_available(request, avoided):
                    return last_refusal
                await self.cluster_state.changed.wait(
                    min(INSTANCE_RECHECK_INTERVAL_S, self.remaining_time(request))
                )
                continue
            outcome = await self._attempt_read(request, statement, placement)
            if isinstance(outcome, Completed):
                return outcome
            if outcome.failure.code is FailureCode.TOO_LARGE:
                # The reply is as large at any other instance.
                return outcome
            last_refusal = outcome
            if outcome.failure.code is FailureCode.LAGGING:
                self.reads.avoid_lagging(request, avoided, placement.id, outcome)
            else:
                avoided.add(placement.id, outcome)
        return last_refusal

    async def _attempt_read(
        self, request: Request, statement: ExecutableStatement, placement: SelectedInstance
    ) -> Outcome:
        """Make one attempt of a read."""
        pool = self.cluster_state.pools[placement.id]
        timeout = max(MIN_ATTEMPT_S, self.remaining_time(request) * ATTEMPT_TIME_SHARE)
        attempt_end = self.cluster_state.now() + timeout
        acquired = await self.acquire_prepared_connection(pool, request, statement, timeout)
        if not isinstance(acquired, PooledConnection):
            return acquired
        name = self.prepared_name(acquired, statement)
        sent = self.note_sending(request)
        pending_reply = acquired.link.run(request.id, statement, name, placement.min_position)
        try:
            timeout = max(MIN_ATTEMPT_S, attempt_end - self.cluster_state.now())
            reply = await self.await_reply(pool, acquired, pending_reply, timeout)
        except NO_REPLY_ERRORS as error:
            pool.discard(acquired)
            return _refuse_unanswered(error, pool, "run read")
        self.release_after_reply(pool, acquired, reply)
        self.record_primary_position(request, placement.id, sent, reply)
        return self._read_outcome(pool, reply)

    def _read_outcome(self, pool: InstancePool, reply: Reply) -> Outcome:
        if reply.failure is None:
            pool.record_caught_up()
            return Completed(reply, pool.entry.id)
        if reply.failure.code is FailureCode.LAGGING:
            pool.record_lagging()
        if reply.failure.code is FailureCode.EXECUTION_FAILED:
            pool.record_failure()
        failure = reply.failure
        detail = f"{pool.entry.id} {failure.detail}"
        return refuse(failure.code, "run read", detail, pool.entry.id, failure.retry_after)

    # Availability.

    def explain_no_primary(self, request: Request) -> str:
        """Return why no work can be sent to the primary now."""
        lease = self.cluster_state.lease(request.route.service)
        if lease is None:
            return self._explain_no_lease(request.route.service)
        remaining = lease.expires_at - self.cluster_state.lease_clock()
        if remaining <= 0:
            return f"the lease on primary {lease.primary} ended {-remaining:.1f} s ago"
        return f"primary {lease.primary} does not answer here, or is leaving"

    def _explain_no_lease(self, service: str) -> str:
        versioned = self.cluster_state.leases.group_records.get(service)
        if versioned is not None and versioned.record.awaited:
            awaited = ", ".join(versioned.record.awaited)
            return f"acknowledged commits may only be at {awaited}, which do not answer"
        return "no primary is in force for the service"

    def may_become_available(self, request: Request, avoided: AvoidedInstances) -> bool:
        """Return whether an instance may become available soon, so that a short wait may help."""
        lease = self.cluster_state.lease(request.route.service)
        if lease is None:
            return self.cluster_state.expects_primary(request.route.service)
        pool = self.cluster_state.pools.get(lease.primary)
        if pool is None:
            return self.cluster_state.is_starting
        return pool.failing_for < PRIMARY_RECOVERY_WAIT_S and avoided.has_any

    # Writes.

    async def run_write(self, request: Request, statement: ExecutableStatement) -> Outcome:
        """Run a write outside a transaction; it is resent only if it is certain not to have run."""
        avoided = AvoidedInstances(self)
        service = request.route.service
        last_outcome: Outcome = refuse(FailureCode.BUSY, "place write", "its time is over")
        while self.remaining_time(request) > MIN_ATTEMPT_S:
            lease = self.find_write_lease(request, avoided)
            if lease is None:
                last_outcome = refuse(
                    FailureCode.BUSY, "place write", self.explain_no_primary(request)
                )
                if not self.may_become_available(request, avoided):
                    return last_outcome
                await self.cluster_state.changed.wait(
                    min(INSTANCE_RECHECK_INTERVAL_S, self.remaining_time(request))
                )
                continue
            self.cluster_state.primary_in_flight[service] += 1
            try:
                outcome, may_resend = await self._attempt_write(request, statement, lease)
            finally:
                self.cluster_state.primary_in_flight[service] -= 1
            if not may_resend:
                return outcome
            last_outcome = outcome
            avoided.add(lease.primary)
        return last_outcome

    def find_write_lease(self, request: Request, avoided: AvoidedInstances) -> Lease | None:
        """Return a lease under which a write may be sent to the primary now, or None."""
        lease = self.cluster_state.lease(request.route.service)
        if lease is None or not lease.is_valid_at(self.cluster_state.lease_clock()):
            return None
        if avoided.contains(lease.primary) or not accepts_work(
            self.cluster_state, lease.primary, lease.primary
        ):
            return None
        return lease

    async def _attempt_write(
        self, request: Request, statement: ExecutableStatement, lease: Lease
    ) -> tuple[Outcome, bool]:
        """Make one attempt of a write; return the outcome and whether it may be resent."""
        pool = self.cluster_state.pools[lease.primary]
        acquired = await self.acquire_prepared_connection(
            pool, request, statement, self.remaining_time(request)
        )
        if not isinstance(acquired, PooledConnection):
            return acquired, not acquired.has_retry_after
        if not self._is_lease_valid(request, lease):
            pool.release(acquired)
            return refuse(FailureCode.BUSY, "send write", "the primary is being replaced"), True
        name = self.prepared_name(acquired, statement)
        sent = self.note_sending(request)
        pending_reply = acquired.link.run(request.id, statement, name, None)
        try:
            reply = await self.await_reply(
                pool, acquired, pending_reply, self.remaining_time(request)
            )
        except NO_REPLY_ERRORS as error:
            pool.discard(acquired)
            return _refuse_unanswered(error, pool, "run write"), False
        self.release_after_reply(pool, acquired, reply)
        self.record_primary_position(request, lease.primary, sent, reply)
        if reply.failure is None:
            return await self.confirm_commit(request, lease, reply), False
        return self._write_failure_outcome(pool, reply)

    def _write_failure_outcome(self, pool: InstancePool, reply: Reply) -> tuple[Outcome, bool]:
        assert reply.failure is not None
        code = reply.failure.code
        if code is FailureCode.READ_ONLY:
            pool.record_primary_role_denied()
        detail = f"{pool.entry.id} {reply.failure.detail}"
        retry_after = reply.failure.retry_after
        may_resend = code in NOT_EXECUTED_CODES and retry_after is None
        return refuse(code, "run write", detail, pool.entry.id, retry_after), may_resend

    def _is_lease_valid(self, request: Request, lease: Lease) -> bool:
        """Return whether the lease is still valid after the wait for a connection."""
        current_lease = self.cluster_state.leases.lease_at_revision(
            request.route.service, lease.revision
        )
        return current_lease is not None and current_lease.is_valid_at(
            self.cluster_state.lease_clock()
        )

    async def confirm_commit(self, request: Request, lease: Lease, reply: Reply) -> Outcome:
        """Return a successful reply once the lease covers the time at which the reply arrived.

        Without such a lease within `COMMIT_CONFIRM_TIMEOUT_S` the outcome is in doubt: the primary
        may have been replaced before the commit.
        """
        replied_at = self.cluster_state.lease_clock()
        deadline = self.cluster_state.now() + COMMIT_CONFIRM_TIMEOUT_S
        while current_lease := self.cluster_state.leases.lease_at_revision(
            request.route.service, lease.revision
        ):
            if current_lease.is_valid_at(replied_at):
                return Completed(reply, lease.primary)
            if self.cluster_state.now() >= deadline:
                break
            await self.cluster_state.changed.wait(deadline - self.cluster_state.now())
        detail = "it ran, and the primary may have been replaced before"
        return refuse(FailureCode.IN_DOUBT, "confirm commit", detail, lease.primary)

    # Connections.

    async def acquire_prepared_connection(
        self,
        pool: InstancePool,
        request: Request,
        statement: ExecutableStatement | None,
        seconds: float,
    ) -> PooledConnection | Refused:
        """Return a connection set up for the session, or a refusal; no statement has run.

        `statement` is None for a transaction, which keeps the connection until it ends.
        """
        try:
            connection = await self.acquire(
                pool, request, seconds, is_transaction=statement is None
            )
        except (TwistedTimeoutError, CancelledError):
            left = request.cancellation.is_cancelled
            reason = CALLER_LEFT_REASON if left else "all are in use"
            return refuse(FailureCode.BUSY, WAIT_STEP, reason, pool.entry.id)
        except QueueTooLongError as error:
            retry_after = error.retry_after
            return refuse(FailureCode.BUSY, WAIT_STEP, error.detail, pool.entry.id, retry_after)
        except NOT_SENT_ERRORS as error:
            return refuse(FailureCode.BUSY, "open connection", str(error), pool.entry.id)
        if request.cancellation.is_cancelled:
            return _release_unused(pool, connection)
        try:
            # The wait for the connection has used up part of the remaining time.
            seconds = min(seconds, self.remaining_time(request))
            options = RequestOptions(
                request.account, request.route.priority, seconds, request.cancellation
            )
            await self.prepare_connection(
                pool, connection, request.session.values, statement, options
            )
        except (*NOT_SENT_ERRORS, PreparationError) as error:
            pool.discard(connection)
            return refuse(FailureCode.BUSY, "prepare connection", str(error), pool.entry.id)
        if request.cancellation.is_cancelled:
            return _release_unused(pool, connection)
        return connection

    def note_sending(self, request: Request) -> Sending:
        """Return the time and the primary under which a statement is sent now."""
        lease = self.cluster_state.lease(request.route.service)
        primary = (lease.primary, lease.term) if lease is not None else None
        return Sending(self.cluster_state.lease_clock(), primary)

    def record_primary_position(
        self, request: Request, instance: str, sent: Sending, reply: Reply
    ) -> None:
        """Record the log position of a reply if the instance is the primary.

        It must have been the primary when the statement was sent: a replica may be promoted
        meanwhile, and the position of its reply may lack commits of that time.
        """
        lease = self.cluster_state.lease(request.route.service)
        if lease is None or lease.primary != instance or reply.position is None:
            return
        if sent.primary == (lease.primary, lease.term):
            self.cluster_state.positions.record(
                lease, request.route.service, sent.sent_at, reply.position
            )


def _release_unused(pool: InstancePool, connection: PooledConnection) -> Refused:
    """Return a connection to its pool because the caller has left; nothing was sent on it."""
    pool.release(connection)
    return refuse(FailureCode.BUSY, "send", CALLER_LEFT_REASON, pool.entry.id)


def _refuse_unanswered(error: Exception, pool: InstancePool, step: str) -> Outcome:
    if isinstance(error, TwistedTimeoutError | CancelledError):
        return refuse(FailureCode.TIMEOUT, step, "the route's time is over", pool.entry.id)
    return refuse(FailureCode.IN_DOUBT, step, "the connection broke", pool.entry.id)
