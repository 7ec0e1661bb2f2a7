"""Stages of a failover, from the suspicion of the primary to the promotion of a replica."""

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
    """Return the report of an instance; one that is not the primary follows `a`."""
    term_history = TermHistory(last, (TermStart(last.term, 1),))
    following = "" if role is Role.PRIMARY else "a"
    return Report(
        name,
        term,
        role,
        term_history,
        leaving=leaving,
        primary_silence=silence,
        following=following,
    )


def make_context(now: float, *reports: tuple[Report, float]) -> FailoverContext:
    """Return a context in which each report answered a round sent at the given time."""
    view = GroupView(("a", "b", "c"))
    for report, received_at in reports:
        view = start_probe_round(view, received_at)
        view = apply_report(view, report, view.last_round, received_at)
    return FailoverContext(SPEC, view, frozenset(), RANGE, True, now, Random(1))


def make_group_context(now: float, primary_at: float, silence: float) -> FailoverContext:
    """Return a context in which primary `a` reported at `primary_at` and its replicas report now.

    `silence` is how long ago the replicas last received data from the primary, in seconds.
    """
    return make_context(
        now,
        (make_report("a", 7, Position(7, 9), Role.PRIMARY), primary_at),
        (make_report("b", 7, Position(7, 9), Role.REPLICA, silence), now),
        (make_report("c", 7, Position(7, 8), Role.REPLICA, silence), now),
    )


class PromotionTriggerTest(TestCase):
    def test_failover_starts_only_for_an_unhealthy_or_leaving_primary(self) -> None:
        cases = {
            "healthy": (make_group_context(10.0, 10.0, 0.0), False),
            "unresponsive to the proxy and to its replicas": (
                make_group_context(10.0, 9.2, 0.9),
                True,
            ),
            "unresponsive to the proxy only": (make_group_context(10.0, 9.2, 0.0), False),
            "unresponsive to the proxy only, for a long time": (
                make_group_context(13.0, 9.2, 0.0),
                True,
            ),
            "isolated from its replicas": (make_group_context(10.0, 10.0, 0.9), True),
            "proxy is not the active coordinator": (
                replace(make_group_context(10.0, 9.2, 0.9), is_active=False),
                False,
            ),
            "no terms reserved": (
                replace(make_group_context(10.0, 9.2, 0.9), term_range=None),
                False,
            ),
            "primary is leaving": (
                replace(make_group_context(10.0, 10.0, 0.0), leaving_instances=frozenset({"a"})),
                True,
            ),
            "too few members reachable": (
                make_context(10.0, (make_report("b", 7, Position(7, 9), Role.REPLICA, 5.0), 10.0)),
                False,
            ),
        }
        for name, (context, is_started) in cases.items():
            with self.subTest(name):
                state, _ = advance_failover(FailoverState("s"), Tick(), context)
                self.assertEqual(is_started, isinstance(state.stage, Sealing))

    def test_recovered_member_causes_a_new_term_but_not_a_second_one_immediately(self) -> None:
        context = make_group_context(10.0, 10.0, 0.0)
        report = replace(make_report("c", 7, Position(7, 9), Role.REPLICA), voting=False)
        view = apply_report(context.view, report, 0, 10.0)
        context = replace(context, view=replace(view, committed=report.term_history))
        state, _ = advance_failover(FailoverState("s"), Tick(), context)
        self.assertIsInstance(state.stage, Sealing)
        repeated, _ = advance_failover(replace(state, stage=Watching()), Tick(), context)
        self.assertIsInstance(repeated.stage, Watching)


