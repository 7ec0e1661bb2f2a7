"""The settings of one proxy."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from orioleplank.settings._document import read_documents, validate_document

_STRICT = ConfigDict(extra="forbid")
Address = Annotated[str, Field(pattern=r"^[0-9A-Za-z.\-\[\]:]+:[0-9]{1,5}$")]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
PositiveSeconds = Annotated[float, Field(gt=0, le=3600)]


@dataclass(frozen=True, config=_STRICT)
class ProxySettings:
    """Who the proxy is and where it listens."""

    # Name, unique among the proxies; the name of its VM.
    name: Name
    # Availability zone.
    zone: Name
    # HOST:PORT for callers.
    callers: Address
    # HOST:PORT for other proxies.
    peers: Address
    # HOST:PORT for operators, readiness and metrics.
    admin: Address


@dataclass(frozen=True, config=_STRICT)
class PlatformSettings:
    """Where the platform's object service is."""

    # HOST:PORT.
    address: Address
    # Seconds between readings of the list of VMs.
    vm_list_period: PositiveSeconds = 1.0
    # Seconds that a watch waits for a change.
    watch_wait: PositiveSeconds = 10.0


@dataclass(frozen=True, config=_STRICT)
class LimitSettings:
    """What one proxy accepts."""

    # Largest message of a caller, in bytes.
    message_bytes: Annotated[int, Field(ge=1024, le=64 * 1024 * 1024)] = 1024 * 1024
    # Replies that may wait for one caller before its requests are no longer read.
    replies_per_caller: Annotated[int, Field(ge=1, le=100_000)] = 1000
    # Deadline of a request that states none, in seconds.
    default_timeout: PositiveSeconds = 5.0


@dataclass(frozen=True, config=_STRICT)
class LogSettings:
    """What is logged."""

    # Least level.
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True, config=_STRICT)
class StopSettings:
    """How the proxy stops."""

    # Seconds for which requests are still served after a stop is asked for.
    grace: PositiveSeconds = 10.0


@dataclass(frozen=True, config=_STRICT)
class Settings:
    """All settings of one proxy."""

    # Who the proxy is.
    proxy: ProxySettings
    # Where the platform is.
    platform: PlatformSettings
    # What it accepts.
    limits: LimitSettings = LimitSettings()
    # What it logs.
    log: LogSettings = LogSettings()
    # How it stops.
    stop: StopSettings = StopSettings()


def load_settings(path: Path) -> Settings:
    """Read settings from a file; raise `InvalidDocumentError` when they are not valid."""
    document = read_documents(path)[0]
    return validate_document(document, Settings)
