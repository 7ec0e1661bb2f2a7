"""Refusals: the reason, who refused, whether the request was executed, and when to retry."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique


@unique
class DidRun(Enum):
    """Whether a refused request was executed."""

    # It was not executed and never will be.
    NO = "no"
    # It may have been executed; the outcome can be queried with its request id.
    UNKNOWN = "unknown"


@unique
class RefusalReason(Enum):
    """All reasons for a refusal."""

    # The preset in force refuses the kind of the request.
    PRESET = "preset"
    # The request is malformed.
    MALFORMED_REQUEST = "malformed-request"
    # The session token is malformed.
    MALFORMED_TOKEN = "malformed-token"
    # The message exceeds the maximum size that the proxy accepts.
    TOO_LARGE = "too-large"
    # No such service is configured.
    UNKNOWN_SERVICE = "unknown-service"
    # The service has no such kind.
    UNKNOWN_KIND = "unknown-kind"
    # The proxy has not received the configuration yet.
    NOT_CONFIGURED = "not-configured"
    # The queue is full, or the request would miss its deadline.
    OVERLOADED = "overloaded"
    # The deadline of the request has passed.
    DEADLINE = "deadline"
    # The group has no reachable primary.
    NO_PRIMARY = "no-primary"
    # The session has observed a write that was lost in a failover.
    POSITION_LOST = "position-lost"
    # The upstream rejected the statement.
    STATEMENT_FAILED = "statement-failed"
    # The request's id was tombstoned after an earlier attempt lost its connection.
    TOMBSTONED = "tombstoned"
    # The transaction is not open on this proxy.
    UNKNOWN_TRANSACTION = "unknown-transaction"
    # The connection of the transaction was lost and the transaction was rolled back.
    TRANSACTION_ABORTED = "transaction-aborted"
    # Another request with the same id is in progress.
    ID_IN_USE = "id-in-use"
    # The retry budget is exhausted.
    RETRY_BUDGET = "retry-budget"
    # The proxy is shutting down.
    STOPPING = "stopping"
    # An internal error occurred in the proxy.
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Person:
    """The author of a configuration change that causes the refusal."""

    name: str
    change_id: str
    # When the change was made, in seconds since the Unix epoch.
    changed_at: float


@unique
class Mechanism(Enum):
    """Part of the proxy or upstream that refused a request."""

    VALIDATION = "validation"
    CONFIGURATION = "configuration"
    ADMISSION = "admission"
    DEADLINE = "deadline"
    ROUTING = "routing"
    SESSION = "session"
    LEDGER = "ledger"
    UPSTREAM = "upstream"
    TRANSACTION = "transaction"
    RETRY = "retry"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Program:
    """Indicates that a program, not a person, refused the request."""

    mechanism: Mechanism


Party = Person | Program


@dataclass(frozen=True, slots=True)
class Refusal:
    """Response to a request that was refused."""

    reason: RefusalReason
    # Person or program that refused the request.
    party: Party
    did_run: DidRun
    # Processing step at which the request was refused.
    step: str
    # Instance or proxy concerned at that step; empty for none.
    peer: str = ""
    # Seconds after which a retry may succeed; 0 if the request should not be retried.
    retry_after: float = 0.0
    # One sentence of explanation; empty for none.
    detail: str = ""
