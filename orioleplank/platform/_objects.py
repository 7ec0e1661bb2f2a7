"""Strict parsing of objects from the platform's store into the proxy's types.

An invalid object is treated as absent; it does not affect the other objects.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Struct

from orioleplank.decision import build_revision
from orioleplank.decision.accounts import AccountTable, ClientAccount, RateLimit
from orioleplank.decision.instances import (
    DEFAULT_TRANSACTION_IDLE_S,
    Consistency,
    DbRole,
    InstanceEntry,
    InstanceState,
    Route,
    RouteTable,
    ServiceLimits,
)
from orioleplank.gateway import StoredRecord
from orioleplank.platform._codec import parse_number

# Name of the only object that holds the configuration.
ROUTES_NAME = "main"
# Numbers from outside are bounded, so that they can be passed on to other proxies and added to.
MAX_COUNT = (1 << 53) - 1
MAX_MILLISECONDS = 1e12
# Lone surrogates are valid in JSON, but cannot be encoded.
_Text = Annotated[str, msgspec.Meta(pattern=r"\A[^\ud800-\udfff]+\Z")]
# A name that is sent to instances and other proxies as one word of a line.
_Name = Annotated[str, msgspec.Meta(pattern=r"\A[!-~]{1,200}\Z")]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
_Priority = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
_MAX_PORT = 65535


class RawObject(Struct, frozen=True):
    """An object as returned by the store, with its content not validated."""

    name: str
    # Revision of the last change of the object, in the era in which it was read.
    revision: int
    # Content of the object; any JSON value.
    spec: object

    @classmethod
    def parse(cls, value: object, era: int) -> RawObject | None:
        """Parse an object read in `era`; return `None` if it has no valid name or revision."""
        meta = value.get("meta") if isinstance(value, Mapping) else None
        if not isinstance(value, Mapping) or not isinstance(meta, Mapping):
            return None
        name, revision = meta.get("name"), meta.get("revision")
        if not isinstance(name, str) or not isinstance(revision, int):
            return None
        try:
            return cls(name, build_revision(era, revision), value.get("spec"))
        except ValueError:
            return None


class _WireInstance(msgspec.Struct, frozen=True):
    service: _Name
    # IPv4 address and port, HOST:PORT.
    address: str
    zone: _Name
    # Maximum number of concurrent statements.
    capacity: _PositiveInt
    state: Literal["ready", "draining"]
    dbRole: Literal["primary", "replica"]  # noqa: N815
    # Start time of the instance in Unix milliseconds.
    born: _Count = 0


class _WireRoute(msgspec.Struct, frozen=True):
    # Name of the database as given by callers.
    host: _Text
    type: Literal["primary", "bounded_staleness", "read_your_writes"]
    service: _Name
    timeoutMs: _Milliseconds = 1000.0  # noqa: N815
    maxStalenessMs: _Milliseconds = 0.0  # noqa: N815
    priority: _Priority = 0
    public: bool = False


class _WireAccount(msgspec.Struct, frozen=True):
    name: _Name
    apiKeys: list[str]  # noqa: N815
    priority: _Priority = 0
    ratePerS: _Rate | None = None  # noqa: N815
    burst: _Rate | None = None


class _WireService(msgspec.Struct, frozen=True):
    name: _Name
    maxConns: _PositiveInt = 1000  # noqa: N815
    syncReplicas: _Count = 0  # noqa: N815


class _WireLimits(msgspec.Struct, frozen=True):
    txIdleMs: _Milliseconds | None = None  # noqa: N815


class _WireRoutes(msgspec.Struct, frozen=True):
    version: _Count
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = _WireLimits()
    # Each account is parsed separately, so that an invalid one does not affect the others.
    tenants: list[Any] | None = None


_CONSISTENCY = MappingProxyType(
    {
        "primary": Consistency.PRIMARY,
        "bounded_staleness": Consistency.BOUNDED_STALENESS,
        "read_your_writes": Consistency.READ_YOUR_WRITES,
    }
)


def _convert(value: object, kind: Any) -> Any:
    """Return a value as an object of a type; return `None` if it is invalid."""
    try:
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, UnicodeEncodeError, OverflowError, RecursionError):
        return None


def parse_instance(raw: RawObject) -> InstanceEntry | None:
    """Parse the entry of an instance; return `None` if it is invalid."""
    wire, name = _convert(raw.spec, _WireInstance), _convert(raw.name, _Name)
    if wire is None or name is None or not _is_dialable(wire.address):
        return None
    return InstanceEntry(
        name,
        wire.service,
        wire.address,
        wire.zone,
        InstanceState(wire.state),
        DbRole(wire.dbRole),
        wire.capacity,
        wire.born,
    )


def _is_dialable(address: str) -> bool:
    """Return whether an address is that of a TCP port at a host on the network."""
    host, _, port_text = address.rpartition(":")
    port = parse_number(port_text)
    try:
        is_host = not (ip := IPv4Address(host)).is_multicast and int(ip) != 0
    except ValueError:
        return False
    return is_host and port is not None and 0 < port <= _MAX_PORT


def parse_routes(
    raw: RawObject, report: Callable[[str], None] = lambda detail: None
) -> RouteTable | None:
    """Parse the configuration; return `None` if it is invalid or `raw` is another object.

    `report` is called with a description of each account that cannot be used, without its keys.
    """
    if raw.name != ROUTES_NAME:
        return None
    wire = _convert(raw.spec, _WireRoutes)
    if wire is None:
        return None
    idle_ms = wire.limits.txIdleMs
    return RouteTable(
        wire.version,
        {route.host: _convert_route(route) for route in wire.routes},
        {s.name: ServiceLimits(s.maxConns, s.syncReplicas) for s in wire.services},
        DEFAULT_TRANSACTION_IDLE_S if idle_ms is None else idle_ms / 1000,
        None if wire.tenants is None else _convert_accounts(wire.tenants, report),
    )


def _convert_accounts(values: Sequence[object], report: Callable[[str], None]) -> AccountTable:
    """Return the valid accounts; a key that several of them have belongs to none."""
    owners: dict[str, list[ClientAccount]] = {}
    for number, value in enumerate(values, 1):
        wire = _convert(value, _WireAccount)
        if wire is None:
            report(f"account {number} of {len(values)}")
            continue
        account = ClientAccount(wire.name, wire.priority, _convert_limit(wire))
        for key in dict.fromkeys(wire.apiKeys):
            owners.setdefault(key, []).append(account)
    for names in {tuple(sorted(a.name for a in found)) for found in owners.values()}:
        if len(names) > 1:
            report(f"accounts with a common key: {', '.join(names)}")
    return AccountTable({key: found[0] for key, found in owners.items() if len(found) == 1})


def _convert_limit(wire: _WireAccount) -> RateLimit | None:
    if wire.ratePerS is None:
        return None
    return RateLimit(wire.ratePerS, wire.ratePerS if wire.burst is None else wire.burst)


def _convert_route(wire: _WireRoute) -> Route:
    return Route(
        wire.host,
        _CONSISTENCY[wire.type],
        wire.service,
        wire.timeoutMs / 1000,
        wire.maxStalenessMs / 1000,
        wire.priority,
        wire.public,
    )


def parse_record(raw: RawObject) -> StoredRecord | None:
    """Parse a record of the proxies; return `None` if its content is not a mapping.

    The gateway validates the content, and other proxies receive what it has found valid; so one
    that cannot be encoded is not.
    """
    if not isinstance(raw.spec, Mapping):
        return None
    try:
        msgspec.msgpack.encode((raw.name, raw.spec))
    except (OverflowError, UnicodeEncodeError, RecursionError):
        return None
    return StoredRecord(raw.name, raw.revision, raw.spec)
