"""One proxy's view of a group: the primary, the committed log and the age of data.

Clocks of other machines are never used. A position is committed once a majority of the group
reports it in the primary's term. The age of data is bounded by probe rounds: if a round sent at
T0 was answered by a majority in the primary's term, then a log that contains the position that
the primary reported in that round contains everything acknowledged before T0.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique

from orioleplank.decision._position import EMPTY_TERM_HISTORY, Position, TermHistory
from orioleplank.decision.quorum._safeguards import ALL_SAFEGUARDS, Safeguard, Safeguards

# An instance that has not answered a round sent within this time counts as unreachable.
REACHABLE_TIMEOUT_S = 1.0
# Confirmed rounds closer together than this replace each other, which bounds their number.
CONFIRMED_ROUND_SPACING_S = 0.05
# At this spacing, the stored rounds cover 30 s.
MAX_CONFIRMED_ROUNDS = 600
# Answers to older rounds are ignored.
MAX_PROBE_ROUNDS = 32


@unique
class Role(Enum):
    """Role of an instance in its group."""

    SEALED = "sealed"
    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class Report:
    """State of an instance, as reported by the instance itself."""

    instance: str
    # Highest term in which it was sealed, a replica or the primary.
    term: int
    role: Role
    # Last position and term starts of its log.
    term_history: TermHistory
    # True when it accepts no new work.
    leaving: bool = False
    # True when it has not lost its log, so that it counts towards a majority.
    voting: bool = True
    # Seconds since it last received data from the primary it follows; 0 on a primary.
    primary_silence: float = 0.0
    # Name of the instance it follows; empty for none.
    following: str = ""
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report with the time of its arrival."""

    report: Report
    # In seconds of the proxy's monotonic clock.
    received_at: float


@dataclass(frozen=True, slots=True)
class ProbeRound:
    """A request for a report, sent to all instances of a group at the same time."""

    # Ascending, starting at 1.
    number: int
    # In seconds of the proxy's monotonic clock.
    sent_at: float
    # Reports received in response, by instance name.
    answers: Mapping[str, Report] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ConfirmedRound:
    """A probe round in which a majority confirmed the primary."""

    # In seconds of the proxy's monotonic clock.
    sent_at: float
    # Term of the confirmed primary.
    term: int
    # Last log position of the primary, as reported in this round.
    position: Position


