"""Failover of a group whose upstream acknowledges a write once a majority has stored it.

It detects that the primary failed, seals a majority of the members at a new term, and promotes one
of them. A member that is sealed at a term takes no part in lower terms. The failover for upstreams
whose primary the proxies rely on under leases is in `orioleplank.gateway._failover`.

The member with the most advanced log is promoted. The safety of a failover depends on no clock and
no lease. A failover coordinator promotes only in terms that the platform reserved for it alone, and
only after a majority has been sealed at the term. Two coordinators that act at the same time, or
one that resumes after a long pause, therefore cannot create two primaries that are both followed by
a majority. Every step may be repeated.
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

# The primary is not checked for this time after a promotion.
POST_PROMOTION_DELAY_S = 0.5
RESEND_INTERVAL_S = 0.25
# A stage that has not succeeded after this time is abandoned.
STAGE_TIMEOUT_S = 1.0
# Once a majority is sealed, the time that the remaining members have to answer the seal.
SEAL_GRACE_S = 0.05
# The same time, while an avoided or leaving member is still needed for a majority; see
# `PromotionTrigger.avoided_member`.
AVOIDED_MEMBER_GRACE_S = 0.3
# Time between two checks that all members follow the primary.
FOLLOW_INTERVAL_S = 0.5
# The pause after an abandoned attempt is random, between 0.5 and 1.5 times this value.
MEAN_BACKOFF_S = 0.3
# A new term to let a recovered member vote again is started at most once in this time; see
# `find_recovered_member` for why such a member does not vote before.
READMISSION_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class Watching:
    """Stage in which the primary is monitored and no failover is in progress."""

    # Nothing is checked before this time, in seconds of the proxy's monotonic clock.
    not_before: float = 0.0


@dataclass(frozen=True, slots=True)
class Sealing:
    """Stage in which the members are sealed at a new term."""

    term: int
    # When the stage began, in seconds of the proxy's monotonic clock.
    started_at: float
    # When the seals were last sent, in seconds.
    sent_at: float
    # Reports of the sealed members, by instance name.
    sealed_reports: Mapping[str, Report] = field(default_factory=dict)
    # When a majority had been sealed, in seconds; 0 before that.
    majority_at: float = 0.0
    # Member that is not promoted if the other sealed members form a majority; empty for none.
    avoided_member: str = ""


@dataclass(frozen=True, slots=True)
class Promoting:
    """Stage in which the chosen member is promoted."""

    term: int
    # Name of the chosen member.
    candidate: str
    # When the stage began, in seconds of the proxy's monotonic clock.
    started_at: float
    # When the promotion was last sent, in seconds.
    sent_at: float


FailoverStage = Watching | Sealing | Promoting


@dataclass(frozen=True, slots=True)
class FailoverState:
    """State of one proxy as failover coordinator of one service.

    Times are seconds of the proxy's monotonic clock.
    """

    service: str
    stage: FailoverStage = Watching()
    # Last term in which this proxy started a failover; 0 before the first one.
    last_term: int = 0
    # When members were last checked and requested to follow the primary.
    follows_sent_at: float = 0.0
    # When the last attempt was started; 0 once the primary is healthy again or replaced.
    suspected_at: float = 0.0
    # When a term was last started so that a recovered member may vote again.
    readmission_started_at: float = 0.0


Transition = tuple[FailoverState, tuple[Effect, ...]]


def advance_failover(
    state: FailoverState, message: Tick | SealAnswered | PromoteAnswered, context: FailoverContext
) -> Transition:
    """Process a message; return the new state and the effects to carry out."""
    match state.stage, message:
        case Watching(), Tick():
            return _watch(state, context)
        case Sealing() as stage, SealAnswered() if message.term == stage.term:
            return _handle_seal(state, stage, message, context)
        case Sealing() as stage, Tick():
            return _continue_sealing(state, stage, context)
        case Promoting() as stage, PromoteAnswered() if message.term == stage.term:
            return _handle_promotion(state, stage, message, context)
        case Promoting() as stage, Tick():
            return _continue_promoting(state, stage, context)
        case _:
            return state, ()


def _watch(state: FailoverState, context: FailoverContext) -> Transition:
    assert isinstance(state.stage, Watching)
    if not context.is_active or context.now < state.stage.not_before:
        return state, ()
    trigger = find_promotion_trigger(context)
    if trigger is None and context.now - state.readmission_started_at >= READMISSION_INTERVAL_S:
        trigger = find_recovered_member(context)
        state = replace(state, readmission_started_at=context.now) if trigger else state
    if trigger is None:
        return _repair_following(replace(state, suspected_at=0.0), context)
    return _begin_term(state, trigger, context)


def _begin_term(
    state: FailoverState, trigger: PromotionTrigger, context: FailoverContext
) -> Transition:
    term = _next_term(state, context)
    if term is None:
        return state, ()
    suspicion_event = LogEvent(
        Event.PRIMARY_SUSPECTED, "watch primary", state.service, trigger.reason
    )
    stage = Sealing(term, context.now, context.now, avoided_member=trigger.avoided_member)
    sealing = replace(state, stage=stage, last_term=term, suspected_at=context.now)
    if not context.view.safeguards.is_enabled(Safeguard.SEALING):
        return _promote_unsealed(sealing, stage, context, suspicion_event)
    return sealing, (
        suspicion_event,
        *_seal_effects(state.service, term, stage.sealed_reports, context),
    )


def _next_term(state: FailoverState, context: FailoverContext) -> int | None:
    if context.term_range is None:
        return None
    term = max(state.last_term + 1, context.view.highest_term + 1, context.term_range.first)
    return term if term <= context.term_range.last else None


def _seal_effects(
    service: str, term: int, sealed_reports: Mapping[str, Report], context: FailoverContext
) -> tuple[Effect, ...]:
    unsealed = [name for name in context.view.members if name not in sealed_reports]
    log_event = LogEvent(Event.SEAL_SENT, "seal", service, f"term {term} to {', '.join(unsealed)}")
    return (log_event, *(SendSeal(service, name, term) for name in unsealed))


def _promote_unsealed(
    state: FailoverState, stage: Sealing, context: FailoverContext, suspicion_event: LogEvent
) -> Transition:
    """Promote without sealing; reached only in tests that disable the sealing safeguard."""
    reports = {name: received.report for name, received in context.view.latest_reports.items()}
    primary = context.view.primary()
    others = {name: r for name, r in reports.items() if primary is None or r != primary}
    promoting, effects = _promote(state, replace(stage, sealed_reports=others), context)
    return promoting, (suspicion_event, *effects)


def _handle_seal(
    state: FailoverState, stage: Sealing, message: SealAnswered, context: FailoverContext
) -> Transition:
    if not message.granted:
        log_event = LogEvent(
            Event.SEAL_REFUSED,
            "seal",
            message.report.instance,
            f"term {stage.term} refused, {message.report.term} is higher",
        )
        return _back_off(state, context), (log_event,)
    if not message.report.voting and context.view.safeguards.is_enabled(Safeguard.VOTING):
        return state, ()
    if context.now - stage.started_at >= STAGE_TIMEOUT_S and not stage.majority_at:
        return _back_off(state, context), ()
    sealed_reports = {**stage.sealed_reports, message.report.instance: message.report}
    majority_at = stage.majority_at
    if len(sealed_reports) >= context.view.majority_size and majority_at == 0.0:
        majority_at = context.now
    sealed = replace(stage, sealed_reports=sealed_reports, majority_at=majority_at)
    if len(sealed_reports) == len(context.view.members):
        return _promote(state, sealed, context)
    return replace(state, stage=sealed), ()


def _continue_sealing(state: FailoverState, stage: Sealing, context: FailoverContext) -> Transition:
    if stage.majority_at and _has_grace_elapsed(stage, context):
        return _promote(state, stage, context)
    if context.now - stage.started_at >= STAGE_TIMEOUT_S and not stage.majority_at:
        return _back_off(state, context), ()
    if context.now - stage.sent_at < RESEND_INTERVAL_S:
        return state, ()
    resent = replace(state, stage=replace(stage, sent_at=context.now))
    return resent, _seal_effects(state.service, stage.term, stage.sealed_reports, context)


def _has_grace_elapsed(stage: Sealing, context: FailoverContext) -> bool:
    """Return whether the remaining members have had enough time to answer the seal.

    They have more time while an avoided or leaving member is still needed for a majority.
    """
    waited = context.now - stage.majority_at
    others = len(_preferred_candidates(stage.sealed_reports, stage.avoided_member, context))
    limit = SEAL_GRACE_S if others >= context.view.majority_size else AVOIDED_MEMBER_GRACE_S
    return waited >= limit


def _back_off(state: FailoverState, context: FailoverContext) -> FailoverState:
    pause = MEAN_BACKOFF_S * (0.5 + context.random.random())
    return replace(state, stage=Watching(context.now + pause))


def _promote(state: FailoverState, stage: Sealing, context: FailoverContext) -> Transition:
    candidate = choose_candidate(stage.sealed_reports, stage.avoided_member, context)
    promoting = Promoting(stage.term, candidate, context.now, context.now)
    log_event = LogEvent(Event.PROMOTION_SENT, "promote", candidate, f"term {stage.term}")
    effect = SendPromote(state.service, candidate, stage.term)
    return replace(state, stage=promoting), (log_event, effect)


def _preferred_candidates(
    sealed_reports: Mapping[str, Report], avoided_member: str, context: FailoverContext
) -> Mapping[str, Report]:
    """Return the reports of sealed members that are neither leaving nor avoided."""
    return {
        name: report
        for name, report in sealed_reports.items()
        if not report.leaving and name not in context.leaving_instances and name != avoided_member
    }


def choose_candidate(
    sealed_reports: Mapping[str, Report], avoided_member: str, context: FailoverContext
) -> str:
    """Return the sealed member whose last log entry has the highest (term, index).

    Leaving members and the avoided member are excluded if the remaining ones are a majority: the
    most advanced of a majority holds every acknowledged entry. Otherwise all sealed members are
    candidates. Of equally advanced members, the current primary is preferred.
    """
    others = _preferred_candidates(sealed_reports, avoided_member, context)
    eligible = others if len(others) >= context.view.majority_size else sealed_reports
    if not context.view.safeguards.is_enabled(Safeguard.MOST_ADVANCED):
        return min(eligible, key=lambda name: eligible[name].term_history.last)
    primary = context.view.primary()
    current_primary = primary.instance if primary is not None else ""
    return max(
        eligible, key=lambda name: (eligible[name].term_history.last, name == current_primary, name)
    )


def _handle_promotion(
    state: FailoverState, stage: Promoting, message: PromoteAnswered, context: FailoverContext
) -> Transition:
    if not message.granted:
        return _back_off(state, context), ()
    elapsed = context.now - state.suspected_at
    log_event = LogEvent(
        Event.PRIMARY_PROMOTED,
        "promote",
        stage.candidate,
        f"term {stage.term}, {elapsed:.3f} s after suspicion",
    )
    watching = replace(
        state, stage=Watching(context.now + POST_PROMOTION_DELAY_S), suspected_at=0.0
    )
    follows = _follow_effects(
        state.service, stage.candidate, stage.term, context.view.members, context
    )
    return replace(watching, follows_sent_at=context.now), (log_event, *follows)


def _continue_promoting(
    state: FailoverState, stage: Promoting, context: FailoverContext
) -> Transition:
    if context.now - stage.started_at >= STAGE_TIMEOUT_S:
        return _back_off(state, context), ()
    if context.now - stage.sent_at < RESEND_INTERVAL_S:
        return state, ()
    resent = replace(state, stage=replace(stage, sent_at=context.now))
    return resent, (SendPromote(state.service, stage.candidate, stage.term),)


def _repair_following(state: FailoverState, context: FailoverContext) -> Transition:
    """Request members that do not follow the primary in its term to do so."""
    primary = context.view.primary()
    if primary is None or context.now - state.follows_sent_at < FOLLOW_INTERVAL_S:
        return state, ()
    to_redirect = tuple(
        name
        for name in context.view.members
        if name != primary.instance
        and (report := find_reachable_report(name, context)) is not None
        and _needs_follow(report, primary)
    )
    updated = replace(state, follows_sent_at=context.now)
    return updated, _follow_effects(
        state.service, primary.instance, primary.term, to_redirect, context
    )


def _needs_follow(report: Report, primary: Report) -> bool:
    if report.term > primary.term:
        return False
    if report.role is not Role.REPLICA:
        return True
    return report.term < primary.term or report.following != primary.instance


def _follow_effects(
    service: str, primary: str, term: int, members: tuple[str, ...], context: FailoverContext
) -> tuple[Effect, ...]:
    spec = context.spec.instance(primary)
    if spec is None:
        return ()
    return tuple(
        SendFollow(service, name, term, primary, spec.address)
        for name in members
        if name != primary
    )
