"""Settings of a proxy on the platform, read from the JSON file that the platform provides."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import msgspec

from orioleplank._exceptions import SettingsError
from orioleplank.decision.mechanisms import ALL_ON, MechanismSwitches
from orioleplank.gateway import GatewaySettings

# Environment variable that contains the path of the file.
PATH_VARIABLE = "ORIOLEPLANK_SETTINGS"
_Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
_PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]


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
        mechanisms=mechanisms,
    )