@dataclass(frozen=True, slots=True)
class GroupView:
    """One proxy's knowledge of a group. Times are seconds of the proxy's monotonic clock."""

    # Names of the configured instances.
    members: tuple[str, ...]
    # Latest report of each instance that has reported, by name.
    latest_reports: Mapping[str, ReceivedReport] = field(default_factory=dict)
    # Instances whose control stream is disconnected.
    unreachable: frozenset[str] = frozenset()
    # The log up to its last entry that is known to be committed.
    committed: TermHistory = EMPTY_TERM_HISTORY
    # The last `MAX_PROBE_ROUNDS` rounds, oldest first.
    rounds: tuple[ProbeRound, ...] = ()
    # Confirmed rounds, oldest first; their positions ascend.
    confirmed_rounds: tuple[ConfirmedRound, ...] = ()
    # Number of the last round sent.
    last_round: int = 0
    # When the last round that an instance has answered was sent, by instance name.
    answered_round_sent_at: Mapping[str, float] = field(default_factory=dict)
    # Safety mechanisms in effect; tests disable them one at a time.
    safeguards: Safeguards = ALL_SAFEGUARDS

    @property
    def majority_size(self) -> int:
        """Number of members that form a majority."""
        return len(self.members) // 2 + 1

    @property
    def highest_term(self) -> int:
        """Highest term that any instance has reported; 0 without reports."""
        return max((received.report.term for received in self.latest_reports.values()), default=0)

    def latest_report(self, instance: str) -> Report | None:
        """Return the latest report of `instance`, or None if it has never reported."""
        received = self.latest_reports.get(instance)
        return received.report if received else None

    def primary(self) -> Report | None:
        """Return the latest report of the primary with the highest term, or None without one."""
        highest: Report | None = None
        for received in self.latest_reports.values():
            report = received.report
            if report.role is Role.PRIMARY and (highest is None or report.term > highest.term):
                highest = report
        return highest

    def is_reachable(self, instance: str, now: float) -> bool:
        """Return whether `instance` has answered a round sent within the last second.

        Unsolicited reports do not count: they show that only one direction of the link works.
        """
        round_sent_at = self.answered_round_sent_at.get(instance)
        if round_sent_at is None or instance in self.unreachable:
            return False
        return now - round_sent_at <= REACHABLE_TIMEOUT_S

    def has_confirmed_primary(self, now: float) -> bool:
        """Return whether the primary is reachable and a round of the last second is confirmed."""
        primary = self.primary()
        if primary is None or not self.is_reachable(primary.instance, now):
            return False
        return (
            bool(self.confirmed_rounds)
            and now - self.confirmed_rounds[-1].sent_at <= REACHABLE_TIMEOUT_S
        )

    def is_committed(self, position: Position) -> bool:
        """Return whether the entry at `position` is on a majority.

        No promotion can drop such an entry.
        """
        if not self.safeguards.is_enabled(Safeguard.MAJORITY):
            return True
        return self.committed.contains(position)

    def is_lost(self, position: Position) -> bool:
        """Return whether the committed log reaches a later term and lacks the entry."""
        return self.committed.last.term > position.term and not self.committed.contains(position)

    def staleness_bound(self, position: Position, now: float) -> float | None:
        """Return the maximum age in seconds of data at `position`; None when it is unknown."""
        index = bisect_right(self.confirmed_rounds, position, key=lambda item: item.position) - 1
        if index < 0:
            return None
        return now - self.confirmed_rounds[index].sent_at

    def is_confirmed_since(self, earliest_sent_at: float, term: int) -> bool:
        """Return whether the newest confirmed round is recent enough and confirms `term`.

        The round must have been sent at `earliest_sent_at` or later.
        """
        if not self.safeguards.is_enabled(Safeguard.CONFIRMATION):
            return True
        if not self.confirmed_rounds:
            return False
        newest = self.confirmed_rounds[-1]
        return newest.sent_at >= earliest_sent_at and newest.term == term


def apply_report(view: GroupView, report: Report, round_number: int, now: float) -> GroupView:
    """Return the view updated with a report.

    The report answers round `round_number`; 0 means that it was not requested. Reports of unknown
    instances and reports that arrive out of order are ignored.
    """
    if report.instance not in view.members:
        return view
    previous = view.latest_report(report.instance)
    if previous is not None and _is_older(report, previous):
        return view
    latest_reports = {**view.latest_reports, report.instance: ReceivedReport(report, now)}
    unreachable = view.unreachable - {report.instance}
    updated = replace(view, latest_reports=latest_reports, unreachable=unreachable)
    updated = _advance_committed(updated)
    return _record_round_answer(updated, report, round_number) if round_number else updated


def _is_older(report: Report, previous: Report) -> bool:
    """Return whether `report` is older than `previous` of the same incarnation.

    Reports may arrive out of order.
    """
    if report.incarnation != previous.incarnation:
        return False
    if report.term != previous.term:
        return report.term < previous.term
    # A sealed member that begins to follow the primary of the same term may truncate its log, so a
    # shorter log in another role is not older.
    return report.term_history.last < previous.term_history.last and report.role is previous.role


def mark_unreachable(view: GroupView, instance: str) -> GroupView:
    """Record that the control stream of `instance` was lost, until its next report arrives."""
    return replace(view, unreachable=view.unreachable | {instance})


def start_probe_round(view: GroupView, now: float) -> GroupView:
    """Add a round; the calling code sends the number `last_round` to all instances."""
    number = view.last_round + 1
    rounds = (*view.rounds, ProbeRound(number, now))[-MAX_PROBE_ROUNDS:]
    return replace(view, rounds=rounds, last_round=number)


