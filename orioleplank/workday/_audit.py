"""Checks what callers were told against what the upstreams hold."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from urllib.error import URLError
from urllib.request import urlopen

from orioleplank._exceptions import OrioleplankError
from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.workday._observation import Observations, Outcome

CALL_LIMIT_S = 3.0


class AuditError(OrioleplankError):
    """No upstream could be audited."""


@dataclass(frozen=True, slots=True)
class AuditReport:
    """The counts of a working day."""

    # Requests sent.
    requests: int
    # Requests answered whole.
    answered_whole: int
    # Requests refused.
    refused: int
    # Requests whose outcome the caller was not told.
    unknown: int
    # Writes that were acknowledged and are not there.
    lost_writes: int
    # Writes that are there more than once.
    doubled_writes: int
    # Reads that missed a write of their own session.
    stale_own_reads: int
    # Reads older than their stated age.
    over_age_reads: int
    # Answers that were cut off or belonged to another request.
    cut_answers: int
    # Dashboards whose total was wrong.
    wrong_totals: int
    # Requests that ran although their caller was told that they did not.
    untrue_refusals: int
    # Seconds from the kill to the first write acknowledged after it; None without one.
    failover_gap_s: float | None
    # Share of reads that replicas served, of those they may serve.
    reads_by_replicas_share: float | None

    @property
    def violation_count(self) -> int:
        """How often a promise was broken."""
        return (
            self.lost_writes
            + self.doubled_writes
            + self.stale_own_reads
            + self.over_age_reads
            + self.cut_answers
            + self.wrong_totals
            + self.untrue_refusals
            + (self.failover_gap_s is None)
        )


def audit_workload(observations: Observations, admins: tuple[str, ...]) -> AuditReport:
    """Check all samples against the log of the primary of the highest term."""
    written = _count_writes(_read_primary_log(admins))
    outcomes = Counter(sample.outcome for sample in observations.requests)
    writes = [sample for sample in observations.requests if sample.write]
    may = [
        sample
        for sample in observations.requests
        if sample.replica_may_serve and sample.outcome is Outcome.ANSWERED
    ]
    return AuditReport(
        requests=len(observations.requests),
        answered_whole=outcomes[Outcome.ANSWERED],
        refused=outcomes[Outcome.REFUSED],
        unknown=outcomes[Outcome.UNKNOWN],
        lost_writes=sum(s.outcome is Outcome.ANSWERED and not written[s.id] for s in writes),
        doubled_writes=sum(count > 1 for count in written.values()),
        stale_own_reads=observations.stale_own_reads,
        over_age_reads=observations.over_age_reads,
        cut_answers=observations.cut_answers,
        wrong_totals=observations.wrong_totals,
        untrue_refusals=sum(s.outcome is Outcome.REFUSED and written[s.id] > 0 for s in writes),
        failover_gap_s=observations.failover_gap(),
        reads_by_replicas_share=sum(s.by_replica for s in may) / len(may) if may else None,
    )


def _read_primary_log(admins: tuple[str, ...]) -> list[list[str]]:
    """Return the payloads of each entry of the primary's log, in hexadecimal."""
    audits = []
    for admin in admins:
        try:
            with urlopen(f"http://{admin}/", timeout=CALL_LIMIT_S) as response:
                audits.append(json.load(response))
        except (URLError, OSError):
            continue
    primaries = [audit for audit in audits if audit["role"] == "primary"]
    if not primaries:
        raise AuditError("audit", ", ".join(admins), "no primary answered")
    newest = max(primaries, key=lambda audit: int(audit["term"]))
    return [entry["payloads"] for entry in newest["log"] if not entry["tombstone"]]


def _count_writes(log: list[list[str]]) -> Counter[str]:
    """Count the entries that each request wrote; a request's id is its statements' first value."""
    written: Counter[str] = Counter()
    for payloads in log:
        ids = set()
        for payload in payloads:
            queries = common.Queries.FromString(bytes.fromhex(payload)).queries
            ids |= {query.args[0].text for query in queries if query.args}
        written.update(ids)
    return written
