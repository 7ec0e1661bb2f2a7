"""One proxy's view of the store, and how another proxy fetches it."""

from __future__ import annotations

from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Any, Protocol

import treq
from pydantic import TypeAdapter, ValidationError
from twisted.web.client import Agent

from orioleplank._calls import UNANSWERED
from orioleplank._exceptions import OrioleplankError
from orioleplank.decision.group import SeenRecord
from orioleplank.decision.instances import InstanceEntry, RouteTable
from orioleplank.decision.membership import ProxyRecord

PATH = b"view"
# Time for a peer's answer, in seconds: several round trips between regions.
ASK_LIMIT_S = 0.7


class ViewUnavailableError(OrioleplankError):
    """Another proxy gave no view of the store."""


@dataclass(frozen=True, slots=True)
class StoreView:
    """What one proxy knows from the store."""

    # Seconds since the listing of the records was asked for.
    age: float
    # The registered proxies.
    proxies: tuple[ProxyRecord, ...]
    # The groups' records.
    groups: tuple[SeenRecord, ...]
    # The configuration.
    routes: RouteTable
    # The instances.
    instances: tuple[InstanceEntry, ...]
    # The store's revision of their listing.
    instances_revision: int


_VIEW = TypeAdapter(StoreView)


def dump_view(view: StoreView) -> bytes:
    """Return the form of a view between proxies."""
    return _VIEW.dump_json(view)


class Views(Protocol):
    """Fetches other proxies' views."""

    def fetch(self, address: str) -> Awaitable[StoreView]:
        """Return the view of the proxy at HOST:PORT; raise `ViewUnavailableError`."""


class HttpViews:
    """Fetches views over HTTP."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._agent: Any = Agent(reactor, connectTimeout=ASK_LIMIT_S)

    async def fetch(self, address: str) -> StoreView:
        """Return the view of the proxy at HOST:PORT; raise `ViewUnavailableError`."""
        try:
            response = await treq.get(
                f"http://{address}/{PATH.decode()}",
                agent=self._agent,
                timeout=ASK_LIMIT_S,
                reactor=self._reactor,
            )
            body = await treq.content(response).addTimeout(ASK_LIMIT_S, self._reactor)
            if response.code == 200:
                return _VIEW.validate_json(body)
        except (*UNANSWERED, ValidationError) as error:
            raise ViewUnavailableError("fetch view", address, type(error).__name__) from error
        raise ViewUnavailableError("fetch view", address, f"code {response.code}")
