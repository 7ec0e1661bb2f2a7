"""Conditions that start a promotion.

The primary is missing, unresponsive, isolated or leaving, or a member has recovered.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from orioleplank.decision.quorum._group_view import GroupView, Report
from orioleplank.decision.quorum._specs import ServiceSpec, TermRange

# A primary that has not reported for longer than this is suspected.
SILENCE_TIMEOUT_S = 0.6
# A replica that has received nothing from the primary for longer than this counts as isolated.
ISOLATION_TIMEOUT_S = 0.8
# A primary that is unresponsive only to this proxy, while its replicas still receive from it, is
# replaced after this time.
UNCONFIRMED_SILENCE_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class PromotionTrigger:
    """A reason to start a promotion."""

    # One sentence for the log.
    reason: str
    # Member that is not promoted if the others form a majority, because it is leaving or because
    # its replicas or this proxy receive nothing from it; empty for none.
    avoided_member: str = ""


@dataclass(frozen=True, slots=True)
class FailoverContext:
    """Input to the decisions of a failover coordinator, besides its own state."""

    spec: ServiceSpec
    view: GroupView
    # Members that are leaving according to the platform's VM list.
    leaving_instances: frozenset[str]
    # Terms reserved for this incarnation of this proxy; None when there are none.
    term_range: TermRange | None
    # True when no failover coordinator that ranks before this proxy is alive.
    is_active: bool
    # Proxy's monotonic clock, in seconds.
    now: float
    # Random number generator for the backoff.
    random: Random


def find_promotion_trigger(context: FailoverContext) -> PromotionTrigger | None:
    """Return the reason to promote a member, or None when the primary is healthy.

    Also returns None while fewer than a majority of the members are reachable, because a
    promotion could not succeed, and while a leaving primary has no majority to succeed it.
    """
    view = context.view
    reachable = [name for name in view.members if view.is_reachable(name, context.now)]
    if len(reachable) < view.majority_size:
        return None
    primary = view.primary()
    if primary is None or primary.term < view.committed.last.term:
        return PromotionTrigger("the group has no primary")
    if _has_member_above_term(primary, context):
        return PromotionTrigger(f"a member is sealed above term {primary.term}")
    if primary.leaving or primary.instance in context.leaving_instances:
        if not _has_successor(context):
            return None
        return PromotionTrigger(f"primary {primary.instance} is leaving", primary.instance)
    return _find_silence_trigger(primary, context)


def find_recovered_member(context: FailoverContext) -> PromotionTrigger | None:
    """Return a trigger for a member that lost its log and has caught up; None without one.

    Such a member no longer knows which entries it acknowledged and which terms it sealed, so it
    does not vote. It may vote again in a new term: that term is sealed by a majority of the other
    members after its recovery, so that nothing depends on the state it lost.
    """
    primary = context.view.primary()
    for name in context.view.members:
        report = find_reachable_report(name, context)
        if report is None or primary is None or report.voting:
            continue
        follows = report.term == primary.term and report.following == primary.instance
        if follows and report.term_history.contains(context.view.committed.last):
            return PromotionTrigger(f"member {name} has caught up and is to vote again")
    return None


def _find_silence_trigger(primary: Report, context: FailoverContext) -> PromotionTrigger | None:
    view = context.view
    others = [name for name in view.members if name != primary.instance]
    replica_reports = [
        report for name in others if (report := find_reachable_report(name, context)) is not None
    ]
    isolated = [
        report for report in replica_reports if report.primary_silence > ISOLATION_TIMEOUT_S
    ]
    if (
        len(view.members) - len(isolated) < view.majority_size
        and len(isolated) >= view.majority_size
    ):
        reason = f"primary {primary.instance} is cut off from its replicas"
        return PromotionTrigger(reason, primary.instance)
    silence = context.now - view.latest_reports[primary.instance].received_at
    if primary.instance not in view.unreachable and silence <= SILENCE_TIMEOUT_S:
        return None
    in_contact = [
        report for report in replica_reports if report.primary_silence < SILENCE_TIMEOUT_S / 2
    ]
    if len(in_contact) + 1 >= view.majority_size and silence < UNCONFIRMED_SILENCE_TIMEOUT_S:
        return None
    reason = f"primary {primary.instance} has been silent for {silence:.2f} s"
    return PromotionTrigger(reason, primary.instance)


def find_reachable_report(name: str, context: FailoverContext) -> Report | None:
    """Return the latest report of a member, or None when it is not reachable."""
    if not context.view.is_reachable(name, context.now):
        return None
    return context.view.latest_report(name)


def _has_member_above_term(primary: Report, context: FailoverContext) -> bool:
    """Return whether a reachable member is sealed above the primary's term.

    Such a member cannot follow the primary.
    """
    reports = (find_reachable_report(name, context) for name in context.view.members)
    return any(report is not None and report.term > primary.term for report in reports)


def _has_successor(context: FailoverContext) -> bool:
    staying = [
        name
        for name in context.view.members
        if (report := find_reachable_report(name, context)) is not None
        and not report.leaving
        and report.voting
        and name not in context.leaving_instances
    ]
    return len(staying) >= context.view.majority_size
