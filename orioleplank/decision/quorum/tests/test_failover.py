"""Steps of a promotion."""

from dataclasses import replace
from random import Random

from testtools import TestCase

from orioleplank.decision.quorum import (
    FailoverContext,
    FailoverState,
    GroupView,
    InstanceSpec,
    KindSpec,
    Position,
    PromoteAnswered,
    Promoting,
    Report,
    Role,
    SealAnswered,
    Sealing,
    SendFollow,
    SendPromote,
    SendSeal,
    ServiceSpec,
    TermHistory,
    TermRange,
    TermStart,
    Tick,
    Watching,
    advance_failover,
    apply_report,
    start_probe_round,
)

SPEC = ServiceSpec(
    tuple(InstanceSpec(name, f"{name}:1", "akl-a") for name in "abc"), (KindSpec("save"),)
)
RANGE = TermRange("entry-1", "entry-1-x", 100, 199)


def make_report(
    name: str, term: int, last: Position, role: Role, silence: float = 0.0, leaving: bool = False
) -> Report:
    """Return a report of an instance that follows `a` unless it leads."""
    lineage = TermHistory(last, (TermStart(last.term, 1),))
    following = "" if role is Role.PRIMARY else "a"
    return Report(
        name,
        term,
        role,
        lineage,
        leaving=leaving,
        primary_silence=silence,
        following=following,
    )


def make_around(now: float, *seen: tuple[Report, float]) -> FailoverContext:
    """Return surroundings in which each report came at its time."""
    view = GroupView(("a", "b", "c"))
    for report, at in seen:
        view = start_probe_round(view, at)
        view = apply_report(view, report, view.last_round, at)
    return FailoverContext(SPEC, view, frozenset(), RANGE, True, now, Random(1))


def make_healthy(now: float, primary_at: float, silence: float) -> FailoverContext:
    """Return a group whose primary `a` was seen at `primary_at`, its replicas now."""
    return make_around(
        now,
        (make_report("a", 7, Position(7, 9), Role.PRIMARY), primary_at),
        (make_report("b", 7, Position(7, 9), Role.REPLICA, silence), now),
        (make_report("c", 7, Position(7, 8), Role.REPLICA, silence), now),
    )


class SuspicionTest(TestCase):
    def test_when_a_promotion_begins(self) -> None:
        cases = {
            "healthy": (make_healthy(10.0, 10.0, 0.0), False),
            "silent to the keeper and to its replicas": (make_healthy(10.0, 9.2, 0.9), True),
            "silent to the keeper only": (make_healthy(10.0, 9.2, 0.0), False),
            "silent to the keeper only, for long": (make_healthy(13.0, 9.2, 0.0), True),
            "cut off from its replicas": (make_healthy(10.0, 10.0, 0.9), True),
            "not acting": (replace(make_healthy(10.0, 9.2, 0.9), is_active=False), False),
            "no terms reserved": (replace(make_healthy(10.0, 9.2, 0.9), term_range=None), False),
            "leaving": (
                replace(make_healthy(10.0, 10.0, 0.0), leaving_instances=frozenset({"a"})),
                True,
            ),
            "too few members reachable": (
                make_around(10.0, (make_report("b", 7, Position(7, 9), Role.REPLICA, 5.0), 10.0)),
                False,
            ),
        }
        for name, (around, begins) in cases.items():
            with self.subTest(name):
                keeper, _ = advance_failover(FailoverState("s"), Tick(), around)
                self.assertEqual(begins, isinstance(keeper.stage, Sealing))

    def test_newcomer_gets_a_term_at_most_every_five_seconds(self) -> None:
        around = make_healthy(10.0, 10.0, 0.0)
        report = replace(make_report("c", 7, Position(7, 9), Role.REPLICA), voting=False)
        sightings = apply_report(around.view, report, 0, 10.0)
        around = replace(around, view=replace(sightings, committed=report.term_history))
        keeper, _ = advance_failover(FailoverState("s"), Tick(), around)
        self.assertIsInstance(keeper.stage, Sealing)
        again, _ = advance_failover(replace(keeper, stage=Watching()), Tick(), around)
        self.assertIsInstance(again.stage, Watching)


