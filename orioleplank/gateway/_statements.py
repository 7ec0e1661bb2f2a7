"""Single statements: reads at whoever is fresh enough, writes at the primary under a lease."""

from __future__ import annotations

from twisted.internet.defer import CancelledError
from twisted.internet.defer import TimeoutError as TwistedTimeoutError

from orioleplank.decision import ORIGIN, Position
from orioleplank.decision.group import Lease
from orioleplank.decision.instances import Consistency, InstanceEntry
from orioleplank.decision.routing import Candidate, Nowhere, ReadNeed, ToInstance, place_read
from orioleplank.decision.session import PROVES_NOT_RUN, Code, Reply, Runnable
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._exchange import (
    NOT_ANSWERED,
    NOT_SENT,
    Exchange,
    PreparationError,
    Request,
)
from orioleplank.gateway._outcome import Outcome, Ran, Refused, refuse
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._waiters import QueueTooLongError

# Share of the time left that one try of a read may take, so that another one fits.
TRY_SHARE = 0.5
# Least time for which a try is worth while, in seconds: a round trip between regions.
LEAST_TRY_S = 0.03
# How long an instance that failed or refused a statement is passed over by it, in seconds.
AVOID_S = 0.1
# How long a primary that does not answer is waited for, in seconds: until others are asked about
# it, and a way around or a move is found.
HOPE_S = 1.5
# How long a statement waits before it looks again, if nothing changes, in seconds.
LOOK_AGAIN_S = 0.05
# How long an answer waits for a newer lease that covers it, in seconds: a renewal period.
CONFIRM_S = 1.5


class Avoided:
    """Instances that a statement passes over for a moment."""

    def __init__(self, exchange: Exchange) -> None:
        self._now = exchange.beliefs.now
        self._until: dict[str, float] = {}

    def add(self, instance: str) -> None:
        """Pass an instance over for a moment."""
        self._until[instance] = self._now() + AVOID_S

    def holds(self, instance: str) -> bool:
        """Tell whether an instance is passed over now."""
        return self._now() < self._until.get(instance, 0.0)

    @property
    def any(self) -> bool:
        """True when some instance failed lately, so that waiting for a moment may help."""
        return any(self._now() < until for until in self._until.values())


