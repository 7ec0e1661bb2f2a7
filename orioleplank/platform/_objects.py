"""Objects of the platform's store, read strictly into the product's types.

An entry that cannot be read names nothing; the others hold.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Annotated, Literal

import msgspec

from orioleplank.decision.instances import (
    UNLIMITED_IDLE_S,
    Consistency,
    DbRole,
    InstanceEntry,
    InstanceState,
    Route,
    RouteTable,
    ServiceLimits,
)
from orioleplank.gateway import StoredRecord

# Name of the one object that holds the configuration.
ROUTES_NAME = "main"
_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Positive = Annotated[int, msgspec.Meta(ge=1)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class RawObject:
    """An object as the store shows it."""

    # Its name.
    name: str
    # Revision of its last change.
    revision: int
    # What its writer says.
    spec: object

    @classmethod
    def parse(cls, value: object) -> RawObject | None:
        """Read an object; None when it has no name or revision."""
        meta = value.get("meta") if isinstance(value, Mapping) else None
        if not isinstance(value, Mapping) or not isinstance(meta, Mapping):
            return None
        name, revision = meta.get("name"), meta.get("revision")
        if not isinstance(name, str) or not isinstance(revision, int):
            return None
        return cls(name, revision, value.get("spec"))


class _WireInstance(msgspec.Struct, frozen=True):
    service: _Text
    address: _Address
    zone: _Text
    # Statements that it runs at once.
    capacity: _Positive
    state: Literal["ready", "draining"]
    dbRole: Literal["primary", "replica"]  # noqa: N815
    # Unix milliseconds of its start.
    born: _Count = 0


class _WireRoute(msgspec.Struct, frozen=True):
    # The database's name as callers give it.
    host: _Text
    type: Literal["primary", "bounded_staleness", "read_your_writes"]
    service: _Text
    timeoutMs: _Milliseconds = 1000.0  # noqa: N815
    maxStalenessMs: _Milliseconds = 0.0  # noqa: N815
    priority: int = 0


class _WireService(msgspec.Struct, frozen=True):
    name: _Text
    maxConns: _Positive = 1000  # noqa: N815
    syncReplicas: _Count = 0  # noqa: N815


class _WireLimits(msgspec.Struct, frozen=True):
    txIdleMs: _Milliseconds | None = None  # noqa: N815


class _WireRoutes(msgspec.Struct, frozen=True):
    version: _Count
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = _WireLimits()


_CONSISTENCY = MappingProxyType(
    {
        "primary": Consistency.PRIMARY,
        "bounded_staleness": Consistency.BOUNDED_STALENESS,
        "read_your_writes": Consistency.READ_YOUR_WRITES,
    }
)


def parse_instance(raw: RawObject) -> InstanceEntry | None:
    """Read an instance's entry; None when it cannot be read."""
    try:
        wire = msgspec.convert(raw.spec, _WireInstance)
    except msgspec.ValidationError:
        return None
    return InstanceEntry(
        raw.name,
        wire.service,
        wire.address,
        wire.zone,
        InstanceState(wire.state),
        DbRole(wire.dbRole),
        wire.capacity,
        wire.born,
    )


def parse_routes(raw: RawObject) -> RouteTable | None:
    """Read the configuration; None for any other object of its kind."""
    if raw.name != ROUTES_NAME:
        return None
    try:
        wire = msgspec.convert(raw.spec, _WireRoutes)
    except msgspec.ValidationError:
        return None
    idle = wire.limits.txIdleMs
    return RouteTable(
        wire.version,
        {route.host: _read_route(route) for route in wire.routes},
        {s.name: ServiceLimits(s.maxConns, s.syncReplicas) for s in wire.services},
        UNLIMITED_IDLE_S if idle is None else idle / 1000,
    )


def _read_route(wire: _WireRoute) -> Route:
    return Route(
        wire.host,
        _CONSISTENCY[wire.type],
        wire.service,
        wire.timeoutMs / 1000,
        wire.maxStalenessMs / 1000,
        wire.priority,
    )


def parse_record(raw: RawObject) -> StoredRecord | None:
    """Read an object of the product's own kind; its content is checked by the gateway."""
    if not isinstance(raw.spec, Mapping):
        return None
    return StoredRecord(raw.name, raw.revision, raw.spec)
