"""A proxy's view of the store, its encoding, and its retrieval by other proxies over HTTP."""

from __future__ import annotations

from collections.abc import Awaitable, Mapping
from dataclasses import asdict, dataclass
from typing import Any, Protocol
from urllib.parse import urlencode

import msgspec
from twisted.web.client import Agent

from orioleplank._exceptions import OrioleplankError
from orioleplank._http_client import NO_RESPONSE_ERRORS, read_response_body, send_request
from orioleplank.decision.group import VersionedGroupRecord
from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.decision.membership import ProxyRecord, ViewVersions

VIEW_PATH = b"view"
# Timeout of a peer's response: several round trips between regions.
VIEW_FETCH_TIMEOUT_S = 0.7


class ViewUnavailableError(OrioleplankError):
    """Another proxy did not respond with a valid view of the store."""


@dataclass(frozen=True, slots=True)
class VersionedProxyRecord:
    """A proxy record with its revision in the store."""

    record: ProxyRecord
    # The store's revision of the latest change of the record.
    revision: int


@dataclass(frozen=True, slots=True)
class StoreView:
    """The store's contents as one proxy knows them, less what the requesting proxy already has."""

    # Seconds since the request for the listing of the records.
    age: float
    # The versions up to which the contents are known.
    versions: ViewVersions
    # Names of all registered proxies.
    names: tuple[str, ...]
    # Proxy records that are newer than the requesting proxy's.
    proxies: tuple[VersionedProxyRecord, ...]
    # Group records that are newer than the requesting proxy's.
    groups: tuple[VersionedGroupRecord, ...]
    # The configuration; None when the requesting proxy has this version.
    routes: RouteTable | None
    # All instances; None when the requesting proxy knows this version.
    instances: tuple[InstanceEntry, ...] | None


_VIEW_DECODER = msgspec.msgpack.Decoder(StoreView)


def parse_known_versions(query: Mapping[bytes, list[bytes]]) -> ViewVersions:
    """Parse the versions that a requesting proxy knows; raise `ValueError` if invalid."""
    fields = {key.decode(): values[0].decode() for key, values in query.items()}
    return msgspec.convert(fields, ViewVersions, strict=False)


def encode_view(view: StoreView) -> bytes:
    """Encode a view for the transfer to another proxy."""
    return msgspec.msgpack.encode(view)


def decode_view(data: bytes) -> StoreView:
    """Decode a view; raise `ValueError` when it is invalid."""
    try:
        return _VIEW_DECODER.decode(data)
    except RecursionError as error:
        raise ValueError("the view is nested too deeply") from error


class ViewFetcher(Protocol):
    """Fetches the views of other proxies."""

    def fetch(self, address: str, known: ViewVersions) -> Awaitable[StoreView]:
        """Return what the proxy at HOST:PORT knows beyond `known`; raise `ViewUnavailableError`."""


class HttpViewFetcher:
    """Fetches the views of other proxies over HTTP."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._agent: Any = Agent(reactor, connectTimeout=VIEW_FETCH_TIMEOUT_S)

    async def fetch(self, address: str, known: ViewVersions) -> StoreView:
        """Return what the proxy at HOST:PORT knows beyond `known`; raise `ViewUnavailableError`."""
        try:
            url = f"http://{address}/{VIEW_PATH.decode()}?{urlencode(asdict(known))}"
            response = await send_request(
                self._reactor, self._agent, "GET", url, VIEW_FETCH_TIMEOUT_S
            )
            body = await read_response_body(self._reactor, response, VIEW_FETCH_TIMEOUT_S)
            if response.code == 200:
                return decode_view(body)
        except (*NO_RESPONSE_ERRORS, ValueError) as error:
            raise ViewUnavailableError("fetch view", address, type(error).__name__) from error
        raise ViewUnavailableError("fetch view", address, f"code {response.code}")
