"""What a proxy knows of one group: who is primary, what is on a majority, how old data is.

Nothing here trusts a clock of another machine. A position is safe once a majority of the group
reports it in the primary's term. Age is shown by rounds: a round sent at T0 that a majority
answered in the primary's term shows that a log which holds the primary's position of that round
holds everything acknowledged before T0.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique

from orioleplank.decision._position import EMPTY_TERM_HISTORY, Position, TermHistory
from orioleplank.decision.quorum._safeguards import ALL_SAFEGUARDS, Safeguard, Safeguards

REACHABLE_S = 1.0
EVIDENCE_SPACING_S = 0.05
EVIDENCE_LIMIT = 600
ROUNDS_KEPT = 32


@unique
class Role(Enum):
    """What an instance does in its group."""

    SEALED = "sealed"
    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Report:
    """What an instance says of itself."""

    # Name of the instance.
    instance: str
    # Highest term it has sealed, followed or led.
    term: int
    # What it does.
    role: Role
    # Its log.
    term_history: TermHistory
    # True when it takes no new work.
    leaving: bool = False
    # True when its log is whole, so that it counts towards a majority.
    voting: bool = True
    # Seconds since it last heard the primary it follows; 0 at a primary.
    primary_silence: float = 0.0
    # Name of the instance it follows; empty for none.
    following: str = ""
    # Identifies the run of the instance.
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report and when it came."""

    # The report.
    report: Report
    # Proxy's monotonic clock, in seconds.
    received_at: float


@dataclass(frozen=True, slots=True)
class ProbeRound:
    """A question to all instances."""

    # Number, ascending.
    number: int
    # Proxy's monotonic clock at sending, in seconds.
    sent_at: float
    # Reports that answer it.
    answers: Mapping[str, Report] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ConfirmedRound:
    """A completed round."""

    # When it was sent.
    sent_at: float
    # Term of the primary that a majority confirmed.
    term: int
    # The primary's position in its answer.
    position: Position


@dataclass(frozen=True, slots=True)
class GroupView:
    """What a proxy knows of one group."""

    # Names of the members, as configured.
    members: tuple[str, ...]
    # Latest sighting of each instance that has reported.
    latest_reports: Mapping[str, ReceivedReport] = field(default_factory=dict)
    # Instances whose control stream is broken.
    unreachable: frozenset[str] = frozenset()
    # The log known to be on a majority, up to its last safe entry.
    committed: TermHistory = EMPTY_TERM_HISTORY
    # The last rounds, oldest first.
    rounds: tuple[ProbeRound, ...] = ()
    # Completed rounds, oldest first, positions ascending.
    confirmed_rounds: tuple[ConfirmedRound, ...] = ()
    # Number of the last round sent.
    last_round: int = 0
    # When the last round that each instance answered was sent, in seconds.
    answered_round_sent_at: Mapping[str, float] = field(default_factory=dict)
    # Mechanisms in force; tests switch them off one at a time.
    safeguards: Safeguards = ALL_SAFEGUARDS

    @property
    def majority_size(self) -> int:
        """How many members make a majority."""
        return len(self.members) // 2 + 1

    @property
    def highest_term(self) -> int:
        """The highest term any instance has reported."""
        return max((seen.report.term for seen in self.latest_reports.values()), default=0)

    def latest_report(self, instance: str) -> Report | None:
        """Return the latest report of `instance`, or None."""
        seen = self.latest_reports.get(instance)
        return seen.report if seen else None

    def primary(self) -> Report | None:
        """Return the report of the primary of the highest term that has one."""
        found: Report | None = None
        for seen in self.latest_reports.values():
            report = seen.report
            if report.role is Role.PRIMARY and (found is None or report.term > found.term):
                found = report
        return found

    def is_reachable(self, instance: str, now: float) -> bool:
        """Tell whether `instance` has answered a round sent within the last second.

        The reports that it pushes show only one direction of the link.
        """
        answered_at = self.answered_round_sent_at.get(instance)
        if answered_at is None or instance in self.unreachable:
            return False
        return now - answered_at <= REACHABLE_S

    def has_confirmed_primary(self, now: float) -> bool:
        """Tell whether a majority has confirmed a reachable primary within the last second."""
        primary = self.primary()
        if primary is None or not self.is_reachable(primary.instance, now):
            return False
        return (
            bool(self.confirmed_rounds) and now - self.confirmed_rounds[-1].sent_at <= REACHABLE_S
        )

    def is_committed(self, position: Position) -> bool:
        """Tell whether the entry at `position` is on a majority, so that no promotion drops it."""
        if not self.safeguards.is_enabled(Safeguard.MAJORITY):
            return True
        return self.committed.contains(position)

    def is_lost(self, position: Position) -> bool:
        """Tell whether a later term has replaced the entry at `position`."""
        return self.committed.last.term > position.term and not self.committed.contains(position)

    def staleness_bound(self, position: Position, now: float) -> float | None:
        """Return how old data at `position` is at most, in seconds; None when not known."""
        index = bisect_right(self.confirmed_rounds, position, key=lambda item: item.position) - 1
        if index < 0:
            return None
        return now - self.confirmed_rounds[index].sent_at

    def is_confirmed_since(self, at: float, term: int) -> bool:
        """Tell whether a round sent at `at` or later has confirmed the primary of `term`."""
        if not self.safeguards.is_enabled(Safeguard.CONFIRMATION):
            return True
        if not self.confirmed_rounds:
            return False
        newest = self.confirmed_rounds[-1]
        return newest.sent_at >= at and newest.term == term


