"""The platform's settings file."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as checked_dataclass

from orioleplank._exceptions import SettingsError
from orioleplank.gateway import GatewaySettings

# Variable that holds the path of the file.
PATH_VARIABLE = "ORIOLEPLANK_SETTINGS"
_LENIENT = ConfigDict(extra="ignore")
_Address = Annotated[str, Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


@checked_dataclass(frozen=True, config=_LENIENT)
class _Listen:
    front: _Address
    ready: _Address


@checked_dataclass(frozen=True, config=_LENIENT)
class _Endpoint:
    address: _Address


@checked_dataclass(frozen=True, config=_LENIENT)
class _Bounds:
    # Seconds between the request to end and the kill.
    graceS: Annotated[float, Field(gt=0)] = 6.0  # noqa: N815
    # Milliseconds for which an instance serves after it has said that it will end.
    drainMs: Annotated[float, Field(gt=0)] = 7000.0  # noqa: N815


@checked_dataclass(frozen=True, config=_LENIENT)
class _Boot:
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


_BOOT = TypeAdapter(_Boot)


def load_settings() -> GatewaySettings:
    """Read the file that the platform names; raise `SettingsError` when it is not valid."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError("read settings", "", f"{PATH_VARIABLE} is not set")
    try:
        boot = _BOOT.validate_json(Path(path).read_bytes())
    except (OSError, ValidationError) as error:
        raise SettingsError("read settings", path, str(error)) from error
    first = boot.internalPorts[0]
    return GatewaySettings(
        name=boot.nodeName,
        zone=boot.zone,
        callers=boot.listen.front,
        readiness=boot.listen.ready,
        peers=f"{boot.ip}:{first}",
        metrics=f"{boot.ip}:{first + 1}",
        store=boot.platform.address,
        promotions=boot.cloud.address,
        grace=boot.bounds.graceS,
        drain=boot.bounds.drainMs / 1000,
    )