class Statements(Exchange):
    """Runs single statements."""

    # Reads.

    async def read(self, request: Request, statement: Runnable) -> Outcome:
        """Run a read outside a transaction; it may be tried several times."""
        avoided = Avoided(self)
        last = refuse(Code.BUSY, "place read", "its time is over")
        while self.left(request) > LEAST_TRY_S:
            placement = self.place(request, avoided)
            if isinstance(placement, Nowhere):
                if last.tells_when:
                    return last
                last = refuse(Code.BUSY, "place read", placement.why)
                if not self.may_hope(request, avoided):
                    return last
                await self.beliefs.changed.wait(min(LOOK_AGAIN_S, self.left(request)))
                continue
            tried = await self._try_read(request, statement, placement)
            if isinstance(tried, Ran):
                return tried
            last = tried
            avoided.add(placement.id)
        return last

    async def _try_read(
        self, request: Request, statement: Runnable, placement: ToInstance
    ) -> Outcome:
        """Send a read once."""
        pool = self.beliefs.pools[placement.id]
        seconds = max(LEAST_TRY_S, self.left(request) * TRY_SHARE)
        taken = await self.take_connection(pool, request, statement, seconds)
        if not isinstance(taken, PooledConnection):
            return taken
        name = self.prepared_name(taken, statement)
        asked_at = self.beliefs.lease_now()
        asked = taken.link.run(request.id, statement, name, placement.after)
        try:
            reply = await self.run(pool, asked, seconds)
        except NOT_ANSWERED as error:
            pool.discard(taken)
            return _refuse_unanswered(error, pool, "run read")
        self.settle(pool, taken, reply)
        self.learn(request, placement.id, asked_at, reply)
        return self._judge_read(pool, reply)

    def _judge_read(self, pool: InstancePool, reply: Reply) -> Outcome:
        if reply.failure is None:
            pool.note_caught_up()
            return Ran(reply, pool.entry.id)
        if reply.failure.code is Code.LAGGING:
            pool.note_lagging()
        if reply.failure.code is Code.EXECUTION_FAILED:
            pool.note_failure()
        failure = reply.failure
        detail = f"{pool.entry.id} {failure.detail}"
        return refuse(failure.code, "run read", detail, pool.entry.id, failure.retry_after)

    # Placement.

    def place(self, request: Request, avoided: Avoided) -> ToInstance | Nowhere:
        """Choose an instance for a read, or for a transaction that only reads."""
        beliefs, route = self.beliefs, request.route
        lease = self.usable_lease(request)
        primary = lease.primary if lease else ""
        need = ReadNeed(self._needed_position(request))
        candidates = [
            self._describe(entry, entry.id == primary, need)
            for entry in beliefs.directory.of_service(route.service)
            if not avoided.holds(entry.id) and self._takes_work(entry.id, primary)
        ]
        placement = place_read(candidates, need)
        if isinstance(placement, Nowhere) and lease is not None:
            return Nowhere(f"primary {primary} takes no work now; {placement.why}")
        return placement

    def explain_no_primary(self, request: Request) -> str:
        """Say why the primary cannot be sent work now."""
        lease = self.beliefs.lease(request.route.service)
        if lease is None:
            return "no primary is in force for the service"
        left = lease.ends_at - self.beliefs.lease_now()
        if left <= 0:
            return f"the lease on primary {lease.primary} ended {-left:.1f} s ago"
        return f"primary {lease.primary} does not answer here, or is leaving"

    def _takes_work(self, instance: str, primary: str) -> bool:
        if instance not in self.beliefs.pools:
            return False
        if instance == primary:
            return self.beliefs.primary_takes_work(instance)
        return self.beliefs.directory.takes_work(instance)

    def _describe(self, entry: InstanceEntry, is_primary: bool, need: ReadNeed) -> Candidate:
        pool = self.beliefs.pools[entry.id]
        return Candidate(
            entry.id,
            entry.zone == self.zone,
            is_primary,
            entry.slots,
            pool.in_flight,
            pool.latency,
            need.position is not None and pool.lacks(need.position),
        )

    def usable_lease(self, request: Request) -> Lease | None:
        """Return a lease that shows the primary to be good enough for a read of this route."""
        lease = self.beliefs.lease(request.route.service)
        if lease is None or request.session.position.term > lease.term:
            return None
        return lease if lease.covers(self._oldest_moment(request)) else None

    def _oldest_moment(self, request: Request) -> float:
        if request.route.consistency is Consistency.PRIMARY:
            return request.received_at
        return request.received_at - request.route.max_age

    def _needed_position(self, request: Request) -> Position | None:
        """Return what a replica's log must reach; None when no replica will do."""
        route, own = request.route, request.session.position
        if route.consistency is Consistency.PRIMARY:
            return None
        found = self.beliefs.find_position(route.service, self._oldest_moment(request))
        if found is None or route.consistency is Consistency.BOUNDED or own == ORIGIN:
            return found
        # The end of an earlier term may be lost, so only the primary can tell.
        return max(found, own) if own.term == found.term else None

    def may_hope(self, request: Request, avoided: Avoided) -> bool:
        """Tell whether an instance may be found soon, so that waiting for a moment makes sense."""
        lease = self.beliefs.lease(request.route.service)
        if lease is None:
            return self.beliefs.expects_primary(request.route.service)
        pool = self.beliefs.pools.get(lease.primary)
        if pool is None:
            return self.beliefs.is_starting
        return pool.failing_for < HOPE_S and avoided.any

    # Writes.

    async def write(self, request: Request, statement: Runnable) -> Outcome:
        """Run a write outside a transaction; it is sent again only if it provably has not run."""
        avoided = Avoided(self)
        service = request.route.service
        last: Outcome = refuse(Code.BUSY, "place write", "its time is over")
        while self.left(request) > LEAST_TRY_S:
            lease = self.writable_lease(request, avoided)
            if lease is None:
                last = refuse(Code.BUSY, "place write", self.explain_no_primary(request))
                if not self.may_hope(request, avoided):
                    return last
                await self.beliefs.changed.wait(min(LOOK_AGAIN_S, self.left(request)))
                continue
            self.beliefs.primary_work[service] += 1
            try:
                outcome, again = await self._try_write(request, statement, lease)
            finally:
                self.beliefs.primary_work[service] -= 1
            if not again:
                return outcome
            last = outcome
            avoided.add(lease.primary)
        return last

    def writable_lease(self, request: Request, avoided: Avoided) -> Lease | None:
        """Return a lease under which the primary may be sent a write now."""
        lease = self.beliefs.lease(request.route.service)
        if lease is None or not lease.covers(self.beliefs.lease_now()):
            return None
        if avoided.holds(lease.primary) or not self._takes_work(lease.primary, lease.primary):
            return None
        return lease

    async def _try_write(
        self, request: Request, statement: Runnable, lease: Lease
    ) -> tuple[Outcome, bool]:
        """Send a write once; return the outcome and whether it may be sent again."""
        pool = self.beliefs.pools[lease.primary]
        taken = await self.take_connection(pool, request, statement, self.left(request))
        if not isinstance(taken, PooledConnection):
            return taken, not taken.tells_when
        if not self._may_still_send(request, lease):
            pool.release(taken)
            return refuse(Code.BUSY, "send write", "the primary is being replaced"), True
        name = self.prepared_name(taken, statement)
        asked_at = self.beliefs.lease_now()
        asked = taken.link.run(request.id, statement, name, None)
        try:
            reply = await self.run(pool, asked, self.left(request))
        except NOT_ANSWERED as error:
            pool.discard(taken)
            return _refuse_unanswered(error, pool, "run write"), False
        self.settle(pool, taken, reply)
        self.learn(request, lease.primary, asked_at, reply)
        if reply.failure is None:
            return await self.confirm(request, lease, reply), False
        return self._judge_write_failure(pool, reply)

    def _judge_write_failure(self, pool: InstancePool, reply: Reply) -> tuple[Outcome, bool]:
        assert reply.failure is not None
        code = reply.failure.code
        if code is Code.READ_ONLY:
            pool.note_denied_lead()
        detail = f"{pool.entry.id} {reply.failure.detail}"
        after = reply.failure.retry_after
        may_be_sent_again = code in PROVES_NOT_RUN and after is None
        return refuse(code, "run write", detail, pool.entry.id, after), may_be_sent_again

    def _may_still_send(self, request: Request, lease: Lease) -> bool:
        """Tell whether the lease still holds after the wait for a connection."""
        held = self.beliefs.leases.held(request.route.service, lease.revision)
        return held is not None and held.covers(self.beliefs.lease_now())

    async def confirm(self, request: Request, lease: Lease, reply: Reply) -> Outcome:
        """Pass on that a commit succeeded once a lease covers the moment of the answer."""
        answered_at = self.beliefs.lease_now()
        limit = self.beliefs.now() + CONFIRM_S
        while held := self.beliefs.leases.held(request.route.service, lease.revision):
            if held.covers(answered_at):
                return Ran(reply, lease.primary)
            if self.beliefs.now() >= limit:
                break
            await self.beliefs.changed.wait(limit - self.beliefs.now())
        detail = "it ran, and the primary may have been replaced before"
        return refuse(Code.IN_DOUBT, "confirm commit", detail, lease.primary)

    # Connections.

    async def take_connection(
        self, pool: InstancePool, request: Request, statement: Runnable | None, seconds: float
    ) -> PooledConnection | Refused:
        """Return a connection that fits the session, or why there is none; nothing ran."""
        try:
            connection = await self.acquire(pool, request, seconds)
        except (TwistedTimeoutError, CancelledError):
            return refuse(Code.BUSY, "wait for connection", "all are in use", pool.entry.id)
        except QueueTooLongError as error:
            after = error.retry_after
            return refuse(Code.BUSY, "wait for connection", error.detail, pool.entry.id, after)
        except NOT_SENT as error:
            return refuse(Code.BUSY, "open connection", str(error), pool.entry.id)
        try:
            values = request.session.values
            priority = request.route.priority
            # The wait for the connection has taken some of the time.
            seconds = min(seconds, self.left(request))
            await self.prepare(pool, connection, values, statement, priority, seconds)
        except (*NOT_SENT, PreparationError) as error:
            pool.discard(connection)
            return refuse(Code.BUSY, "prepare connection", str(error), pool.entry.id)
        return connection

    def learn(self, request: Request, instance: str, asked_at: float, reply: Reply) -> None:
        """Learn the position of the log if the primary answered."""
        lease = self.beliefs.lease(request.route.service)
        if lease is not None and lease.primary == instance and reply.position is not None:
            self.beliefs.note_position(lease, request.route.service, asked_at, reply.position)


def _refuse_unanswered(error: Exception, pool: InstancePool, step: str) -> Outcome:
    if isinstance(error, TwistedTimeoutError | CancelledError):
        return refuse(Code.TIMEOUT, step, "the route's time is over", pool.entry.id)
    return refuse(Code.IN_DOUBT, step, "the connection broke", pool.entry.id)
