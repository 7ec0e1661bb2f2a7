"""Requests of callers and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from orioleplank.decision._position import Position
from orioleplank.decision.quorum._refusal import Refusal
from orioleplank.decision.quorum._token import SessionToken

MAX_ID_CHARACTERS = 128


@unique
class Operation(Enum):
    """What a request does: run on its own, act on a transaction, or query an earlier outcome."""

    RUN = "run"
    BEGIN = "begin"
    STEP = "step"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    OUTCOME = "outcome"


TRANSACTION_OPERATIONS = frozenset(
    {Operation.BEGIN, Operation.STEP, Operation.COMMIT, Operation.ROLLBACK}
)


@dataclass(frozen=True, slots=True)
class SessionFreshness:
    """Data at least as recent as everything the session has written and read."""


@dataclass(frozen=True, slots=True)
class MaxAgeFreshness:
    """Session freshness, and data no older than a given age."""

    # Maximum accepted age in seconds, above 0.
    seconds: float

    def __post_init__(self) -> None:
        if self.seconds <= 0:
            raise ValueError(f"the greatest accepted age is above 0 s, not {self.seconds}")


@dataclass(frozen=True, slots=True)
class CurrentFreshness:
    """Every write acknowledged before the request arrived is visible."""


Freshness = SessionFreshness | MaxAgeFreshness | CurrentFreshness


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller."""

    # Never reused; a message with the same id is a repeat of the same request.
    id: str
    service: str
    # Name of the request kind, as configured for the service.
    kind: str
    operation: Operation
    # Queries to run, opaque to the proxy.
    payload: bytes
    # True when the request changes data.
    write: bool
    # True when the request is idempotent, so that it may run more than once.
    repeatable: bool
    # Required recency of the data of a read.
    freshness: Freshness
    # Time at which the caller stops waiting, in seconds of the monotonic clock of the proxy.
    deadline: float
    # Newest positions that the session has seen.
    token: SessionToken
    # Name of the transaction, chosen by the caller; empty outside a transaction.
    transaction: str = ""
    # True when the caller has sent the request before under this id, to any proxy.
    sent_before: bool = False

    def __post_init__(self) -> None:
        if not 1 <= len(self.id) <= MAX_ID_CHARACTERS:
            raise ValueError(f"a request id has 1 to {MAX_ID_CHARACTERS} characters")
        if self.operation in TRANSACTION_OPERATIONS and not self.transaction:
            raise ValueError(f"{self.operation.value} names its transaction")

    @property
    def may_have_run(self) -> bool:
        """True when an earlier copy of the request may have run, regardless of this one."""
        return self.operation is Operation.OUTCOME or (self.write and self.sent_before)

    @property
    def ledger_id(self) -> str:
        """The id to record in the ledger; empty for reads and idempotent writes.

        A commit is always recorded.
        """
        if self.operation is Operation.COMMIT:
            return self.id
        return self.id if self.write and not self.repeatable else ""


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer to a request."""

    # Result from the upstream, opaque to the proxy.
    result: bytes
    # New token of the session.
    token: SessionToken
    # Log position that the answer reflects.
    position: Position
    # Name of the instance that ran the request; empty if the step was sent to none.
    instance: str = ""
    # True when a replica served the request.
    by_replica: bool = False
    # True when the request had already run under the same id.
    repeated: bool = False


Outcome = Answer | Refusal
