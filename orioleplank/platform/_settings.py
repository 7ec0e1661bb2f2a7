"""Settings of a proxy on the platform, read from the JSON file that the platform provides."""

from __future__ import annotations

import os
import resource
from pathlib import Path
from types import MappingProxyType
from typing import Annotated

import msgspec

from orioleplank._exceptions import SettingsError
from orioleplank.decision.intake import SMALLEST_DESCRIPTORS, CallerLimits, derive_limits
from orioleplank.decision.mechanisms import ALL_ON, MechanismSwitches
from orioleplank.gateway import GatewaySettings

# Environment variable that contains the path of the file.
PATH_VARIABLE = "ORIOLEPLANK_SETTINGS"
_Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
_PositiveCount = Annotated[int, msgspec.Meta(gt=0)]
_PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]


# Names of the limits in `CallerLimits`, by their names in the file.
_LIMIT_NAMES = MappingProxyType(
    {
        "processBytes": "process_bytes",
        "connections": "connections",
        "peerChannels": "peer_channels",
        "peerConnections": "peer_connections",
        "aheadBytes": "ahead_bytes",
        "aheadRequests": "ahead_requests",
        "unreadBytes": "unread_bytes",
        "unreadTimeoutS": "unread_timeout",
        "messageTimeoutS": "message_timeout",
        "sessionBytes": "session_bytes",
        "sessionValues": "session_values",
        "sessionStatements": "session_statements",
        "replyBytes": "reply_bytes",
    }
)


class _Listen(msgspec.Struct, frozen=True):
    front: _Address
    ready: _Address


class _Endpoint(msgspec.Struct, frozen=True):
    address: _Address


class _Bounds(msgspec.Struct, frozen=True):
    # Seconds between the signal to stop and the kill of the process.
    graceS: _PositiveNumber = 6.0  # noqa: N815
    # Milliseconds for which an instance still serves after it has announced its shutdown.
    drainMs: _PositiveNumber = 7000.0  # noqa: N815


class _MachineLimits(msgspec.Struct, frozen=True):
    # Memory of the machine.
    memoryMb: _PositiveNumber | None = None  # noqa: N815
    # Descriptors that the process may open.
    maxFds: _PositiveCount | None = None  # noqa: N815
    linkMbps: _PositiveNumber | None = None  # noqa: N815


class _CallerLimits(msgspec.Struct, frozen=True):
    # Each is described in `CallerLimits`; the default of an absent one follows from the machine.
    processBytes: _PositiveCount | None = None  # noqa: N815
    connections: _PositiveCount | None = None
    peerChannels: _PositiveCount | None = None  # noqa: N815
    peerConnections: _PositiveCount | None = None  # noqa: N815
    aheadBytes: _PositiveCount | None = None  # noqa: N815
    aheadRequests: _PositiveCount | None = None  # noqa: N815
    unreadBytes: _PositiveCount | None = None  # noqa: N815
    unreadTimeoutS: _PositiveNumber | None = None  # noqa: N815
    messageTimeoutS: _PositiveNumber | None = None  # noqa: N815
    sessionBytes: _PositiveCount | None = None  # noqa: N815
    sessionValues: _PositiveCount | None = None  # noqa: N815
    sessionStatements: _PositiveCount | None = None  # noqa: N815
    replyBytes: _PositiveCount | None = None  # noqa: N815


class _Boot(msgspec.Struct, frozen=True):
    nodeName: str  # noqa: N815
    ip: str
    zone: str
    listen: _Listen
    # First and last port reserved for connections between proxies, and for metrics.
    internalPorts: tuple[int, int]  # noqa: N815
    platform: _Endpoint
    # Promotion service.
    cloud: _Endpoint
    bounds: _Bounds = _Bounds()
    limits: _MachineLimits = _MachineLimits()
    callerLimits: _CallerLimits = _CallerLimits()  # noqa: N815


def load_settings(mechanisms: MechanismSwitches = ALL_ON) -> GatewaySettings:
    """Read the settings file of the platform; raise `SettingsError` if it is missing or invalid."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError("read settings", "", f"{PATH_VARIABLE} is not set")
    try:
        boot = msgspec.json.decode(Path(path).read_bytes(), type=_Boot)
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError("read settings", path, str(error)) from error
    first_port = boot.internalPorts[0]
    return GatewaySettings(
        name=boot.nodeName,
        zone=boot.zone,
        caller_address=boot.listen.front,
        readiness_address=boot.listen.ready,
        peer_address=f"{boot.ip}:{first_port}",
        metrics_address=f"{boot.ip}:{first_port + 1}",
        store_address=boot.platform.address,
        promotion_service_address=boot.cloud.address,
        shutdown_grace=boot.bounds.graceS,
        instance_drain_time=boot.bounds.drainMs / 1000,
        link_mbps=boot.limits.linkMbps or 0.0,
        mechanisms=mechanisms,
        caller_limits=_build_limits(boot),
    )


def _build_limits(boot: _Boot) -> CallerLimits:
    """Return the limits that follow from the machine, with those that are stated in their place."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    machine = boot.limits
    descriptors = min(machine.maxFds or SMALLEST_DESCRIPTORS, soft_limit)
    derived = derive_limits(machine.memoryMb, descriptors)
    stated = {
        _LIMIT_NAMES[name]: value
        for name, value in msgspec.structs.asdict(boot.callerLimits).items()
        if value is not None
    }
    return msgspec.structs.replace(derived, **stated)
