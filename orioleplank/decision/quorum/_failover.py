"""Promotion: notice that a primary is gone, seal a majority, promote the most advanced.

A keeper trusts no clock and no lease. It promotes in terms that the platform reserved for it
alone, and only after a majority has sealed the term, so two keepers at once, or one that wakes up
late, cannot make two primaries that both gather a majority. Every step may be repeated.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from orioleplank.decision.quorum._effect import (
    Effect,
    Event,
    LogEvent,
    SendFollow,
    SendPromote,
    SendSeal,
)
from orioleplank.decision.quorum._group_view import Report, Role
from orioleplank.decision.quorum._message import PromoteAnswered, SealAnswered, Tick
from orioleplank.decision.quorum._promotion_trigger import (
    FailoverContext,
    PromotionTrigger,
    find_promotion_trigger,
    find_reachable_report,
    find_recovered_member,
)
from orioleplank.decision.quorum._safeguards import Safeguard

SETTLE_S = 0.5
RESEND_S = 0.25
STEP_LIMIT_S = 1.0
SEAL_LINGER_S = 0.05
AVOID_LINGER_S = 0.3
REPAIR_S = 0.5
BACKOFF_S = 0.3
ADMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Watching:
    """Watches the primary."""

    # Takes no step before this time of the proxy's clock, in seconds.
    not_before: float = 0.0


@dataclass(frozen=True, slots=True)
class Sealing:
    """Seals the members at a new term."""

    # The term.
    term: int
    # When it began, in seconds.
    started: float
    # When the seals were sent last, in seconds.
    sent_at: float
    # Reports of the members that are sealed.
    granted: Mapping[str, Report] = field(default_factory=dict)
    # When a majority was sealed, in seconds; 0 before.
    majority_at: float = 0.0
    # Member to pass over while the others are a majority; empty for none.
    avoided_member: str = ""


@dataclass(frozen=True, slots=True)
class Promoting:
    """Promotes the member it chose."""

    # The term.
    term: int
    # Name of the member.
    candidate: str
    # When it began, in seconds.
    started: float
    # When the promotion was sent last, in seconds.
    sent_at: float


KeeperStage = Watching | Sealing | Promoting


@dataclass(frozen=True, slots=True)
class FailoverState:
    """One proxy's part in the promotions of one service."""

    # Name of the service.
    service: str
    # The stage it has reached.
    stage: KeeperStage = Watching()
    # Last term it has tried.
    last_term: int = 0
    # When it last told members to follow, in seconds.
    repaired_at: float = 0.0
    # When the primary was first suspected, in seconds; 0 while it is not.
    suspected_at: float = 0.0
    # When it last began a term to admit a member, in seconds.
    admitted_at: float = 0.0


Step = tuple[FailoverState, tuple[Effect, ...]]


def advance_failover(
    keeper: FailoverState, message: Tick | SealAnswered | PromoteAnswered, around: FailoverContext
) -> Step:
    """Take a message; return the keeper's new state and what to do."""
    match keeper.stage, message:
        case Watching(), Tick():
            return _watch(keeper, around)
        case Sealing() as stage, SealAnswered() if message.term == stage.term:
            return _take_seal(keeper, stage, message, around)
        case Sealing() as stage, Tick():
            return _continue_sealing(keeper, stage, around)
        case Promoting() as stage, PromoteAnswered() if message.term == stage.term:
            return _take_promotion(keeper, stage, message, around)
        case Promoting() as stage, Tick():
            return _continue_promoting(keeper, stage, around)
        case _:
            return keeper, ()


def _watch(keeper: FailoverState, around: FailoverContext) -> Step:
    assert isinstance(keeper.stage, Watching)
    if not around.is_active or around.now < keeper.stage.not_before:
        return keeper, ()
    suspicion = find_promotion_trigger(around)
    if suspicion is None and around.now - keeper.admitted_at >= ADMIT_S:
        suspicion = find_recovered_member(around)
        keeper = replace(keeper, admitted_at=around.now) if suspicion else keeper
    if suspicion is None:
        return _repair(replace(keeper, suspected_at=0.0), around)
    return _begin_term(keeper, suspicion, around)


