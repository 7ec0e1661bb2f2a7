"""Why a promotion is due: the primary is gone, cut off or leaving, or a member comes back."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from orioleplank.decision.quorum._group_view import GroupView, Report
from orioleplank.decision.quorum._specs import ServiceSpec, TermRange

SUSPECT_AFTER_S = 0.6
CUT_OFF_AFTER_S = 0.8
PATIENCE_S = 3.0


@dataclass(frozen=True, slots=True)
class PromotionTrigger:
    """Why a promotion is due."""

    # One sentence.
    reason: str
    # Member to pass over, because the group or the keeper does not hear it; empty for none.
    avoided_member: str = ""


@dataclass(frozen=True, slots=True)
class FailoverContext:
    """What a keeper looks at besides its state."""

    # The service.
    spec: ServiceSpec
    # Its group.
    view: GroupView
    # Members that are leaving by the platform's list.
    leaving_instances: frozenset[str]
    # Terms reserved for this run of this proxy; None when there are none.
    term_range: TermRange | None
    # True when no keeper that goes before this one is alive.
    is_active: bool
    # Proxy's monotonic clock, in seconds.
    now: float
    # Generator for backoff.
    random: Random


def find_promotion_trigger(around: FailoverContext) -> PromotionTrigger | None:
    """Return why a promotion is due, None when it is not."""
    view = around.view
    voters = [name for name in view.members if view.is_reachable(name, around.now)]
    if len(voters) < view.majority_size:
        return None
    primary = view.primary()
    if primary is None or primary.term < view.committed.last.term:
        return PromotionTrigger("the group has no primary")
    if _stranded(primary, around):
        return PromotionTrigger(f"a member is sealed above term {primary.term}")
    if primary.leaving or primary.instance in around.leaving_instances:
        if not _has_successor(around):
            return None
        return PromotionTrigger(f"primary {primary.instance} is leaving", primary.instance)
    return _suspect_silence(primary, around)


def find_recovered_member(around: FailoverContext) -> PromotionTrigger | None:
    """Return which member that lost its log has caught up, and needs a new term to vote again.

    Such a member has forgotten what it acknowledged and promised. In a term that a majority of
    the others seals after it came back, nothing depends on what it forgot.
    """
    primary = around.view.primary()
    for name in around.view.members:
        report = find_reachable_report(name, around)
        if report is None or primary is None or report.voting:
            continue
        follows = report.term == primary.term and report.following == primary.instance
        if follows and report.term_history.contains(around.view.committed.last):
            return PromotionTrigger(f"member {name} has caught up and is to vote again")
    return None


def _suspect_silence(primary: Report, around: FailoverContext) -> PromotionTrigger | None:
    view = around.view
    others = [name for name in view.members if name != primary.instance]
    fresh = [
        report for name in others if (report := find_reachable_report(name, around)) is not None
    ]
    deaf = [report for report in fresh if report.primary_silence > CUT_OFF_AFTER_S]
    if len(view.members) - len(deaf) < view.majority_size and len(deaf) >= view.majority_size:
        why = f"primary {primary.instance} is cut off from its replicas"
        return PromotionTrigger(why, primary.instance)
    silence = around.now - view.latest_reports[primary.instance].received_at
    if primary.instance not in view.unreachable and silence <= SUSPECT_AFTER_S:
        return None
    hearing = [report for report in fresh if report.primary_silence < SUSPECT_AFTER_S / 2]
    if len(hearing) + 1 >= view.majority_size and silence < PATIENCE_S:
        return None
    why = f"primary {primary.instance} has been silent for {silence:.2f} s"
    return PromotionTrigger(why, primary.instance)


def find_reachable_report(name: str, around: FailoverContext) -> Report | None:
    """Return the report of a member that is reachable, None for others."""
    if not around.view.is_reachable(name, around.now):
        return None
    return around.view.latest_report(name)


def _stranded(primary: Report, around: FailoverContext) -> bool:
    """Tell whether a reachable member cannot follow because its seal is above the primary's."""
    reports = (find_reachable_report(name, around) for name in around.view.members)
    return any(report is not None and report.term > primary.term for report in reports)


def _has_successor(around: FailoverContext) -> bool:
    staying = [
        name
        for name in around.view.members
        if (report := find_reachable_report(name, around)) is not None
        and not report.leaving
        and report.voting
        and name not in around.leaving_instances
    ]
    return len(staying) >= around.view.majority_size