def apply_report(view: GroupView, report: Report, round_number: int, now: float) -> GroupView:
    """Take in a report, which answers round `round_number` unless that is 0."""
    if report.instance not in view.members:
        return view
    previous = view.latest_report(report.instance)
    if previous is not None and _is_older(report, previous):
        return view
    sightings = {**view.latest_reports, report.instance: ReceivedReport(report, now)}
    unreachable = view.unreachable - {report.instance}
    seen = replace(view, latest_reports=sightings, unreachable=unreachable)
    seen = _advance_committed(seen)
    return _answer_round(seen, report, round_number) if round_number else seen


def _is_older(report: Report, previous: Report) -> bool:
    """Tell whether a report was overtaken on its way by one of the same run."""
    if report.incarnation != previous.incarnation:
        return False
    if report.term != previous.term:
        return report.term < previous.term
    return report.term_history.last < previous.term_history.last and report.role is previous.role


def mark_unreachable(view: GroupView, instance: str) -> GroupView:
    """Note that the control stream of `instance` broke."""
    return replace(view, unreachable=view.unreachable | {instance})


def start_probe_round(view: GroupView, now: float) -> GroupView:
    """Begin a round; the caller sends its number to all instances."""
    number = view.last_round + 1
    rounds = (*view.rounds, ProbeRound(number, now))[-ROUNDS_KEPT:]
    return replace(view, rounds=rounds, last_round=number)


def change_members(view: GroupView, members: tuple[str, ...]) -> GroupView:
    """Take the configured members, forgetting instances that are gone."""
    sightings = {name: seen for name, seen in view.latest_reports.items() if name in members}
    return replace(view, members=members, latest_reports=sightings)


def _advance_committed(view: GroupView) -> GroupView:
    primary = view.primary()
    if primary is None or primary.term < view.committed.last.term:
        return view
    held = {
        name: _held_index(seen.report, primary.term, view)
        for name, seen in view.latest_reports.items()
    }
    if primary.voting:
        held[primary.instance] = max(held.values())
    indexes = sorted(held.values(), reverse=True)
    if len(indexes) < view.majority_size:
        return view
    position = Position(primary.term, indexes[view.majority_size - 1])
    if position.index == 0 or position <= view.committed.last:
        return view
    starts = tuple(s for s in primary.term_history.starts if s.first_index <= position.index)
    return replace(view, committed=TermHistory(position, starts))


def _held_index(report: Report, term: int, view: GroupView) -> int:
    """Return the index up to which a member holds entries of `term`, 0 for none.

    The primary of a term holds every entry of that term that any replica holds, because each of
    them came from it; `_advance_committed` counts it so.
    """
    if not report.voting and view.safeguards.is_enabled(Safeguard.VOTING):
        return 0
    if report.term_history.last.term != term and view.safeguards.is_enabled(Safeguard.ENTRY_TERM):
        return 0
    return report.term_history.last.index


def _answer_round(view: GroupView, report: Report, number: int) -> GroupView:
    for place, opened in enumerate(view.rounds):
        if opened.number == number:
            answered = replace(opened, answers={**opened.answers, report.instance: report})
            rounds = (*view.rounds[:place], answered, *view.rounds[place + 1 :])
            at = max(
                opened.sent_at, view.answered_round_sent_at.get(report.instance, opened.sent_at)
            )
            answered_at = {**view.answered_round_sent_at, report.instance: at}
            taken = replace(view, rounds=rounds, answered_round_sent_at=answered_at)
            return _take_evidence(taken, answered)
    return view


def _take_evidence(view: GroupView, answered: ProbeRound) -> GroupView:
    """Take a round as evidence once a majority confirms its primary."""
    reports = answered.answers.values()
    primaries = [report for report in reports if report.role is Role.PRIMARY]
    if not primaries:
        return view
    primary = max(primaries, key=lambda report: report.term)
    confirming = [report for report in reports if report.voting and report.term <= primary.term]
    if len(confirming) < view.majority_size:
        return view
    found = ConfirmedRound(answered.sent_at, primary.term, primary.term_history.last)
    return replace(view, confirmed_rounds=_add_evidence(view.confirmed_rounds, found))


def _add_evidence(
    evidence: tuple[ConfirmedRound, ...], found: ConfirmedRound
) -> tuple[ConfirmedRound, ...]:
    if evidence and found.sent_at <= evidence[-1].sent_at:
        return evidence
    if evidence and (found.position < evidence[-1].position or found.term < evidence[-1].term):
        return evidence
    if evidence and found.position == evidence[-1].position:
        return (*evidence[:-1], found)
    if len(evidence) > 1 and evidence[-1].sent_at - evidence[-2].sent_at < EVIDENCE_SPACING_S:
        return (*evidence[:-1], found)
    return (*evidence, found)[-EVIDENCE_LIMIT:]