def _begin_term(
    keeper: FailoverState, suspected: PromotionTrigger, around: FailoverContext
) -> Step:
    term = _next_term(keeper, around)
    if term is None:
        return keeper, ()
    suspicion = LogEvent(Event.PRIMARY_SUSPECTED, "watch primary", keeper.service, suspected.reason)
    stage = Sealing(term, around.now, around.now, avoided_member=suspected.avoided_member)
    sealing = replace(keeper, stage=stage, last_term=term, suspected_at=around.now)
    if not around.view.safeguards.is_enabled(Safeguard.SEALING):
        return _promote_unsealed(sealing, stage, around, suspicion)
    return sealing, (suspicion, *_seals(keeper.service, term, stage.granted, around))


def _next_term(keeper: FailoverState, around: FailoverContext) -> int | None:
    if around.term_range is None:
        return None
    term = max(keeper.last_term + 1, around.view.highest_term + 1, around.term_range.first)
    return term if term <= around.term_range.last else None


def _seals(
    service: str, term: int, granted: Mapping[str, Report], around: FailoverContext
) -> tuple[Effect, ...]:
    missing = [name for name in around.view.members if name not in granted]
    note = LogEvent(Event.SEAL_SENT, "seal", service, f"term {term} to {', '.join(missing)}")
    return (note, *(SendSeal(service, name, term) for name in missing))


def _promote_unsealed(
    keeper: FailoverState, stage: Sealing, around: FailoverContext, suspicion: LogEvent
) -> Step:
    """Promote without a seal; only tests that switch sealing off come here."""
    reports = {name: seen.report for name, seen in around.view.latest_reports.items()}
    primary = around.view.primary()
    others = {name: r for name, r in reports.items() if primary is None or r != primary}
    promoting, effects = _promote(keeper, replace(stage, granted=others), around)
    return promoting, (suspicion, *effects)


def _take_seal(
    keeper: FailoverState, stage: Sealing, message: SealAnswered, around: FailoverContext
) -> Step:
    if not message.granted:
        note = LogEvent(
            Event.SEAL_REFUSED,
            "seal",
            message.report.instance,
            f"term {stage.term} refused, {message.report.term} is higher",
        )
        return _back_off(keeper, around), (note,)
    if not message.report.voting and around.view.safeguards.is_enabled(Safeguard.VOTING):
        return keeper, ()
    if around.now - stage.started >= STEP_LIMIT_S and not stage.majority_at:
        return _back_off(keeper, around), ()
    granted = {**stage.granted, message.report.instance: message.report}
    majority_at = stage.majority_at
    if len(granted) >= around.view.majority_size and majority_at == 0.0:
        majority_at = around.now
    sealed = replace(stage, granted=granted, majority_at=majority_at)
    if len(granted) == len(around.view.members):
        return _promote(keeper, sealed, around)
    return replace(keeper, stage=sealed), ()


def _continue_sealing(keeper: FailoverState, stage: Sealing, around: FailoverContext) -> Step:
    if stage.majority_at and _has_lingered(stage, around):
        return _promote(keeper, stage, around)
    if around.now - stage.started >= STEP_LIMIT_S and not stage.majority_at:
        return _back_off(keeper, around), ()
    if around.now - stage.sent_at < RESEND_S:
        return keeper, ()
    resent = replace(keeper, stage=replace(stage, sent_at=around.now))
    return resent, _seals(keeper.service, stage.term, stage.granted, around)


def _has_lingered(stage: Sealing, around: FailoverContext) -> bool:
    """Tell whether the rest of the members had their time to answer the seal."""
    waited = around.now - stage.majority_at
    others = len(_choose_from(stage.granted, stage.avoided_member, around))
    limit = SEAL_LINGER_S if others >= around.view.majority_size else AVOID_LINGER_S
    return waited >= limit


