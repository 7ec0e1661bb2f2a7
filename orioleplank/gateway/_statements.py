"""Single statements: reads at whoever is fresh enough, writes at the primary under a lease."""

from __future__ import annotations

from twisted.internet.defer import CancelledError
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank.decision import ZERO_POSITION, Position
from orioleplank.decision.group import Lease
from orioleplank.decision.instances import Consistency, InstanceEntry
from orioleplank.decision.routing import (
    NoInstanceAvailable,
    ReadCandidate,
    ReadRequirement,
    SelectedInstance,
    place_read,
)
from orioleplank.decision.session import NOT_EXECUTED_CODES, ExecutableStatement, FailureCode, Reply
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._instance_executor import (
    NO_REPLY_ERRORS,
    NOT_SENT_ERRORS,
    InstanceExecutor,
    PreparationError,
    Request,
)
from orioleplank.gateway._outcome import Completed, Outcome, Refused, refuse
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._wait_queue import QueueTooLongError

# Share of the time left that one try of a read may take, so that another one fits.
ATTEMPT_TIME_SHARE = 0.5
# Least time for which a try is worth while, in seconds: a round trip between regions.
MIN_ATTEMPT_S = 0.03
# How long an instance that failed or refused a statement is passed over by it, in seconds.
AVOID_S = 0.1
# How long a primary that does not answer is waited for, in seconds: until others are asked about
# it, and a way around or a move is found.
HOPE_S = 1.5
# How long a statement waits before it looks again, if nothing changes, in seconds.
RECHECK_INTERVAL_S = 0.05
# How long an answer waits for a newer lease that covers it, in seconds: a renewal period.
CONFIRM_S = 1.5


class AvoidedInstances:
    """Instances that a statement passes over for a moment."""

    def __init__(self, exchange: InstanceExecutor) -> None:
        self._now = exchange.cluster_state.now
        self._until: dict[str, float] = {}

    def add(self, instance: str) -> None:
        """Pass an instance over for a moment."""
        self._until[instance] = self._now() + AVOID_S

    def contains(self, instance: str) -> bool:
        """Tell whether an instance is passed over now."""
        return self._now() < self._until.get(instance, 0.0)

    @property
    def has_any(self) -> bool:
        """True when some instance failed lately, so that waiting for a moment may help."""
        return any(self._now() < until for until in self._until.values())