class PromotionTest(TestCase):
    def begin(self) -> tuple[FailoverState, FailoverContext]:
        around = make_healthy(10.0, 9.2, 0.9)
        keeper, effects = advance_failover(FailoverState("s"), Tick(), around)
        sealed = [effect.instance for effect in effects if isinstance(effect, SendSeal)]
        self.assertEqual(["a", "b", "c"], sealed)
        self.assertEqual(Sealing(100, 10.0, 10.0, avoided_member="a"), keeper.stage)
        return keeper, around

    def seal(self, name: str, last: Position, granted: bool = True) -> SealAnswered:
        return SealAnswered("s", 100, granted, make_report(name, 100, last, Role.SEALED))

    def test_majority_is_sealed_before_the_promotion(self) -> None:
        keeper, around = self.begin()
        keeper, effects = advance_failover(keeper, self.seal("c", Position(7, 8)), around)
        self.assertEqual((), effects)
        keeper, effects = advance_failover(keeper, Tick(), replace(around, now=10.2))
        self.assertEqual((), effects)
        keeper, _ = advance_failover(keeper, self.seal("b", Position(7, 9)), around)
        keeper, effects = advance_failover(keeper, Tick(), replace(around, now=10.2))
        self.assertIn(SendPromote("s", "b", 100), effects)

    def test_later_term_beats_a_longer_log(self) -> None:
        keeper, around = self.begin()
        for name, last in (("a", Position(6, 50)), ("b", Position(7, 9)), ("c", Position(7, 8))):
            keeper, effects = advance_failover(keeper, self.seal(name, last), around)
        self.assertIn(SendPromote("s", "b", 100), effects)

    def test_member_that_is_not_heard_is_passed_over(self) -> None:
        keeper, around = self.begin()
        for name, index in (("a", 12), ("b", 9), ("c", 8)):
            keeper, effects = advance_failover(keeper, self.seal(name, Position(7, index)), around)
        self.assertIn(SendPromote("s", "b", 100), effects)

    def test_member_that_is_not_heard_leads_when_nobody_else_can(self) -> None:
        keeper, around = self.begin()
        for name, index in (("a", 12), ("c", 8)):
            keeper, _ = advance_failover(keeper, self.seal(name, Position(7, index)), around)
        keeper, effects = advance_failover(keeper, Tick(), replace(around, now=10.1))
        self.assertFalse([effect for effect in effects if isinstance(effect, SendPromote)])
        keeper, effects = advance_failover(keeper, Tick(), replace(around, now=10.4))
        self.assertIn(SendPromote("s", "a", 100), effects)

    def test_refused_seal_ends_the_try(self) -> None:
        keeper, around = self.begin()
        refusal = SealAnswered("s", 100, False, make_report("b", 300, Position(7, 9), Role.SEALED))
        keeper, _ = advance_failover(keeper, refusal, around)
        self.assertIsInstance(keeper.stage, Watching)
        keeper, effects = advance_failover(keeper, self.seal("b", Position(7, 9)), around)
        self.assertEqual((), effects)

    def test_grants_that_come_late_promote_nobody(self) -> None:
        keeper, around = self.begin()
        keeper, _ = advance_failover(keeper, self.seal("c", Position(7, 8)), around)
        late = replace(around, now=12.0)
        keeper, effects = advance_failover(keeper, self.seal("b", Position(7, 9)), late)
        self.assertEqual((), effects)
        self.assertIsInstance(keeper.stage, Watching)

    def test_others_follow_the_new_primary(self) -> None:
        keeper, around = self.begin()
        for name in "abc":
            keeper, _ = advance_failover(keeper, self.seal(name, Position(7, 9)), around)
        assert isinstance(keeper.stage, Promoting)
        candidate = keeper.stage.candidate
        report = make_report(candidate, 100, Position(100, 10), Role.PRIMARY)
        answer = PromoteAnswered("s", 100, True, report)
        keeper, effects = advance_failover(keeper, answer, around)
        told = {effect.instance for effect in effects if isinstance(effect, SendFollow)}
        self.assertEqual({"a", "b", "c"} - {candidate}, told)

    def test_terms_run_out(self) -> None:
        around = replace(make_healthy(10.0, 9.2, 0.9), term_range=replace(RANGE, last=100))
        keeper, effects = advance_failover(FailoverState("s", last_term=100), Tick(), around)
        self.assertEqual((), effects)
        self.assertIsInstance(keeper.stage, Watching)
