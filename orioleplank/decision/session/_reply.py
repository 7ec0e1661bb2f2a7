"""Replies to statements, and which failure codes show that a statement has not run."""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct

from orioleplank.decision._position import Position


@unique
class FailureCode(Enum):
    """Why a statement failed."""

    # No free slot, or no instance can serve the statement now; nothing ran.
    BUSY = "busy"
    # The transaction was rolled back.
    ABORTED = "aborted"
    # The log has not reached the requested position; nothing ran.
    LAGGING = "lagging"
    # The instance is not a primary; nothing ran.
    READ_ONLY = "read-only"
    # The statement reached another instance than the intended one; nothing ran.
    WRONG_INSTANCE = "wrong-instance"
    # The instance accepts no more connections; nothing ran.
    CONNECTION_LIMIT = "connection-limit"
    # The statement may have run.
    IN_DOUBT = "in-doubt"
    # The statement timed out; it may have run.
    TIMEOUT = "timeout"
    # The statement ran and failed.
    EXECUTION_FAILED = "execution-failed"
    # The prepared name is not known; nothing ran.
    UNKNOWN_NAME = "unknown-name"
    # There is no route for the database.
    UNKNOWN_DATABASE = "unknown-database"
    # The caller's key belongs to no account; nothing ran.
    UNAUTHENTICATED = "unauthenticated"
    # The message is larger than allowed.
    TOO_LARGE = "too-large"
    # The message cannot be parsed, or is not allowed in the current state of the session.
    MALFORMED = "malformed"
    # The instance sent a code that the proxy does not know.
    UNKNOWN = "unknown"


# Codes with which an instance guarantees that the statement has not run.
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
    """Transaction state of a connection after a reply."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Failure(Struct, frozen=True):
    """The failure of a statement, with a description for the caller."""

    code: FailureCode
    # Short description for the caller.
    detail: str
    # Seconds after which a retry may succeed; None when unknown.
    retry_after: float | None = None


class Reply(Struct, frozen=True):
    """The complete reply to one statement, from an instance or from the proxy itself."""

    # Rows exactly as the instance sent them.
    rows: tuple[str, ...] = ()
    # Signature from the instance; "-" when no statement ran under an id.
    signature: str = "-"
    # None when the statement succeeded.
    failure: Failure | None = None
    # Transaction state of the connection after the statement.
    state: TransactionState = TransactionState.IDLE
    # Log position of the instance; None when it reported none.
    position: Position | None = None
