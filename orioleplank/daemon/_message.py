"""Messages between the daemon's services, besides those of the decisions."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision.quorum import ProxyStatus, StoredObject, UpdateObject, UpdateVerdict


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """The admin service asks the decisions for the status."""

    # Number of the question.
    request_id: int


@dataclass(frozen=True, slots=True)
class StatusResponse:
    """The decisions answer the admin service."""

    # Number of the question.
    request_id: int
    # The status.
    status: ProxyStatus


@dataclass(frozen=True, slots=True)
class OperatorUpdateRequest:
    """The admin service asks the platform service for a conditional update."""

    # The update.
    update: UpdateObject


@dataclass(frozen=True, slots=True)
class OperatorUpdateResponse:
    """The platform service answers the admin service."""

    # Id of the change.
    change_id: str
    # What became of it; None when the platform could not tell in time.
    verdict: UpdateVerdict | None
    # The object as it stands now; None when it is absent or not known.
    current_object: StoredObject | None


@dataclass(frozen=True, slots=True)
class ShutdownRequest:
    """An operator asks for a graceful shutdown."""

    # True to end the process when nothing is in progress.
    exit_process: bool
    # Seconds after which new requests are refused; None for the settings' grace.
    grace: float | None = None
