"""Assesses from the observations of one proxy whether a primary has to be replaced."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.failover._work_history import (
    WORK_FAILURE_COOLDOWN_S,
    WORK_FAILURE_TIMEOUT_S,
)

# How long a primary has to fail before it is suspected and other proxies are asked about it; longer
# than a reconnect between regions takes.
SUSPICION_TIMEOUT_S = 0.4
# Consecutive failures needed to suspect a primary: a single reset connection does not show that
# the instance has failed.
MIN_CONSECUTIVE_FAILURES = 2


class PrimaryHealth(Struct, frozen=True):
    """What one proxy has observed of a primary."""

    # True when the instance directory has an entry for it.
    is_listed: bool
    # True when its entry is draining, or has been missing for so long that it counts as leaving;
    # see `InstanceState` for the order of these states.
    is_leaving: bool
    # Seconds since the first failure after its last response; 0 without a failure.
    failing_for: float
    # Number of failures since its last response.
    failures: int
    # True when it responds that it is not the primary.
    denies_primary_role: bool = False
    # Seconds for which it has failed most of the work that this proxy sent it; 0 while it does not.
    work_failing_for: float = 0.0
    # Seconds since this proxy first knew it as the primary.
    leading_for: float = float("inf")


class PrimaryHealthy(Struct, frozen=True):
    """The primary needs no action."""


class PrimaryLeaving(Struct, frozen=True):
    """The primary is leaving but still serves; a switchover is due."""


class PrimarySuspected(Struct, frozen=True):
    """The primary is unresponsive or unlisted, as seen by this proxy."""

    # The observation behind the suspicion.
    reason: str


class PrimaryDemoted(Struct, frozen=True):
    """The instance responds but is not the primary.

    This happens when a promotion took effect that no proxy knows of.
    """


class PrimaryFailingWork(Struct, frozen=True):
    """The primary responds and fails most of its work, as seen by this proxy."""

    # The observation behind the assessment.
    reason: str


PrimaryAssessment = (
    PrimaryHealthy | PrimaryLeaving | PrimarySuspected | PrimaryDemoted | PrimaryFailingWork
)


def assess_primary(health: PrimaryHealth) -> PrimaryAssessment:
    """Assess a primary from the observations of this proxy alone.

    `PrimarySuspected` and `PrimaryFailingWork` still need the confirmation of other proxies.
    """
    if health.denies_primary_role:
        return PrimaryDemoted()
    if not health.is_listed:
        return PrimarySuspected("its entry is gone")
    if health.failures >= MIN_CONSECUTIVE_FAILURES and health.failing_for >= SUSPICION_TIMEOUT_S:
        return PrimarySuspected(f"{health.failures} failures in {health.failing_for:.1f} s")
    if health.is_leaving:
        return PrimaryLeaving()
    is_settled = health.leading_for >= WORK_FAILURE_COOLDOWN_S
    if health.work_failing_for >= WORK_FAILURE_TIMEOUT_S and is_settled:
        return PrimaryFailingWork(f"most work fails for {health.work_failing_for:.1f} s")
    return PrimaryHealthy()
