"""A proxy's view of a group: committed positions and confirmed rounds.

Guards against treating an entry as committed, or a primary as confirmed, without a majority.
"""

from testtools import TestCase

from orioleplank.decision.quorum import (
    EMPTY_TERM_HISTORY,
    GroupView,
    Position,
    Report,
    Role,
    TermHistory,
    TermStart,
    apply_report,
    start_probe_round,
)

MEMBERS = ("a", "b", "c")


def make_report(
    name: str,
    term: int,
    last: Position,
    role: Role = Role.REPLICA,
    starts: tuple[TermStart, ...] = (),
    voting: bool = True,
) -> Report:
    """Return a report; without `starts`, the whole log is of the term of its last entry."""
    known_starts = starts or (TermStart(last.term, 1),)
    return Report(name, term, role, TermHistory(last, known_starts), voting=voting)


def make_view(*reports: Report, rounds: dict[str, int] | None = None) -> GroupView:
    """Return a view after a round sent at 10.0 and the reports in order.

    `rounds` maps an instance to the number of the round that its reports answer; the reports of
    other instances are unsolicited.
    """
    view = start_probe_round(GroupView(MEMBERS), 10.0)
    for report in reports:
        view = apply_report(view, report, (rounds or {}).get(report.instance, 0), 10.01)
    return view


class CommittedTest(TestCase):
    def test_entry_on_the_primary_only_is_not_committed(self) -> None:
        view = make_view(make_report("a", 1, Position(1, 5), Role.PRIMARY))
        self.assertFalse(view.is_committed(Position(1, 1)))

    def test_entry_on_primary_and_one_replica_of_three_is_committed(self) -> None:
        view = make_view(
            make_report("a", 1, Position(1, 5), Role.PRIMARY), make_report("b", 1, Position(1, 4))
        )
        self.assertTrue(view.is_committed(Position(1, 4)))
        self.assertFalse(view.is_committed(Position(1, 5)))

    def test_entry_on_replica_is_committed_before_the_primary_reports_it(self) -> None:
        view = make_view(
            make_report("a", 1, Position(1, 2), Role.PRIMARY), make_report("b", 1, Position(1, 6))
        )
        self.assertTrue(view.is_committed(Position(1, 6)))

    def test_log_tail_of_an_earlier_term_does_not_count(self) -> None:
        starts = (TermStart(1, 1), TermStart(2, 4))
        view = make_view(
            make_report("a", 2, Position(2, 6), Role.PRIMARY, starts),
            make_report("b", 2, Position(1, 9)),
        )
        self.assertEqual(EMPTY_TERM_HISTORY, view.committed)

    def test_entry_of_older_term_is_committed_only_with_an_entry_of_the_new_term(self) -> None:
        starts = (TermStart(1, 1), TermStart(2, 4))
        primary = make_report("a", 2, Position(2, 4), Role.PRIMARY, starts)
        view = make_view(primary, make_report("b", 2, Position(1, 3)))
        self.assertFalse(view.is_committed(Position(1, 3)))
        view = make_view(primary, make_report("b", 2, Position(2, 4), starts=starts))
        self.assertTrue(view.is_committed(Position(1, 3)))

    def test_entry_replaced_in_a_later_term_is_lost(self) -> None:
        starts = (TermStart(1, 1), TermStart(2, 4))
        view = make_view(
            make_report("b", 2, Position(2, 5), Role.PRIMARY, starts),
            make_report("c", 2, Position(2, 5), starts=starts),
        )
        self.assertTrue(view.is_lost(Position(1, 4)))
        self.assertFalse(view.is_lost(Position(1, 3)))

    def test_member_that_lost_its_log_does_not_count(self) -> None:
        view = make_view(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("b", 1, Position(1, 5), voting=False),
        )
        self.assertFalse(view.is_committed(Position(1, 5)))

    def test_report_that_arrives_out_of_order_is_ignored(self) -> None:
        view = make_view(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("a", 1, Position(1, 3), Role.PRIMARY),
        )
        report = view.latest_report("a")
        assert report is not None
        self.assertEqual(Position(1, 5), report.term_history.last)


class ProbeRoundTest(TestCase):
    def test_round_answered_by_a_majority_confirms_the_primary(self) -> None:
        view = make_view(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("b", 1, Position(1, 2)),
            rounds={"a": 1, "b": 1},
        )
        self.assertTrue(view.is_confirmed_since(10.0, 1))
        self.assertFalse(view.is_confirmed_since(10.001, 1))
        self.assertFalse(view.is_confirmed_since(10.0, 2))

    def test_member_sealed_at_a_higher_term_does_not_confirm(self) -> None:
        view = make_view(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("b", 2, Position(1, 5), Role.SEALED),
            rounds={"a": 1, "b": 1},
        )
        self.assertFalse(view.is_confirmed_since(0.0, 1))

    def test_isolated_primary_does_not_confirm_itself(self) -> None:
        view = make_view(make_report("a", 1, Position(1, 5), Role.PRIMARY), rounds={"a": 1})
        self.assertFalse(view.is_confirmed_since(0.0, 1))

    def test_age_is_measured_from_the_time_the_round_was_sent(self) -> None:
        view = make_view(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("b", 1, Position(1, 2)),
            rounds={"a": 1, "b": 1},
        )
        self.assertEqual(2.0, view.staleness_bound(Position(1, 5), 12.0))
        self.assertIsNone(view.staleness_bound(Position(1, 4), 12.0))

    def test_age_is_known_for_positions_of_earlier_rounds(self) -> None:
        view = GroupView(MEMBERS)
        for number in range(1, 51):
            now = number * 0.1
            view = start_probe_round(view, now)
            for name, role in (("a", Role.PRIMARY), ("b", Role.REPLICA)):
                report = make_report(name, 1, Position(1, number), role)
                view = apply_report(view, report, view.last_round, now)
        for index, age in ((10, 4.0), (50, 0.0)):
            bound = view.staleness_bound(Position(1, index), 5.0)
            assert bound is not None
            self.assertAlmostEqual(age, bound)
