"""Counter-examples that the view of a group has to stand."""

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
    """Return a report of a log whose last term starts at its last entry unless told otherwise."""
    known = starts or (TermStart(last.term, 1),)
    return Report(name, term, role, TermHistory(last, known), voting=voting)


def observe(*reports: Report, rounds: dict[str, int] | None = None) -> GroupView:
    """Return a view that has seen the reports in order."""
    view = start_probe_round(GroupView(MEMBERS), 10.0)
    for report in reports:
        view = apply_report(view, report, (rounds or {}).get(report.instance, 0), 10.01)
    return view


class SafePositionTest(TestCase):
    def test_primary_alone_is_no_majority(self) -> None:
        view = observe(make_report("a", 1, Position(1, 5), Role.PRIMARY))
        self.assertFalse(view.is_committed(Position(1, 1)))

    def test_replica_of_the_term_makes_a_majority(self) -> None:
        view = observe(
            make_report("a", 1, Position(1, 5), Role.PRIMARY), make_report("b", 1, Position(1, 4))
        )
        self.assertTrue(view.is_committed(Position(1, 4)))
        self.assertFalse(view.is_committed(Position(1, 5)))

    def test_replica_may_be_ahead_of_the_primary_s_report(self) -> None:
        view = observe(
            make_report("a", 1, Position(1, 2), Role.PRIMARY), make_report("b", 1, Position(1, 6))
        )
        self.assertTrue(view.is_committed(Position(1, 6)))

    def test_diverging_tail_does_not_count(self) -> None:
        starts = (TermStart(1, 1), TermStart(2, 4))
        view = observe(
            make_report("a", 2, Position(2, 6), Role.PRIMARY, starts),
            make_report("b", 2, Position(1, 9)),
        )
        self.assertEqual(EMPTY_TERM_HISTORY, view.committed)

    def test_outcome_of_an_older_term_waits_for_an_entry_of_the_new_one(self) -> None:
        starts = (TermStart(1, 1), TermStart(2, 4))
        primary = make_report("a", 2, Position(2, 4), Role.PRIMARY, starts)
        view = observe(primary, make_report("b", 2, Position(1, 3)))
        self.assertFalse(view.is_committed(Position(1, 3)))
        view = observe(primary, make_report("b", 2, Position(2, 4), starts=starts))
        self.assertTrue(view.is_committed(Position(1, 3)))

    def test_replaced_tail_is_lost(self) -> None:
        starts = (TermStart(1, 1), TermStart(2, 4))
        view = observe(
            make_report("b", 2, Position(2, 5), Role.PRIMARY, starts),
            make_report("c", 2, Position(2, 5), starts=starts),
        )
        self.assertTrue(view.is_lost(Position(1, 4)))
        self.assertFalse(view.is_lost(Position(1, 3)))

    def test_member_without_its_log_does_not_count(self) -> None:
        view = observe(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("b", 1, Position(1, 5), voting=False),
        )
        self.assertFalse(view.is_committed(Position(1, 5)))

    def test_report_overtaken_on_its_way_is_dropped(self) -> None:
        view = observe(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("a", 1, Position(1, 3), Role.PRIMARY),
        )
        report = view.latest_report("a")
        assert report is not None
        self.assertEqual(Position(1, 5), report.term_history.last)


class RoundTest(TestCase):
    def test_majority_confirms(self) -> None:
        view = observe(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("b", 1, Position(1, 2)),
            rounds={"a": 1, "b": 1},
        )
        self.assertTrue(view.is_confirmed_since(10.0, 1))
        self.assertFalse(view.is_confirmed_since(10.001, 1))
        self.assertFalse(view.is_confirmed_since(10.0, 2))

    def test_sealed_member_does_not_confirm(self) -> None:
        view = observe(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("b", 2, Position(1, 5), Role.SEALED),
            rounds={"a": 1, "b": 1},
        )
        self.assertFalse(view.is_confirmed_since(0.0, 1))

    def test_cut_off_primary_is_not_confirmed_by_itself(self) -> None:
        view = observe(make_report("a", 1, Position(1, 5), Role.PRIMARY), rounds={"a": 1})
        self.assertFalse(view.is_confirmed_since(0.0, 1))

    def test_age_counts_from_the_sending_of_the_round(self) -> None:
        view = observe(
            make_report("a", 1, Position(1, 5), Role.PRIMARY),
            make_report("b", 1, Position(1, 2)),
            rounds={"a": 1, "b": 1},
        )
        self.assertEqual(2.0, view.staleness_bound(Position(1, 5), 12.0))
        self.assertIsNone(view.staleness_bound(Position(1, 4), 12.0))

    def test_evidence_stays_for_positions_of_earlier_rounds(self) -> None:
        view = GroupView(MEMBERS)
        for place in range(1, 51):
            now = place * 0.1
            view = start_probe_round(view, now)
            for name, role in (("a", Role.PRIMARY), ("b", Role.REPLICA)):
                report = make_report(name, 1, Position(1, place), role)
                view = apply_report(view, report, view.last_round, now)
        for position, age in ((10, 4.0), (50, 0.0)):
            found = view.staleness_bound(Position(1, position), 5.0)
            assert found is not None
            self.assertAlmostEqual(age, found)
