"""When a primary is replaced, which proxies confirm it, and which instance is promoted."""

from orioleplank.decision.failover._confirmation import choose_confirming_peers
from orioleplank.decision.failover._pending_promotions import (
    PROMOTION_EFFECT_TIMEOUT_S,
    PendingPromotions,
    find_new_primary,
)
from orioleplank.decision.failover._primary_health import (
    PrimaryAssessment,
    PrimaryDemoted,
    PrimaryFailingWork,
    PrimaryHealth,
    PrimaryHealthy,
    PrimaryLeaving,
    PrimarySuspected,
    assess_primary,
)
from orioleplank.decision.failover._promotion import (
    InstanceReport,
    has_caught_up_replica,
    rank_promotion_candidates,
)
from orioleplank.decision.failover._promotion_safety import (
    PromotionSafe,
    PromotionSafety,
    PromotionUnsafe,
    select_candidates,
)
from orioleplank.decision.failover._work_history import (
    WORK_FAILURE_COOLDOWN_S,
    WorkHistory,
    WorkStatus,
    is_work_failure_confirmed,
)

__all__ = [
    "InstanceReport",
    "PROMOTION_EFFECT_TIMEOUT_S",
    "PendingPromotions",
    "PrimaryAssessment",
    "PrimaryDemoted",
    "PrimaryFailingWork",
    "PrimaryHealth",
    "PrimaryHealthy",
    "PrimaryLeaving",
    "PrimarySuspected",
    "PromotionSafe",
    "PromotionSafety",
    "PromotionUnsafe",
    "WORK_FAILURE_COOLDOWN_S",
    "WorkHistory",
    "WorkStatus",
    "assess_primary",
    "choose_confirming_peers",
    "find_new_primary",
    "has_caught_up_replica",
    "is_work_failure_confirmed",
    "rank_promotion_candidates",
    "select_candidates",
]
