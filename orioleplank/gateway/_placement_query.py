"""Answers where a request would go now, by the code that places requests, without any effect.

That code records which positions reads require and draws random numbers. A query therefore runs it
on copies of the position tracker and of the random generator.
"""

from __future__ import annotations

from copy import copy
from random import Random

from msgspec.structs import replace

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.accounts import ANONYMOUS, ClientAccount
from orioleplank.decision.admission import AdmissionRefused, decide_admission
from orioleplank.decision.instances import Consistency, InstanceEntry, Route
from orioleplank.decision.mechanisms import Mechanism
from orioleplank.decision.routing import (
    NoInstanceAvailable,
    ReplicaExpected,
    SelectedInstance,
    expected_time,
)
from orioleplank.decision.session import FailureCode, Session
from orioleplank.gateway._avoided_instances import AvoidedInstances
from orioleplank.gateway._instance_connector import InstanceConnector
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._operation_admission import SHUTDOWN_REASON, UNKNOWN_KEY_REASON
from orioleplank.gateway._outcome import Refused, refuse, refuse_by_operator
from orioleplank.gateway._placement_answer import (
    CandidateAnswer,
    ConnectionAnswer,
    PermitAnswer,
    PlacementAnswer,
    PlacementQuery,
    QueueAnswer,
    RefusalAnswer,
    RequirementAnswer,
    RouteAnswer,
    StatementKind,
)
from orioleplank.gateway._pool import InstancePool
from orioleplank.gateway._rate_limiter import RateLimiter
from orioleplank.gateway._read_placement import accepts_work
from orioleplank.gateway._statements import StatementExecutor

# Names the request in no log; it only determines which share of `WAIT_SPREAD_S` a read waits.
QUERY_ID = "placement query"


class InvalidQueryError(OrioleplankError):
    """A placement query names something unknown, or an age that does not apply."""


