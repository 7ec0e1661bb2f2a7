"""The product's own records in the store, and their checked form."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from orioleplank.decision.group import GroupRecord, SeenRecord
from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._ports import StoredRecord

GROUP_PREFIX = "group."
PROXY_PREFIX = "proxy."


def name_group(service: str) -> str:
    """Return the name of a group's record."""
    return f"{GROUP_PREFIX}{service}"


def name_proxy(proxy: str) -> str:
    """Return the name of a proxy's record."""
    return f"{PROXY_PREFIX}{proxy}"


def dump_group(record: GroupRecord) -> Mapping[str, object]:
    """Return the stored form of a group's record."""
    return _dump(record)


def dump_proxy(record: ProxyRecord) -> Mapping[str, object]:
    """Return the stored form of a proxy's record."""
    return _dump(record)


def _dump(record: GroupRecord | ProxyRecord) -> Mapping[str, object]:
    fields: dict[str, Any] = msgspec.to_builtins(record)
    return fields


def read_group(stored: StoredRecord) -> SeenRecord | None:
    """Read a group's record; None for another record, or one that is not valid."""
    if not stored.name.startswith(GROUP_PREFIX):
        return None
    try:
        record = msgspec.convert(stored.content, GroupRecord)
    except msgspec.ValidationError:
        return None
    return SeenRecord(record, stored.revision)


def read_proxy(stored: StoredRecord) -> ProxyRecord | None:
    """Read a proxy's record; None for another record, or one that is not valid."""
    if not stored.name.startswith(PROXY_PREFIX):
        return None
    try:
        return msgspec.convert(stored.content, ProxyRecord)
    except msgspec.ValidationError:
        return None
