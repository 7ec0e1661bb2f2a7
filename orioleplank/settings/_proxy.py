"""Settings of one proxy, with the allowed range and the default of each value."""

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
    """Identity and listening addresses of the proxy."""

    # Name of the VM that runs the proxy; unique among the proxies.
    name: Name
    zone: Name
    # Listening HOST:PORT for callers.
    callers: Address
    # Listening HOST:PORT for other proxies.
    peers: Address
    # Listening HOST:PORT for operators, readiness checks and metrics.
    admin: Address


@dataclass(frozen=True, config=_STRICT)
class PlatformSettings:
    """Connection to the platform's object service."""

    # HOST:PORT of the object service.
    address: Address
    # Seconds between requests for the list of VMs.
    vm_list_period: PositiveSeconds = 1.0
    # Seconds that a watch request waits for a change before it returns.
    watch_wait: PositiveSeconds = 10.0


@dataclass(frozen=True, config=_STRICT)
class LimitSettings:
    """Limits on the requests of callers."""

    # Maximum size of a message from a caller.
    message_bytes: Annotated[int, Field(ge=1024, le=64 * 1024 * 1024)] = 1024 * 1024
    # Pending replies of one caller above which its requests are no longer read (back-pressure).
    replies_per_caller: Annotated[int, Field(ge=1, le=100_000)] = 1000
    # Timeout in seconds for requests that do not set one.
    default_timeout: PositiveSeconds = 5.0


@dataclass(frozen=True, config=_STRICT)
class LogSettings:
    """Settings of the log."""

    # Minimum level of the messages that are logged.
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True, config=_STRICT)
class StopSettings:
    """Settings of the shutdown."""

    # Seconds for which requests are still served after the proxy is asked to stop.
    grace: PositiveSeconds = 10.0


@dataclass(frozen=True, config=_STRICT)
class Settings:
    """All settings of one proxy; only `proxy` and `platform` are required."""

    proxy: ProxySettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    log: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()


def load_settings(path: Path) -> Settings:
    """Read settings from a YAML file; raise `InvalidDocumentError` if they are invalid."""
    document = read_documents(path)[0]
    return validate_document(document, Settings)
