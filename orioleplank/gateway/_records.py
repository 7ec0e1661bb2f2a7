"""Conversion of group records and proxy records to and from their stored form."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

import msgspec

from orioleplank.decision.group import GroupRecord, VersionedGroupRecord
from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._interfaces import StoredRecord

# HOST:PORT, with a port that leaves room for the offsets of channels and tunnels.
_ADDRESS = re.compile(r"[0-9.]{7,15}:(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3})")
GROUP_PREFIX = "group."
PROXY_PREFIX = "proxy."


def group_record_name(service: str) -> str:
    """Return the name of the store object with a service's group record."""
    return f"{GROUP_PREFIX}{service}"


def proxy_record_name(proxy: str) -> str:
    """Return the name of the store object with a proxy's record."""
    return f"{PROXY_PREFIX}{proxy}"


def dump_group_record(record: GroupRecord) -> Mapping[str, object]:
    """Return the stored form of a group record."""
    return _dump(record)


def dump_proxy_record(record: ProxyRecord) -> Mapping[str, object]:
    """Return the stored form of a proxy's record."""
    return _dump(record)


def _dump(record: GroupRecord | ProxyRecord) -> Mapping[str, object]:
    fields: dict[str, Any] = msgspec.to_builtins(record)
    return fields


def parse_group_record(stored: StoredRecord) -> VersionedGroupRecord | None:
    """Parse a group record; None when the object is of another kind or invalid."""
    if not stored.name.startswith(GROUP_PREFIX):
        return None
    try:
        record = msgspec.convert(stored.content, GroupRecord)
    except msgspec.ValidationError:
        return None
    return VersionedGroupRecord(record, stored.revision)


def parse_proxy_record(stored: StoredRecord) -> ProxyRecord | None:
    """Parse a proxy record; None when the object is of another kind or invalid."""
    if not stored.name.startswith(PROXY_PREFIX):
        return None
    try:
        record = msgspec.convert(stored.content, ProxyRecord)
    except msgspec.ValidationError:
        return None
    return record if _ADDRESS.fullmatch(record.address) else None