def _back_off(keeper: FailoverState, around: FailoverContext) -> FailoverState:
    pause = BACKOFF_S * (0.5 + around.random.random())
    return replace(keeper, stage=Watching(around.now + pause))


def _promote(keeper: FailoverState, stage: Sealing, around: FailoverContext) -> Step:
    candidate = choose_candidate(stage.granted, stage.avoided_member, around)
    promoting = Promoting(stage.term, candidate, around.now, around.now)
    note = LogEvent(Event.PROMOTION_SENT, "promote", candidate, f"term {stage.term}")
    effect = SendPromote(keeper.service, candidate, stage.term)
    return replace(keeper, stage=promoting), (note, effect)


def _choose_from(
    granted: Mapping[str, Report], avoid: str, around: FailoverContext
) -> Mapping[str, Report]:
    """Return the sealed members that neither leave nor are to be passed over."""
    return {
        name: report
        for name, report in granted.items()
        if not report.leaving and name not in around.leaving_instances and name != avoid
    }


def choose_candidate(granted: Mapping[str, Report], avoid: str, around: FailoverContext) -> str:
    """Choose the sealed member whose last entry has the highest (term, index).

    Members that leave, or that are not heard, are passed over while the others are a majority by
    themselves, since then the most advanced of the others holds every acknowledged entry too.
    """
    others = _choose_from(granted, avoid, around)
    eligible = others if len(others) >= around.view.majority_size else granted
    if not around.view.safeguards.is_enabled(Safeguard.MOST_ADVANCED):
        return min(eligible, key=lambda name: eligible[name].term_history.last)
    primary = around.view.primary()
    standing = primary.instance if primary is not None else ""
    return max(
        eligible, key=lambda name: (eligible[name].term_history.last, name == standing, name)
    )


def _take_promotion(
    keeper: FailoverState, stage: Promoting, message: PromoteAnswered, around: FailoverContext
) -> Step:
    if not message.granted:
        return _back_off(keeper, around), ()
    gap = around.now - keeper.suspected_at
    note = LogEvent(
        Event.PRIMARY_PROMOTED,
        "promote",
        stage.candidate,
        f"term {stage.term}, {gap:.3f} s after suspicion",
    )
    watching = replace(keeper, stage=Watching(around.now + SETTLE_S), suspected_at=0.0)
    follows = _follows(keeper.service, stage.candidate, stage.term, around.view.members, around)
    return replace(watching, repaired_at=around.now), (note, *follows)


def _continue_promoting(keeper: FailoverState, stage: Promoting, around: FailoverContext) -> Step:
    if around.now - stage.started >= STEP_LIMIT_S:
        return _back_off(keeper, around), ()
    if around.now - stage.sent_at < RESEND_S:
        return keeper, ()
    resent = replace(keeper, stage=replace(stage, sent_at=around.now))
    return resent, (SendPromote(keeper.service, stage.candidate, stage.term),)


def _repair(keeper: FailoverState, around: FailoverContext) -> Step:
    """Tell members that follow nobody, or somebody else, whom to follow."""
    primary = around.view.primary()
    if primary is None or around.now - keeper.repaired_at < REPAIR_S:
        return keeper, ()
    strays = tuple(
        name
        for name in around.view.members
        if name != primary.instance
        and (report := find_reachable_report(name, around)) is not None
        and _is_stray(report, primary)
    )
    repaired = replace(keeper, repaired_at=around.now)
    return repaired, _follows(keeper.service, primary.instance, primary.term, strays, around)


def _is_stray(report: Report, primary: Report) -> bool:
    if report.term > primary.term:
        return False
    if report.role is not Role.REPLICA:
        return True
    return report.term < primary.term or report.following != primary.instance


def _follows(
    service: str, primary: str, term: int, members: tuple[str, ...], around: FailoverContext
) -> tuple[Effect, ...]:
    spec = around.spec.instance(primary)
    if spec is None:
        return ()
    return tuple(
        SendFollow(service, name, term, primary, spec.address)
        for name in members
        if name != primary
    )
