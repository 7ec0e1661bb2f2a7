"""Judges from what a proxy has seen whether a primary has to be replaced."""

from __future__ import annotations

from dataclasses import dataclass

# Silence after which other proxies are asked about a primary, in seconds: longer than a reconnect
# between regions takes.
SILENCE_S = 0.4
# Failures in a row that count, so that one reset connection is not a dead instance.
LEAST_FAILURES = 2


@dataclass(frozen=True, slots=True)
class PrimaryHealth:
    """What a proxy knows of a primary."""

    # True when its entry exists.
    is_listed: bool
    # True when its entry says that it will end, or is missing although it answers.
    is_leaving: bool
    # Seconds since the first failure after its last answer; 0 without a failure.
    failing_for: float
    # Failures since its last answer.
    failures: int
    # True when it answers that it does not lead.
    denies_primary_role: bool = False


@dataclass(frozen=True, slots=True)
class PrimaryHealthy:
    """Nothing is wrong with it."""


@dataclass(frozen=True, slots=True)
class PrimaryLeaving:
    """It will end; it still serves."""


@dataclass(frozen=True, slots=True)
class PrimarySuspected:
    """It does not answer here."""

    # What shows it.
    why: str


@dataclass(frozen=True, slots=True)
class PrimaryDemoted:
    """It lives and does not lead: a promotion took effect that no proxy knows of."""


PrimaryAssessment = PrimaryHealthy | PrimaryLeaving | PrimarySuspected | PrimaryDemoted


def assess_primary(evidence: PrimaryHealth) -> PrimaryAssessment:
    """Judge a primary; `PrimarySuspected` still needs the word of other proxies."""
    if evidence.denies_primary_role:
        return PrimaryDemoted()
    if not evidence.is_listed:
        return PrimarySuspected("its entry is gone")
    if evidence.failures >= LEAST_FAILURES and evidence.failing_for >= SILENCE_S:
        return PrimarySuspected(f"{evidence.failures} failures in {evidence.failing_for:.1f} s")
    if evidence.is_leaving:
        return PrimaryLeaving()
    return PrimaryHealthy()
