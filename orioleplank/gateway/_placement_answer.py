"""Placement queries and their answers, which are sent as JSON; times are in seconds."""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct


@unique
class StatementKind(Enum):
    """What is to be placed."""

    READ = "read"
    WRITE = "write"
    READ_ONLY_TRANSACTION = "read-only-transaction"


class PlacementQuery(Struct, frozen=True):
    """A question where a request of a new session would go."""

    kind: StatementKind
    database: str
    # Name of the client account; None for a caller whose key belongs to no account.
    account: str | None = None
    # Replaces the maximum age of the route; None to keep it.
    max_age: float | None = None


class RouteAnswer(Struct, frozen=True):
    """The route of the database."""

    database: str
    service: str
    consistency: str
    timeout: float
    max_age: float
    priority: int
    is_public: bool


class RequirementAnswer(Struct, frozen=True):
    """What the request requires of an instance."""

    # Position that a replica must have reached, TERM.INDEX; None if only the primary may serve it.
    min_position: str | None
    max_age: float
    time_left: float


class CandidateAnswer(Struct, frozen=True):
    """An instance of the service, and why it may or may not serve the request."""

    instance: str
    zone: str
    # True if it is the primary under a lease that is sufficient for the request.
    is_primary: bool
    reason: str
    # The time by which reads compare it; None where it takes no part in the comparison.
    expected_time: float | None = None


class QueueAnswer(Struct, frozen=True):
    """A queue for connections to the chosen instance."""

    # Name of the proxy that holds the connections.
    owner: str
    waiting: int
    running: int
    # Until a new request of the lowest priority would start.
    expected_wait: float
    # Since the owner told this; 0 at this proxy itself.
    age: float = 0.0


class ConnectionAnswer(Struct, frozen=True):
    """How the request would reach the chosen instance."""

    # Proxy whose connections are used, possibly this one; None if no owner can be used.
    owner: str | None
    # True if this proxy forwards the request to the owner.
    is_forwarded: bool
    # The queue at this proxy, and at the owner if it has told its load.
    queues: tuple[QueueAnswer, ...]
    # True if this proxy's queue is longer than the time left: such a request is refused there.
    is_queue_too_long: bool
    # True if only probes get a connection, because the instance did not answer.
    is_suspect: bool


class PermitAnswer(Struct, frozen=True):
    """The permits of an account with a rate limit at this proxy."""

    # Unused permits; without any, a request asks a coordinator first.
    held: int


class RefusalAnswer(Struct, frozen=True):
    """Why the request cannot be placed now."""

    code: str
    step: str
    detail: str
    retry_after: float | None
    # True if a request would not be refused at once, but wait for an instance to become available.
    waits_for_instance: bool = False


class PlacementAnswer(Struct, frozen=True):
    """Where a request would go now, and why."""

    proxy: str
    kind: StatementKind
    route: RouteAnswer | None = None
    # Empty for a caller without an account; None if the caller is not allowed.
    account: str | None = None
    requirement: RequirementAnswer | None = None
    candidates: tuple[CandidateAnswer, ...] = ()
    # Empty with a refusal.
    instance: str = ""
    # Until the request is sent to the instance, a replica that lacks the position; 0 otherwise.
    wait: float = 0.0
    connection: ConnectionAnswer | None = None
    # None for an account without a limit.
    permits: PermitAnswer | None = None
    refusal: RefusalAnswer | None = None
