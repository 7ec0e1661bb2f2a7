"""What the callers of a working day observed."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class Outcome(Enum):
    """The outcome of a request as its caller knows it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One finished request, with times in seconds of the event loop's clock."""

    id: str
    kind: str
    # True for a request that changes data.
    write: bool
    sent_at: float
    ended_at: float
    outcome: Outcome
    # Reason of a refusal or a lost stream; empty for an answer.
    reason: str = ""
    # Name of the person on whose instruction it was refused; empty for none.
    person: str = ""
    # True when a replica served it.
    by_replica: bool = False
    # True for a read that a replica may serve.
    replica_may_serve: bool = False


@dataclass(slots=True)
class Observations:
    """All finished requests of a working day, and the violations that callers noticed."""

    # Requests in the order in which they ended.
    requests: list[RequestRecord] = field(default_factory=list)
    # Reads that missed a write of their own session.
    stale_own_reads: int = 0
    # Reads of data older than their maximum age.
    over_age_reads: int = 0
    # Answers that were incomplete or belonged to another request.
    cut_answers: int = 0
    # Dashboard reads with a wrong total.
    wrong_totals: int = 0
    # When the primary was killed, in seconds of the event loop's clock; 0 before.
    primary_killed_at: float = 0.0

    def failover_gap(self) -> float | None:
        """Return the seconds from the kill to the first answer to a later write, or None."""
        ends = [
            request.ended_at
            for request in self.requests
            if request.write
            and request.outcome is Outcome.ANSWERED
            and request.sent_at > self.primary_killed_at > 0
        ]
        return min(ends) - self.primary_killed_at if ends else None

    def count_answered_before(self, kind: str, cutoff: float) -> int:
        """Return the number of requests of `kind` that were answered before the time `cutoff`."""
        return sum(
            request.kind == kind
            and request.outcome is Outcome.ANSWERED
            and request.ended_at < cutoff
            for request in self.requests
        )