class StatementExecutor(InstanceExecutor):
    """Runs single statements."""

    # Reads.

    async def run_read(self, request: Request, statement: ExecutableStatement) -> Outcome:
        """Run a read outside a transaction; it may be tried several times."""
        avoided = AvoidedInstances(self)
        last = refuse(FailureCode.BUSY, "place read", "its time is over")
        while self.remaining_time(request) > MIN_ATTEMPT_S:
            placement = self.select_instance(request, avoided)
            if isinstance(placement, NoInstanceAvailable):
                if last.has_retry_after:
                    return last
                last = refuse(FailureCode.BUSY, "place read", placement.reason)
                if not self.may_become_available(request, avoided):
                    return last
                await self.cluster_state.changed.wait(
                    min(RECHECK_INTERVAL_S, self.remaining_time(request))
                )
                continue
            tried = await self._try_read(request, statement, placement)
            if isinstance(tried, Completed):
                return tried
            last = tried
            avoided.add(placement.id)
        return last

    async def _try_read(
        self, request: Request, statement: ExecutableStatement, placement: SelectedInstance
    ) -> Outcome:
        """Send a read once."""
        pool = self.cluster_state.pools[placement.id]
        seconds = max(MIN_ATTEMPT_S, self.remaining_time(request) * ATTEMPT_TIME_SHARE)
        taken = await self.acquire_prepared_connection(pool, request, statement, seconds)
        if not isinstance(taken, PooledConnection):
            return taken
        name = self.prepared_name(taken, statement)
        asked_at = self.cluster_state.lease_clock()
        asked = taken.link.run(request.id, statement, name, placement.min_position)
        try:
            reply = await self.await_reply(pool, asked, seconds)
        except NO_REPLY_ERRORS as error:
            pool.discard(taken)
            return _refuse_unanswered(error, pool, "run read")
        self.release_after_reply(pool, taken, reply)
        self.record_primary_position(request, placement.id, asked_at, reply)
        return self._judge_read(pool, reply)

    def _judge_read(self, pool: InstancePool, reply: Reply) -> Outcome:
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

    # Placement.

    def select_instance(
        self, request: Request, avoided: AvoidedInstances
    ) -> SelectedInstance | NoInstanceAvailable:
        """Choose an instance for a read, or for a transaction that only reads."""
        beliefs, route = self.cluster_state, request.route
        lease = self.usable_lease(request)
        primary = lease.primary if lease else ""
        need = ReadRequirement(self._needed_position(request))
        candidates = [
            self._describe(entry, entry.id == primary, need)
            for entry in beliefs.directory.entries_of_service(route.service)
            if not avoided.contains(entry.id) and self._takes_work(entry.id, primary)
        ]
        placement = place_read(candidates, need)
        if isinstance(placement, NoInstanceAvailable) and lease is not None:
            return NoInstanceAvailable(f"primary {primary} takes no work now; {placement.reason}")
        return placement

    def explain_no_primary(self, request: Request) -> str:
        """Say why the primary cannot be sent work now."""
        lease = self.cluster_state.lease(request.route.service)
        if lease is None:
            return "no primary is in force for the service"
        left = lease.expires_at - self.cluster_state.lease_clock()
        if left <= 0:
            return f"the lease on primary {lease.primary} ended {-left:.1f} s ago"
        return f"primary {lease.primary} does not answer here, or is leaving"

    def _takes_work(self, instance: str, primary: str) -> bool:
        if instance not in self.cluster_state.pools:
            return False
        if instance == primary:
            return self.cluster_state.primary_accepts_work(instance)
        return self.cluster_state.directory.accepts_work(instance)

    def _describe(
        self, entry: InstanceEntry, is_primary: bool, need: ReadRequirement
    ) -> ReadCandidate:
        pool = self.cluster_state.pools[entry.id]
        return ReadCandidate(
            entry.id,
            entry.zone == self.zone,
            is_primary,
            entry.slots,
            pool.in_flight,
            pool.latency,
            need.min_position is not None and pool.is_likely_behind(need.min_position),
        )

    def usable_lease(self, request: Request) -> Lease | None:
        """Return a lease that shows the primary to be good enough for a read of this route."""
        lease = self.cluster_state.lease(request.route.service)
        if lease is None or request.session.position.term > lease.term:
            return None
        return lease if lease.is_valid_at(self._oldest_moment(request)) else None

    def _oldest_moment(self, request: Request) -> float:
        if request.route.consistency is Consistency.PRIMARY:
            return request.received_at
        return request.received_at - request.route.max_age

    def _needed_position(self, request: Request) -> Position | None:
        """Return what a replica's log must reach; None when no replica will do."""
        route, own = request.route, request.session.position
        if route.consistency is Consistency.PRIMARY:
            return None
        found = self.cluster_state.find_min_position(route.service, self._oldest_moment(request))
        if (
            found is None
            or route.consistency is Consistency.BOUNDED_STALENESS
            or own == ZERO_POSITION
        ):
            return found
        # The end of an earlier term may be lost, so only the primary can tell.
        return max(found, own) if own.term == found.term else None

    def may_become_available(self, request: Request, avoided: AvoidedInstances) -> bool:
        """Tell whether an instance may be found soon, so that waiting for a moment makes sense."""
        lease = self.cluster_state.lease(request.route.service)
        if lease is None:
            return self.cluster_state.expects_primary(request.route.service)
        pool = self.cluster_state.pools.get(lease.primary)
        if pool is None:
            return self.cluster_state.is_starting
        return pool.failing_for < HOPE_S and avoided.has_any

    # Writes.

    async def run_write(self, request: Request, statement: ExecutableStatement) -> Outcome:
        """Run a write outside a transaction; it is sent again only if it provably has not run."""
        avoided = AvoidedInstances(self)
        service = request.route.service
        last: Outcome = refuse(FailureCode.BUSY, "place write", "its time is over")
        while self.remaining_time(request) > MIN_ATTEMPT_S:
            lease = self.find_write_lease(request, avoided)
            if lease is None:
                last = refuse(FailureCode.BUSY, "place write", self.explain_no_primary(request))
                if not self.may_become_available(request, avoided):
                    return last
                await self.cluster_state.changed.wait(
                    min(RECHECK_INTERVAL_S, self.remaining_time(request))
                )
                continue
            self.cluster_state.primary_in_flight[service] += 1
            try:
                outcome, again = await self._try_write(request, statement, lease)
            finally:
                self.cluster_state.primary_in_flight[service] -= 1
            if not again:
                return outcome
            last = outcome
            avoided.add(lease.primary)
        return last

    def find_write_lease(self, request: Request, avoided: AvoidedInstances) -> Lease | None:
        """Return a lease under which the primary may be sent a write now."""
        lease = self.cluster_state.lease(request.route.service)
        if lease is None or not lease.is_valid_at(self.cluster_state.lease_clock()):
            return None
        if avoided.contains(lease.primary) or not self._takes_work(lease.primary, lease.primary):
            return None
        return lease

    async def _try_write(
        self, request: Request, statement: ExecutableStatement, lease: Lease
    ) -> tuple[Outcome, bool]:
        """Send a write once; return the outcome and whether it may be sent again."""
        pool = self.cluster_state.pools[lease.primary]
        taken = await self.acquire_prepared_connection(
            pool, request, statement, self.remaining_time(request)
        )
        if not isinstance(taken, PooledConnection):
            return taken, not taken.has_retry_after
        if not self._may_still_send(request, lease):
            pool.release(taken)
            return refuse(FailureCode.BUSY, "send write", "the primary is being replaced"), True
        name = self.prepared_name(taken, statement)
        asked_at = self.cluster_state.lease_clock()
        asked = taken.link.run(request.id, statement, name, None)
        try:
            reply = await self.await_reply(pool, asked, self.remaining_time(request))
        except NO_REPLY_ERRORS as error:
            pool.discard(taken)
            return _refuse_unanswered(error, pool, "run write"), False
        self.release_after_reply(pool, taken, reply)
        self.record_primary_position(request, lease.primary, asked_at, reply)
        if reply.failure is None:
            return await self.confirm_commit(request, lease, reply), False
        return self._judge_write_failure(pool, reply)

    def _judge_write_failure(self, pool: InstancePool, reply: Reply) -> tuple[Outcome, bool]:
        assert reply.failure is not None
        code = reply.failure.code
        if code is FailureCode.READ_ONLY:
            pool.record_primary_role_denied()
        detail = f"{pool.entry.id} {reply.failure.detail}"
        after = reply.failure.retry_after
        may_be_sent_again = code in NOT_EXECUTED_CODES and after is None
        return refuse(code, "run write", detail, pool.entry.id, after), may_be_sent_again

    def _may_still_send(self, request: Request, lease: Lease) -> bool:
        """Tell whether the lease still holds after the wait for a connection."""
        held = self.cluster_state.leases.lease_at_revision(request.route.service, lease.revision)
        return held is not None and held.is_valid_at(self.cluster_state.lease_clock())

    async def confirm_commit(self, request: Request, lease: Lease, reply: Reply) -> Outcome:
        """Pass on that a commit succeeded once a lease covers the moment of the answer."""
        answered_at = self.cluster_state.lease_clock()
        limit = self.cluster_state.now() + CONFIRM_S
        while held := self.cluster_state.leases.lease_at_revision(
            request.route.service, lease.revision
        ):
            if held.is_valid_at(answered_at):
                return Completed(reply, lease.primary)
            if self.cluster_state.now() >= limit:
                break
            await self.cluster_state.changed.wait(limit - self.cluster_state.now())
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
        """Return a connection that fits the session, or why there is none; nothing ran."""
        try:
            connection = await self.acquire(pool, request, seconds)
        except (TwistedTimeoutError, CancelledError):
            return refuse(FailureCode.BUSY, "wait for connection", "all are in use", pool.entry.id)
        except QueueTooLongError as error:
            after = error.retry_after
            return refuse(
                FailureCode.BUSY, "wait for connection", error.detail, pool.entry.id, after
            )
        except NOT_SENT_ERRORS as error:
            return refuse(FailureCode.BUSY, "open connection", str(error), pool.entry.id)
        try:
            values = request.session.values
            priority = request.route.priority
            # The wait for the connection has taken some of the time.
            seconds = min(seconds, self.remaining_time(request))
            await self.prepare_connection(pool, connection, values, statement, priority, seconds)
        except (*NOT_SENT_ERRORS, PreparationError) as error:
            pool.discard(connection)
            return refuse(FailureCode.BUSY, "prepare connection", str(error), pool.entry.id)
        return connection

    def record_primary_position(
        self, request: Request, instance: str, asked_at: float, reply: Reply
    ) -> None:
        """Learn the position of the log if the primary answered."""
        lease = self.cluster_state.lease(request.route.service)
        if lease is not None and lease.primary == instance and reply.position is not None:
            self.cluster_state.record_position(
                lease, request.route.service, asked_at, reply.position
            )


def _refuse_unanswered(error: Exception, pool: InstancePool, step: str) -> Outcome:
    if isinstance(error, TwistedTimeoutError | CancelledError):
        return refuse(FailureCode.TIMEOUT, step, "the route's time is over", pool.entry.id)
    return refuse(FailureCode.IN_DOUBT, step, "the connection broke", pool.entry.id)
