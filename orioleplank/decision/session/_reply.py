"""Replies of instances, and what their codes prove."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from orioleplank.decision._position import Position


@unique
class FailureCode(Enum):
    """Why a statement failed."""

    # No slot, or nobody who can serve it now; nothing ran.
    BUSY = "busy"
    # The transaction was rolled back.
    ABORTED = "aborted"
    # The log lacks the position that was asked for; nothing ran.
    LAGGING = "lagging"
    # The instance is no primary; nothing ran.
    READ_ONLY = "read-only"
    # The instance is another one than was meant; nothing ran.
    WRONG_INSTANCE = "wrong-instance"
    # The instance has no connection left; nothing ran.
    CONNECTION_LIMIT = "connection-limit"
    # It may have run.
    IN_DOUBT = "in-doubt"
    # It took too long; it may have run.
    TIMEOUT = "timeout"
    # It ran and failed.
    EXECUTION_FAILED = "execution-failed"
    # The prepared name is not known; nothing ran.
    UNKNOWN_NAME = "unknown-name"
    # No route has the database's name.
    UNKNOWN_DATABASE = "unknown-database"
    # The message is larger than allowed.
    TOO_LARGE = "too-large"
    # The message cannot be read, or does not fit the session's state.
    MALFORMED = "malformed"
    # A code that this program does not know.
    UNKNOWN = "unknown"


# Codes of an instance after which the statement has provably not run.
NOT_EXECUTED_CODES = frozenset(
    {
        FailureCode.BUSY,
        FailureCode.LAGGING,
        FailureCode.READ_ONLY,
        FailureCode.WRONG_INSTANCE,
        FailureCode.CONNECTION_LIMIT,
        FailureCode.UNKNOWN_NAME,
    }
)


@unique
class TransactionState(Enum):
    """State of a connection after a reply."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed statement."""

    # Why.
    code: FailureCode
    # One phrase for a person.
    detail: str
    # Seconds after which asking again makes sense; None when that is not known.
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """An instance's whole reply to one statement, or the proxy's own."""

    # Rows, unchanged.
    rows: tuple[str, ...] = ()
    # Signature of the instance; "-" when nothing was run under an id.
    signature: str = "-"
    # Why it failed; None when it succeeded.
    failure: Failure | None = None
    # State of the connection afterwards.
    state: TransactionState = TransactionState.IDLE
    # Position of the instance's log; None when it was not told.
    position: Position | None = None
