"""Promotions that may still take effect, and whether an instance can be taken as the new primary.

Load pattern: the proxy that replaces a primary requests a promotion and is killed, cut off or
deprived of its claim by a restore of the store before the promotion takes effect. Meanwhile the old
primary comes back and reports that it leads its term, since nothing has been promoted yet.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

from orioleplank.decision.failover._promotion import InstanceReport
from orioleplank.decision.group import GroupRecord
from orioleplank.decision.instances import DbRole

# Time within which a requested promotion takes effect, if it does at all.
PROMOTION_EFFECT_TIMEOUT_S = 3.0


class PendingPromotions(Struct, frozen=True):
    """The promotions that have been requested for one replacement of a primary.

    While one of them may have taken effect, an instance that leads the old term may already be
    replaced, even if its successor has failed since.
    """

    # True if an earlier claim may have requested a promotion.
    is_inherited: bool = False
    # Until when a promotion of an earlier claim may take effect, in seconds of the monotonic clock.
    settles_at: float = float("-inf")
    # Instances whose promotion was requested under this claim and accepted or not answered.
    requested: frozenset[str] = frozenset()

    @classmethod
    def inherit(cls, old_record: GroupRecord, now: float) -> PendingPromotions:
        """Return what a claim over `old_record` has to expect, once all leases are released.

        No earlier claim requests a promotion any longer. If the record was lost in a restore of the
        store, a claim may have been lost with it.
        """
        may_settle = old_record.may_be_requested or old_record.keeps_primary
        settles_at = now + PROMOTION_EFFECT_TIMEOUT_S if may_settle else float("-inf")
        return cls(old_record.may_be_requested, settles_at)

    @property
    def has_any(self) -> bool:
        """True if a promotion has or may have been requested."""
        return self.is_inherited or bool(self.requested)

    def add(self, instance: str) -> PendingPromotions:
        """Return this with one more requested promotion."""
        return replace(self, requested=self.requested | {instance})

    def remove(self, instance: str) -> PendingPromotions:
        """Return this after the promotion of an instance was refused."""
        return replace(self, requested=self.requested - {instance})

    def may_have_taken_effect(self, reports: Iterable[InstanceReport], old_term: int) -> bool:
        """Return whether a promotion may have begun a term later than `old_term`.

        A promotion of this claim has not if its instance reports that it is a replica of the old
        term, after the time within which the promotion takes effect.
        """
        not_promoted = {
            report.id
            for report in reports
            if report.role is DbRole.REPLICA and report.term <= old_term
        }
        return self.is_inherited or not self.requested <= not_promoted


def find_new_primary(
    reports: Iterable[InstanceReport],
    old_record: GroupRecord,
    pending: PendingPromotions,
    now: float,
) -> InstanceReport | None:
    """Return the report of an instance that already is the new primary; None without one.

    An instance that leads a later term is. One that leads the old term is, if no promotion may have
    taken effect: the old primary was replaced by an instance with its log and another id, or it is
    the old primary itself, if only its record was lost.
    """
    reports = tuple(reports)
    leading = [report for report in reports if report.role is DbRole.PRIMARY]
    later = [report for report in leading if report.term > old_record.term]
    if later:
        return max(later, key=lambda report: report.term)
    if now < pending.settles_at or pending.may_have_taken_effect(reports, old_record.term):
        return None
    same_term = (
        report
        for report in leading
        if report.term == old_record.term
        and (report.id != old_record.primary or old_record.keeps_primary)
    )
    return next(same_term, None)
