"""A proxy's view of the store, as other proxies receive it."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Protocol
from urllib.parse import parse_qsl

import msgspec
from msgspec import Struct

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.group import VersionedGroupRecord
from orioleplank.decision.instances import InstanceChanges, RouteChanges
from orioleplank.decision.membership import ProxyRecord, ViewVersions
from orioleplank.gateway._transfer import Transfer

VIEW_PATH = "/view"


class ViewUnavailableError(OrioleplankError):
    """Another proxy did not respond with a valid view of the store."""


class VersionedProxyRecord(Struct, frozen=True):
    """A proxy record with its revision in the store."""

    record: ProxyRecord
    # The store's revision of the latest change of the record.
    revision: int


class StoreView(Struct, frozen=True):
    """The store's contents as one proxy knows them, less what the requesting proxy already has."""

    # Seconds since the request for the listing of the records.
    age: float
    # The versions up to which the contents are known.
    versions: ViewVersions
    # Names of all registered proxies; None if none has left since what the requesting one knows.
    names: tuple[str, ...] | None
    # Proxy records that are newer than the requesting proxy's.
    proxies: tuple[VersionedProxyRecord, ...]
    # Group records that are newer than the requesting proxy's.
    groups: tuple[VersionedGroupRecord, ...]
    # Changes of the configuration; None when the requesting proxy has this version.
    routes: RouteChanges | None
    # Changes of the instances; None when the requesting proxy knows this version.
    instances: InstanceChanges | None


def parse_known_versions(query: str) -> ViewVersions:
    """Parse the versions that a requesting proxy knows; raise `ValueError` if invalid."""
    return msgspec.convert(dict(parse_qsl(query)), ViewVersions, strict=False)


class FetchedView(Struct, frozen=True):
    """The view of another proxy, and its transfer."""

    view: StoreView
    transfer: Transfer = Transfer()


class ViewFetcher(Protocol):
    """Fetches the views of other proxies."""

    def fetch(self, address: str, known: ViewVersions) -> Awaitable[FetchedView]:
        """Return what the proxy at HOST:PORT knows beyond `known`; raise `ViewUnavailableError`."""
