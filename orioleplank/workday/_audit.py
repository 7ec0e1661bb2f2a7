"""Compares the replies that callers received with the log of the upstreams' primary."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from urllib.error import URLError
from urllib.request import urlopen

from orioleplank._exceptions import OrioleplankError
from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.workday._observation import Observations, Outcome

AUDIT_CALL_TIMEOUT_S = 3.0


class AuditError(OrioleplankError):
    """No primary answered, so that the audit is impossible."""


@dataclass(frozen=True, slots=True)
class AuditReport:
    """Request counts and violations of a working day."""

    requests: int
    # Requests with an answer.
    answered_whole: int
    refused: int
    # Requests whose outcome is unknown to the caller.
    unknown: int
    # Acknowledged writes that are missing from the primary's log.
    lost_writes: int
    # Writes that the log contains more than once.
    doubled_writes: int
    # Reads that missed a write of their own session.
    stale_own_reads: int
    # Reads of data older than their maximum age.
    over_age_reads: int
    # Answers that were incomplete or belonged to another request.
    cut_answers: int
    # Dashboard reads with a wrong total.
    wrong_totals: int
    # Writes that ran although the refusal said that they had not.
    untrue_refusals: int
    # Seconds from the kill of the primary to the first answer to a later write; None without one.
    failover_gap_s: float | None
    # Share of the answered reads allowed on replicas that replicas served; None without such reads.
    reads_by_replicas_share: float | None

    @property
    def violation_count(self) -> int:
        """Number of violated guarantees; a missing failover gap counts as one."""
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
    """Compare all requests with the log of the primary that has the highest term.

    `admins` are the admin addresses of the upstreams. Raise `AuditError` when none is a primary.
    """
    entry_counts = _count_writes(_read_primary_log(admins))
    outcomes = Counter(request.outcome for request in observations.requests)
    writes = [request for request in observations.requests if request.write]
    replica_reads = [
        request
        for request in observations.requests
        if request.replica_may_serve and request.outcome is Outcome.ANSWERED
    ]
    return AuditReport(
        requests=len(observations.requests),
        answered_whole=outcomes[Outcome.ANSWERED],
        refused=outcomes[Outcome.REFUSED],
        unknown=outcomes[Outcome.UNKNOWN],
        lost_writes=sum(s.outcome is Outcome.ANSWERED and not entry_counts[s.id] for s in writes),
        doubled_writes=sum(count > 1 for count in entry_counts.values()),
        stale_own_reads=observations.stale_own_reads,
        over_age_reads=observations.over_age_reads,
        cut_answers=observations.cut_answers,
        wrong_totals=observations.wrong_totals,
        untrue_refusals=sum(
            s.outcome is Outcome.REFUSED and entry_counts[s.id] > 0 for s in writes
        ),
        failover_gap_s=observations.failover_gap(),
        reads_by_replicas_share=(
            sum(s.by_replica for s in replica_reads) / len(replica_reads) if replica_reads else None
        ),
    )


def _read_primary_log(admins: tuple[str, ...]) -> list[list[str]]:
    """Return the payloads of each entry of the primary's log as hexadecimal text."""
    audits = []
    for admin in admins:
        try:
            with urlopen(f"http://{admin}/", timeout=AUDIT_CALL_TIMEOUT_S) as response:
                audits.append(json.load(response))
        except (URLError, OSError):
            continue
    primaries = [audit for audit in audits if audit["role"] == "primary"]
    if not primaries:
        raise AuditError("audit", ", ".join(admins), "no primary answered")
    newest = max(primaries, key=lambda audit: int(audit["term"]))
    return [entry["payloads"] for entry in newest["log"] if not entry["tombstone"]]


def _count_writes(log: list[list[str]]) -> Counter[str]:
    """Count log entries by request id, which is the first argument of each statement."""
    entry_counts: Counter[str] = Counter()
    for payloads in log:
        ids = set()
        for payload in payloads:
            queries = common.Queries.FromString(bytes.fromhex(payload)).queries
            ids |= {query.args[0].text for query in queries if query.args}
        entry_counts.update(ids)
    return entry_counts
