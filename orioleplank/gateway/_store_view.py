"""One proxy's view of the store, and how another proxy fetches it."""

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
# Time for a peer's answer, in seconds: several round trips between regions.
ASK_LIMIT_S = 0.7


class ViewUnavailableError(OrioleplankError):
    """Another proxy gave no view of the store."""


@dataclass(frozen=True, slots=True)
class VersionedProxyRecord:
    """A proxy's record with the revision at which it was seen."""

    # The record.
    record: ProxyRecord
    # The store's revision of its last change.
    revision: int


@dataclass(frozen=True, slots=True)
class StoreView:
    """What one proxy knows from the store, without what the asker knows already."""

    # Seconds since the listing of the records was asked for.
    age: float
    # How new it is.
    versions: ViewVersions
    # Names of all registered proxies.
    names: tuple[str, ...]
    # The proxies' records that are newer than the asker's.
    proxies: tuple[VersionedProxyRecord, ...]
    # The groups' records that are newer than the asker's.
    groups: tuple[VersionedGroupRecord, ...]
    # The configuration; None when the asker has it.
    routes: RouteTable | None
    # The instances; None when the asker knows them.
    instances: tuple[InstanceEntry, ...] | None


_VIEW = msgspec.msgpack.Decoder(StoreView)


def parse_known_versions(query: Mapping[bytes, list[bytes]]) -> ViewVersions:
    """Read what an asker knows from its query; raise `ValueError` when it is not valid."""
    fields = {key.decode(): values[0].decode() for key, values in query.items()}
    return msgspec.convert(fields, ViewVersions, strict=False)


def encode_view(view: StoreView) -> bytes:
    """Return the form of a view between proxies."""
    return msgspec.msgpack.encode(view)


def decode_view(data: bytes) -> StoreView:
    """Read a view; raise `ValueError` when it is not valid."""
    try:
        return _VIEW.decode(data)
    except RecursionError as error:
        raise ValueError("the view is nested too deeply") from error


class ViewFetcher(Protocol):
    """Fetches other proxies' views."""

    def fetch(self, address: str, known: ViewVersions) -> Awaitable[StoreView]:
        """Return what the proxy at HOST:PORT knows beyond `known`; raise `ViewUnavailableError`."""


class HttpViewFetcher:
    """Fetches views over HTTP."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._agent: Any = Agent(reactor, connectTimeout=ASK_LIMIT_S)

    async def fetch(self, address: str, known: ViewVersions) -> StoreView:
        """Return what the proxy at HOST:PORT knows beyond `known`; raise `ViewUnavailableError`."""
        try:
            url = f"http://{address}/{VIEW_PATH.decode()}?{urlencode(asdict(known))}"
            response = await send_request(self._reactor, self._agent, "GET", url, ASK_LIMIT_S)
            body = await read_response_body(self._reactor, response, ASK_LIMIT_S)
            if response.code == 200:
                return decode_view(body)
        except (*NO_RESPONSE_ERRORS, ValueError) as error:
            raise ViewUnavailableError("fetch view", address, type(error).__name__) from error
        raise ViewUnavailableError("fetch view", address, f"code {response.code}")
