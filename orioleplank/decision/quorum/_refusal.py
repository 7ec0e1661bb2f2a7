"""Refusals: whether the request ran, who refused it, why, and when to retry."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique


@unique
class DidRun(Enum):
    """Whether a refused request ran."""

    # It did not run and will not.
    NO = "no"
    # It may have run; its outcome can be asked for under its id.
    UNKNOWN = "unknown"


@unique
class RefusalReason(Enum):
    """The closed set of reasons for a refusal."""

    # The preset in force does not admit the kind.
    PRESET = "preset"
    # The request is malformed.
    MALFORMED_REQUEST = "malformed-request"
    # The session token is malformed.
    MALFORMED_TOKEN = "malformed-token"
    # The message is larger than the proxy accepts.
    TOO_LARGE = "too-large"
    # No such service is configured.
    UNKNOWN_SERVICE = "unknown-service"
    # The service has no such kind.
    UNKNOWN_KIND = "unknown-kind"
    # The proxy has not learned the configuration yet.
    NOT_CONFIGURED = "not-configured"
    # The queue is full, or the request could not make its deadline.
    OVERLOADED = "overloaded"
    # The deadline passed.
    DEADLINE = "deadline"
    # The group has no reachable primary.
    NO_PRIMARY = "no-primary"
    # The session has seen a write that did not survive.
    POSITION_LOST = "position-lost"
    # The upstream refused the statement itself.
    STATEMENT_FAILED = "statement-failed"
    # The request's id was tombstoned after an earlier cut.
    TOMBSTONED = "tombstoned"
    # The transaction is not open on this proxy.
    UNKNOWN_TRANSACTION = "unknown-transaction"
    # The transaction lost its connection and was rolled back.
    TRANSACTION_ABORTED = "transaction-aborted"
    # The same id is in progress for another request.
    ID_IN_USE = "id-in-use"
    # The retry budget is spent.
    RETRY_BUDGET = "retry-budget"
    # The proxy is stopping.
    STOPPING = "stopping"
    # The proxy failed at a step of its own.
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Person:
    """A person whose accepted change refuses the request."""

    # Name of the author.
    name: str
    # Id of the change.
    change_id: str
    # When it was accepted, seconds since the epoch.
    changed_at: float


@unique
class Mechanism(Enum):
    """The part of a program that refused a request."""

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
    """A program that refused the request."""

    # Which part of it.
    mechanism: Mechanism


Party = Person | Program


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request got no answer."""

    # Why.
    reason: RefusalReason
    # Who refused it.
    party: Party
    # Whether it ran.
    did_run: DidRun
    # The step at which it was refused.
    step: str
    # The peer concerned at that step; empty when none.
    peer: str = ""
    # Seconds after which a retry may be worth it; 0 means never.
    retry_after: float = 0.0
    # One sentence for a person.
    detail: str = ""