class PromotionTest(TestCase):
    def begin_sealing(self) -> tuple[FailoverState, FailoverContext]:
        context = make_group_context(10.0, 9.2, 0.9)
        state, effects = advance_failover(FailoverState("s"), Tick(), context)
        sealed = [effect.instance for effect in effects if isinstance(effect, SendSeal)]
        self.assertEqual(["a", "b", "c"], sealed)
        self.assertEqual(Sealing(100, 10.0, 10.0, avoided_member="a"), state.stage)
        return state, context

    def make_seal_answer(self, name: str, last: Position, granted: bool = True) -> SealAnswered:
        return SealAnswered("s", 100, granted, make_report(name, 100, last, Role.SEALED))

    def test_promotion_waits_until_a_majority_is_sealed(self) -> None:
        state, context = self.begin_sealing()
        state, effects = advance_failover(
            state, self.make_seal_answer("c", Position(7, 8)), context
        )
        self.assertEqual((), effects)
        state, effects = advance_failover(state, Tick(), replace(context, now=10.2))
        self.assertEqual((), effects)
        state, _ = advance_failover(state, self.make_seal_answer("b", Position(7, 9)), context)
        state, effects = advance_failover(state, Tick(), replace(context, now=10.2))
        self.assertIn(SendPromote("s", "b", 100), effects)

    def test_member_with_later_term_is_preferred_to_longer_log(self) -> None:
        state, context = self.begin_sealing()
        for name, last in (("a", Position(6, 50)), ("b", Position(7, 9)), ("c", Position(7, 8))):
            state, effects = advance_failover(state, self.make_seal_answer(name, last), context)
        self.assertIn(SendPromote("s", "b", 100), effects)

    def test_unresponsive_primary_is_not_promoted_if_the_others_are_a_majority(self) -> None:
        state, context = self.begin_sealing()
        for name, index in (("a", 12), ("b", 9), ("c", 8)):
            state, effects = advance_failover(
                state, self.make_seal_answer(name, Position(7, index)), context
            )
        self.assertIn(SendPromote("s", "b", 100), effects)

    def test_unresponsive_primary_is_promoted_if_the_others_are_no_majority(
        self,
    ) -> None:
        state, context = self.begin_sealing()
        for name, index in (("a", 12), ("c", 8)):
            state, _ = advance_failover(
                state, self.make_seal_answer(name, Position(7, index)), context
            )
        state, effects = advance_failover(state, Tick(), replace(context, now=10.1))
        self.assertFalse([effect for effect in effects if isinstance(effect, SendPromote)])
        state, effects = advance_failover(state, Tick(), replace(context, now=10.4))
        self.assertIn(SendPromote("s", "a", 100), effects)

    def test_refused_seal_aborts_the_attempt(self) -> None:
        state, context = self.begin_sealing()
        refusal = SealAnswered("s", 100, False, make_report("b", 300, Position(7, 9), Role.SEALED))
        state, _ = advance_failover(state, refusal, context)
        self.assertIsInstance(state.stage, Watching)
        state, effects = advance_failover(
            state, self.make_seal_answer("b", Position(7, 9)), context
        )
        self.assertEqual((), effects)

    def test_seal_answer_after_the_stage_timeout_does_not_promote(self) -> None:
        state, context = self.begin_sealing()
        state, _ = advance_failover(state, self.make_seal_answer("c", Position(7, 8)), context)
        later = replace(context, now=12.0)
        state, effects = advance_failover(state, self.make_seal_answer("b", Position(7, 9)), later)
        self.assertEqual((), effects)
        self.assertIsInstance(state.stage, Watching)

    def test_other_members_are_requested_to_follow_the_new_primary(self) -> None:
        state, context = self.begin_sealing()
        for name in "abc":
            state, _ = advance_failover(state, self.make_seal_answer(name, Position(7, 9)), context)
        assert isinstance(state.stage, Promoting)
        candidate = state.stage.candidate
        report = make_report(candidate, 100, Position(100, 10), Role.PRIMARY)
        answer = PromoteAnswered("s", 100, True, report)
        state, effects = advance_failover(state, answer, context)
        followers = {effect.instance for effect in effects if isinstance(effect, SendFollow)}
        self.assertEqual({"a", "b", "c"} - {candidate}, followers)

    def test_no_failover_starts_when_the_reserved_terms_are_used_up(self) -> None:
        context = replace(make_group_context(10.0, 9.2, 0.9), term_range=replace(RANGE, last=100))
        state, effects = advance_failover(FailoverState("s", last_term=100), Tick(), context)
        self.assertEqual((), effects)
        self.assertIsInstance(state.stage, Watching)
