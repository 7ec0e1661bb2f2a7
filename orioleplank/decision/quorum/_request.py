"""What callers ask for and what they get."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from orioleplank.decision._position import Position
from orioleplank.decision.quorum._refusal import Refusal
from orioleplank.decision.quorum._token import SessionToken

MAX_ID_CHARACTERS = 128


@unique
class Operation(Enum):
    """Which step a request is."""

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
    """Data at least as new as all the session has written and read."""


@dataclass(frozen=True, slots=True)
class MaxAgeFreshness:
    """Session freshness, and data never older than a stated age."""

    # Greatest accepted age in seconds, above 0.
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
    """One request of a caller."""

    # Unique for ever; a repeat under the same id is the same request.
    id: str
    # Name of the service.
    service: str
    # Name of the kind.
    kind: str
    # Which step it is.
    operation: Operation
    # Queries to run, not read by the proxy.
    payload: bytes
    # True when it changes data.
    write: bool
    # True when running it twice does no harm.
    repeatable: bool
    # How recent the data of a read has to be.
    freshness: Freshness
    # When the caller stops waiting, in seconds of the proxy's monotonic clock.
    deadline: float
    # What the session has seen.
    token: SessionToken
    # The caller's name for the transaction; empty outside one.
    transaction: str = ""
    # True when it has been sent before under this id, to whichever proxy.
    sent_before: bool = False

    def __post_init__(self) -> None:
        if not 1 <= len(self.id) <= MAX_ID_CHARACTERS:
            raise ValueError(f"a request id has 1 to {MAX_ID_CHARACTERS} characters")
        if self.operation in TRANSACTION_OPERATIONS and not self.transaction:
            raise ValueError(f"{self.operation.value} names its transaction")

    @property
    def may_have_run(self) -> bool:
        """True when an earlier copy may have run, whatever becomes of this one."""
        return self.operation is Operation.OUTCOME or (self.write and self.sent_before)

    @property
    def ledger_id(self) -> str:
        """The id to write into the ledger; empty when running it twice does no harm."""
        if self.operation is Operation.COMMIT:
            return self.id
        return self.id if self.write and not self.repeatable else ""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    # What the upstream returned, not read by the proxy.
    result: bytes
    # The session's new token.
    token: SessionToken
    # Position the answer shows.
    position: Position
    # Instance that ran it; empty for a step that reached none.
    instance: str = ""
    # True when a replica served it.
    by_replica: bool = False
    # True when it ran earlier under the same id.
    repeated: bool = False


Outcome = Answer | Refusal
