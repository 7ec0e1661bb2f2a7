"""What the callers of a working day saw."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique


@unique
class Outcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request and its end."""

    # Id of the request.
    id: str
    # Kind of the request.
    kind: str
    # True when it changes data.
    write: bool
    # When it was sent, in seconds of the driver's clock.
    sent_at: float
    # When it ended.
    ended_at: float
    # How it ended.
    outcome: Outcome
    # Why it was refused; empty when it was not.
    reason: str = ""
    # Name of the person who refused it; empty when none did.
    person: str = ""
    # True when a replica served it.
    by_replica: bool = False
    # True for a read that a replica may serve.
    replica_may_serve: bool = False


@dataclass(slots=True)
class Observations:
    """All requests of a day, and the promises that were seen broken on the way."""

    # Every request, in order of its end.
    requests: list[RequestRecord] = field(default_factory=list)
    # Reads that missed a write of their own session.
    stale_own_reads: int = 0
    # Reads older than their stated age.
    over_age_reads: int = 0
    # Answers that were cut off or belonged to another request.
    cut_answers: int = 0
    # Dashboards whose total was wrong.
    wrong_totals: int = 0
    # When the primary was killed, in seconds of the driver's clock; 0 before.
    primary_killed_at: float = 0.0

    def failover_gap(self) -> float | None:
        """Return seconds from the kill to the end of the first write sent after it and answered."""
        ends = [
            sample.ended_at
            for sample in self.requests
            if sample.write
            and sample.outcome is Outcome.ANSWERED
            and sample.sent_at > self.primary_killed_at > 0
        ]
        return min(ends) - self.primary_killed_at if ends else None

    def count_answered_before(self, kind: str, at: float) -> int:
        """Return how many requests of `kind` were answered before `at`."""
        return sum(
            sample.kind == kind and sample.outcome is Outcome.ANSWERED and sample.ended_at < at
            for sample in self.requests
        )
