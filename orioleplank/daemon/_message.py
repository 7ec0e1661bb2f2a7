"""Messages between the daemon's services, besides those of the decisions."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision.quorum import ProxyStatus, StoredObject, UpdateObject, UpdateVerdict


@dataclass(frozen=True, slots=True)
class StatusWanted:
    """The admin service asks the decisions for the status."""

    # Number of the question.
    number: int


@dataclass(frozen=True, slots=True)
class StatusTold:
    """The decisions answer the admin service."""

    # Number of the question.
    number: int
    # The status.
    status: ProxyStatus


@dataclass(frozen=True, slots=True)
class OperatorChange:
    """The admin service asks the platform service for a conditional update."""

    # The update.
    update: UpdateObject


@dataclass(frozen=True, slots=True)
class OperatorChangeEnded:
    """The platform service answers the admin service."""

    # Id of the change.
    change_id: str
    # What became of it; None when the platform could not tell in time.
    verdict: UpdateVerdict | None
    # The object as it stands now; None when it is absent or not known.
    found: StoredObject | None


@dataclass(frozen=True, slots=True)
class DrainWanted:
    """An operator asks for a graceful shutdown."""

    # True to end the process when nothing is in progress.
    end: bool
    # Seconds after which new requests are refused; None for the settings' grace.
    grace: float | None = None
