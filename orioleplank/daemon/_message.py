"""Messages between the daemon's services that the decision code does not define."""

from __future__ import annotations

from dataclasses import dataclass

from orioleplank.decision.quorum import ProxyStatus, StoredObject, UpdateObject, UpdateVerdict


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Request for the proxy's status, from the admin service to the decision service."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StatusResponse:
    """Status of the proxy, from the decision service to the admin service."""

    request_id: int
    status: ProxyStatus


@dataclass(frozen=True, slots=True)
class OperatorUpdateRequest:
    """Conditional update requested by an operator, from the admin to the platform service."""

    update: UpdateObject


@dataclass(frozen=True, slots=True)
class OperatorUpdateResponse:
    """Result of an operator's update, from the platform service to the admin service."""

    change_id: str
    # None when the outcome could not be determined in time.
    verdict: UpdateVerdict | None
    # The object as stored now; None when it is absent or unknown.
    current_object: StoredObject | None


@dataclass(frozen=True, slots=True)
class ShutdownRequest:
    """Request for a graceful shutdown, by an operator or a signal."""

    # True to end the process once no request is in progress; False to keep it running.
    exit_process: bool
    # Seconds after which new requests are refused; None uses the grace of the settings.
    grace: float | None = None