class PlacementFinder:
    """Finds the placement of one request; a finder is used for a single query."""

    def __init__(
        self,
        proxy: str,
        statements: StatementExecutor,
        connector: InstanceConnector,
        rate_limiter: RateLimiter,
    ) -> None:
        self._proxy = proxy
        self._connector = connector
        self._rate_limiter = rate_limiter
        self._random = _copy_random(statements.random)
        self._cluster_state = copy(statements.cluster_state)
        self._cluster_state.positions = statements.cluster_state.positions.copy()
        self._statements = StatementExecutor(
            self._cluster_state, statements.reactor, statements.zone, self._random
        )
        self._avoided = AvoidedInstances(self._statements)

    def find(self, query: PlacementQuery) -> PlacementAnswer:
        """Return where the request would go; raise `InvalidQueryError` if it cannot be asked."""
        answer = PlacementAnswer(self._proxy, query.kind)
        if self._cluster_state.routes.version == 0:
            refusal = refuse(FailureCode.BUSY, "find route", "no configuration is known yet")
            return replace(answer, refusal=_describe_refusal(refusal))
        route = self._find_route(query)
        answer = replace(answer, route=_describe_route(route))
        account = self._find_account(query, route)
        if account is None:
            refusal = refuse_by_operator(
                FailureCode.UNAUTHENTICATED, _first_step(query.kind), UNKNOWN_KEY_REASON
            )
            return replace(answer, refusal=_describe_refusal(refusal))
        answer = replace(answer, account=account.name)
        return self._place(answer, self._build_request(route, account))

    # The request.

    def _find_route(self, query: PlacementQuery) -> Route:
        route = self._cluster_state.route(query.database)
        if route is None:
            detail = f"no route is called {query.database[:60]}"
            raise InvalidQueryError("find route", "", detail)
        if query.max_age is None:
            return route
        if query.kind is StatementKind.WRITE or route.consistency is Consistency.PRIMARY:
            detail = "an age applies only to reads of a route that replicas serve"
            raise InvalidQueryError("apply age", route.database, detail)
        return replace(route, max_age=query.max_age)

    def _find_account(self, query: PlacementQuery, route: Route) -> ClientAccount | None:
        """Return the account; None for a caller without one on a route that is not public."""
        table = self._cluster_state.routes.accounts
        if query.account is None:
            return ANONYMOUS if table is None or route.is_public else None
        accounts = table.by_key.values() if table is not None else ()
        account = next((known for known in accounts if known.name == query.account), None)
        if account is None:
            detail = f"no account with a usable key is called {query.account[:60]}"
            raise InvalidQueryError("find account", "", detail)
        return account

    def _build_request(self, route: Route, account: ClientAccount) -> Request:
        return Request(
            QUERY_ID,
            Session(route.database),
            0,
            route,
            account,
            self._cluster_state.lease_clock(),
            self._cluster_state.now() + route.timeout,
        )

    # Placement.

    def _place(self, answer: PlacementAnswer, request: Request) -> PlacementAnswer:
        permits = self._rate_limiter.find_permits(request.account)
        if permits is not None:
            answer = replace(answer, permits=PermitAnswer(permits[0]))
        refusal = self._find_refusal(answer.kind, request) or (permits[1] if permits else None)
        if answer.kind is StatementKind.WRITE:
            answer = replace(answer, candidates=self._describe_write_candidates(request))
        else:
            answer = replace(
                answer,
                requirement=self._describe_requirement(request),
                candidates=self._describe_read_candidates(request),
            )
        if refusal is not None:
            return replace(answer, refusal=_describe_refusal(refusal))
        if answer.kind is StatementKind.WRITE:
            return self._place_write(answer, request)
        return self._place_read(answer, request)

    def _find_refusal(self, kind: StatementKind, request: Request) -> Refused | None:
        """Return the refusal of a proxy that shuts down and would not complete the request."""
        is_transaction = kind is StatementKind.READ_ONLY_TRANSACTION
        if is_transaction and not self._cluster_state.accepts_transaction():
            return refuse(FailureCode.BUSY, _first_step(kind), SHUTDOWN_REASON)
        if not is_transaction and not self._cluster_state.accepts_request(request.route.timeout):
            return refuse(FailureCode.BUSY, _first_step(kind), SHUTDOWN_REASON)
        return None

    def _place_read(self, answer: PlacementAnswer, request: Request) -> PlacementAnswer:
        is_read = answer.kind is StatementKind.READ
        match self._statements.reads.select_instance(request, self._avoided):
            case SelectedInstance(id=instance):
                return self._add_connection(answer, request, instance)
            case ReplicaExpected(id=instance, wait=wait):
                return self._add_connection(replace(answer, wait=wait), request, instance)
            case NoInstanceAvailable(reason, retry_after):
                step = "place read" if is_read else "begin transaction"
                refusal = refuse(FailureCode.BUSY, step, reason, retry_after=retry_after)
                return self._refuse_for_now(answer, request, refusal)

    def _place_write(self, answer: PlacementAnswer, request: Request) -> PlacementAnswer:
        lease = self._statements.find_write_lease(request, self._avoided)
        if lease is not None:
            return self._add_connection(answer, request, lease.primary)
        reason = self._statements.explain_no_primary(request)
        refusal = refuse(FailureCode.BUSY, "place write", reason)
        return self._refuse_for_now(answer, request, refusal)

    def _refuse_for_now(
        self, answer: PlacementAnswer, request: Request, refusal: Refused
    ) -> PlacementAnswer:
        waits = self._statements.may_become_available(request, self._avoided)
        return replace(answer, refusal=_describe_refusal(refusal, waits))

    # Requirement and candidates.

    def _describe_requirement(self, request: Request) -> RequirementAnswer:
        requirement = self._statements.reads.build_requirement(request)
        position = requirement.min_position
        return RequirementAnswer(
            str(position) if position is not None else None,
            request.route.max_age,
            requirement.time_left,
        )

    def _describe_read_candidates(self, request: Request) -> tuple[CandidateAnswer, ...]:
        reads = self._statements.reads
        requirement, lease = reads.build_requirement(request), reads.usable_lease(request)
        primary = lease.primary if lease else ""
        answers = []
        for entry in self._cluster_state.directory.entries_of_service(request.route.service):
            is_primary, time = entry.id == primary, None
            if accepts_work(self._cluster_state, entry.id, primary):
                candidate = reads.build_candidate(entry, is_primary, requirement, request)
                time = expected_time(candidate)
            reason = reads.explain_instance(request, self._avoided, entry)
            answers.append(CandidateAnswer(entry.id, entry.zone, is_primary, reason, time))
        return tuple(answers)

    def _describe_write_candidates(self, request: Request) -> tuple[CandidateAnswer, ...]:
        lease = self._cluster_state.lease(request.route.service)
        may_write = self._statements.find_write_lease(request, self._avoided) is not None
        answers = []
        for entry in self._cluster_state.directory.entries_of_service(request.route.service):
            is_primary = lease is not None and lease.primary == entry.id
            reason = "is not the primary"
            if is_primary and may_write:
                reason = "may run it as the primary"
            elif is_primary:
                reason = self._statements.explain_no_primary(request)
            usable = is_primary and may_write
            answers.append(CandidateAnswer(entry.id, entry.zone, usable, reason))
        return tuple(answers)

    # The connection.

    def _add_connection(
        self, answer: PlacementAnswer, request: Request, instance: str
    ) -> PlacementAnswer:
        pool = self._cluster_state.pools[instance]
        owner: str | None = self._proxy
        if not self._connector.holds_connections(pool.entry):
            record = self._connector.select_owner(pool.entry, request.account.name, self._random)
            owner = record.name if record is not None else None
        admission = decide_admission(pool.expected_wait, self._statements.remaining_time(request))
        refuses_early = self._cluster_state.mechanisms.is_on(Mechanism.EARLY_REFUSAL)
        connection = ConnectionAnswer(
            owner,
            owner is not None and owner != self._proxy,
            self._describe_queues(pool, pool.entry, owner),
            refuses_early and isinstance(admission, AdmissionRefused),
            pool.is_suspect,
        )
        return replace(answer, instance=instance, connection=connection)

    def _describe_queues(
        self, pool: InstancePool, entry: InstanceEntry, owner: str | None
    ) -> tuple[QueueAnswer, ...]:
        """Return the queue at this proxy, and what the owner has told of its queue."""
        own = QueueAnswer(self._proxy, pool.waiting, len(pool.statements), pool.expected_wait)
        if owner is None or owner == self._proxy:
            return (own,)
        report = self._connector.owner_load_report(entry, owner)
        if report is None:
            return (own,)
        age = self._cluster_state.now() - report.received_at
        load = report.load
        return own, QueueAnswer(owner, load.waiting, load.running, report.expected_wait, age)


def _copy_random(random: Random | None) -> Random | None:
    """Return a generator that gives the same next numbers."""
    if random is None:
        return None
    copied = Random(0)
    copied.setstate(random.getstate())
    return copied


def _first_step(kind: StatementKind) -> str:
    return "begin" if kind is StatementKind.READ_ONLY_TRANSACTION else "admit"


def _describe_route(route: Route) -> RouteAnswer:
    return RouteAnswer(
        route.database,
        route.service,
        route.consistency.value,
        route.timeout,
        route.max_age,
        route.priority,
        route.is_public,
    )


def _describe_refusal(refusal: Refused, waits_for_instance: bool = False) -> RefusalAnswer:
    failure = refusal.failure
    return RefusalAnswer(
        failure.code.value, refusal.step, failure.detail, failure.retry_after, waits_for_instance
    )
