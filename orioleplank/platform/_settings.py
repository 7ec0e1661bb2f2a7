"""The platform's settings file."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import msgspec

from orioleplank._exceptions import SettingsError
from orioleplank.gateway import GatewaySettings

# Variable that holds the path of the file.
PATH_VARIABLE = "ORIOLEPLANK_SETTINGS"
_Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
_Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Listen(msgspec.Struct, frozen=True):
    front: _Address
    ready: _Address


class _Endpoint(msgspec.Struct, frozen=True):
    address: _Address


class _Bounds(msgspec.Struct, frozen=True):
    # Seconds between the request to end and the kill.
    graceS: _Positive = 6.0  # noqa: N815
    # Milliseconds for which an instance serves after it has said that it will end.
    drainMs: _Positive = 7000.0  # noqa: N815


class _Boot(msgspec.Struct, frozen=True):
    nodeName: str  # noqa: N815
    ip: str
    zone: str
    listen: _Listen
    # First and last port between the system's own processes.
    internalPorts: tuple[int, int]  # noqa: N815
    platform: _Endpoint
    # Where promotions are ordered.
    cloud: _Endpoint
    bounds: _Bounds = _Bounds()


def load_settings() -> GatewaySettings:
    """Read the file that the platform names; raise `SettingsError` when it is not valid."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError("read settings", "", f"{PATH_VARIABLE} is not set")
    try:
        boot = msgspec.json.decode(Path(path).read_bytes(), type=_Boot)
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError("read settings", path, str(error)) from error
    first = boot.internalPorts[0]
    return GatewaySettings(
        name=boot.nodeName,
        zone=boot.zone,
        caller_address=boot.listen.front,
        readiness_address=boot.listen.ready,
        peer_address=f"{boot.ip}:{first}",
        metrics_address=f"{boot.ip}:{first + 1}",
        store_address=boot.platform.address,
        promotion_service_address=boot.cloud.address,
        shutdown_grace=boot.bounds.graceS,
        instance_drain_time=boot.bounds.drainMs / 1000,
    )
