"""The product's own records in the store, and their checked form."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from orioleplank.decision.group import GroupRecord, VersionedGroupRecord
from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._interfaces import StoredRecord

GROUP_PREFIX = "group."
PROXY_PREFIX = "proxy."


def group_record_name(service: str) -> str:
    """Return the name of a group's record."""
    return f"{GROUP_PREFIX}{service}"


def proxy_record_name(proxy: str) -> str:
    """Return the name of a proxy's record."""
    return f"{PROXY_PREFIX}{proxy}"


def dump_group_record(record: GroupRecord) -> Mapping[str, object]:
    """Return the stored form of a group's record."""
    return _dump(record)


def dump_proxy_record(record: ProxyRecord) -> Mapping[str, object]:
    """Return the stored form of a proxy's record."""
    return _dump(record)


def _dump(record: GroupRecord | ProxyRecord) -> Mapping[str, object]:
    fields: dict[str, Any] = msgspec.to_builtins(record)
    return fields


def parse_group_record(stored: StoredRecord) -> VersionedGroupRecord | None:
    """Read a group's record; None for another record, or one that is not valid."""
    if not stored.name.startswith(GROUP_PREFIX):
        return None
    try:
        record = msgspec.convert(stored.content, GroupRecord)
    except msgspec.ValidationError:
        return None
    return VersionedGroupRecord(record, stored.revision)


def parse_proxy_record(stored: StoredRecord) -> ProxyRecord | None:
    """Read a proxy's record; None for another record, or one that is not valid."""
    if not stored.name.startswith(PROXY_PREFIX):
        return None
    try:
        return msgspec.convert(stored.content, ProxyRecord)
    except msgspec.ValidationError:
        return None