def change_members(view: GroupView, members: tuple[str, ...]) -> GroupView:
    """Replace the configured members and drop the reports of removed instances."""
    latest_reports = {
        name: received for name, received in view.latest_reports.items() if name in members
    }
    return replace(view, members=members, latest_reports=latest_reports)


def _advance_committed(view: GroupView) -> GroupView:
    primary = view.primary()
    if primary is None or primary.term < view.committed.last.term:
        return view
    held_indexes = {
        name: _held_index(received.report, primary.term, view)
        for name, received in view.latest_reports.items()
    }
    # The primary of a term holds every entry of that term that any replica holds, because it has
    # created all of them. Its index is therefore raised to the highest index of any member.
    if primary.voting:
        held_indexes[primary.instance] = max(held_indexes.values())
    indexes = sorted(held_indexes.values(), reverse=True)
    if len(indexes) < view.majority_size:
        return view
    position = Position(primary.term, indexes[view.majority_size - 1])
    if position.index == 0 or position <= view.committed.last:
        return view
    starts = tuple(s for s in primary.term_history.starts if s.first_index <= position.index)
    return replace(view, committed=TermHistory(position, starts))


def _held_index(report: Report, term: int, view: GroupView) -> int:
    """Return the index of the last entry if it is of `term`, otherwise 0.

    Members that do not vote count as 0.
    """
    if not report.voting and view.safeguards.is_enabled(Safeguard.VOTING):
        return 0
    if report.term_history.last.term != term and view.safeguards.is_enabled(Safeguard.ENTRY_TERM):
        return 0
    return report.term_history.last.index


def _record_round_answer(view: GroupView, report: Report, number: int) -> GroupView:
    for index, probe_round in enumerate(view.rounds):
        if probe_round.number == number:
            answered_round = replace(
                probe_round, answers={**probe_round.answers, report.instance: report}
            )
            rounds = (*view.rounds[:index], answered_round, *view.rounds[index + 1 :])
            sent_at = max(
                probe_round.sent_at,
                view.answered_round_sent_at.get(report.instance, probe_round.sent_at),
            )
            answered_round_sent_at = {**view.answered_round_sent_at, report.instance: sent_at}
            updated = replace(view, rounds=rounds, answered_round_sent_at=answered_round_sent_at)
            return _confirm_round(updated, answered_round)
    return view


def _confirm_round(view: GroupView, answered_round: ProbeRound) -> GroupView:
    """Record a round as confirmed if a majority of its answers confirms its primary.

    Members sealed at a higher term and members that do not vote do not confirm it.
    """
    reports = answered_round.answers.values()
    primaries = [report for report in reports if report.role is Role.PRIMARY]
    if not primaries:
        return view
    primary = max(primaries, key=lambda report: report.term)
    confirming = [report for report in reports if report.voting and report.term <= primary.term]
    if len(confirming) < view.majority_size:
        return view
    confirmed = ConfirmedRound(answered_round.sent_at, primary.term, primary.term_history.last)
    return replace(view, confirmed_rounds=_add_confirmed_round(view.confirmed_rounds, confirmed))


def _add_confirmed_round(
    confirmed_rounds: tuple[ConfirmedRound, ...], added: ConfirmedRound
) -> tuple[ConfirmedRound, ...]:
    if confirmed_rounds and added.sent_at <= confirmed_rounds[-1].sent_at:
        return confirmed_rounds
    if confirmed_rounds and (
        added.position < confirmed_rounds[-1].position or added.term < confirmed_rounds[-1].term
    ):
        return confirmed_rounds
    if confirmed_rounds and added.position == confirmed_rounds[-1].position:
        return (*confirmed_rounds[:-1], added)
    if (
        len(confirmed_rounds) > 1
        and confirmed_rounds[-1].sent_at - confirmed_rounds[-2].sent_at < CONFIRMED_ROUND_SPACING_S
    ):
        return (*confirmed_rounds[:-1], added)
    return (*confirmed_rounds, added)[-MAX_CONFIRMED_ROUNDS:]
