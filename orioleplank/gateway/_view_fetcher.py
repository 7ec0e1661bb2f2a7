"""Fetches the views of other proxies over HTTP."""

from __future__ import annotations

from typing import Any
from urllib.parse import urlencode

from msgspec.structs import asdict

from orioleplank.decision.membership import ViewVersions
from orioleplank.gateway._store_view import (
    VIEW_PATH,
    FetchedView,
    ViewUnavailableError,
)
from orioleplank.gateway._transfer import Transfer
from orioleplank.gateway._view_codec import decode_view
from orioleplank.http import HttpClient, NoResponseError, Request

# Time for a peer's response to begin: several round trips between regions.
VIEW_FETCH_TIMEOUT_S = 0.7
# Time without a further part of a response that has begun; the links between may be full.
VIEW_SILENCE_TIMEOUT_S = 1.0


class HttpViewFetcher:
    """Fetches the views of other proxies over HTTP."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    async def fetch(self, address: str, known: ViewVersions) -> FetchedView:
        """Return what the proxy at HOST:PORT knows beyond `known`; raise `ViewUnavailableError`."""
        try:
            request = Request("GET", f"{VIEW_PATH}?{urlencode(asdict(known))}")
            client = HttpClient(
                self._reactor, address, VIEW_FETCH_TIMEOUT_S, VIEW_SILENCE_TIMEOUT_S
            )
            response = await client.send(request, VIEW_FETCH_TIMEOUT_S)
            if response.status == 200:
                transfer = Transfer(len(response.body), response.transfer_seconds)
                return FetchedView(decode_view(response.body), transfer)
        except NoResponseError as error:
            raise ViewUnavailableError("fetch view", address, error.description) from error
        except ValueError as error:
            raise ViewUnavailableError("fetch view", address, "the view is not valid") from error
        raise ViewUnavailableError("fetch view", address, f"code {response.status}")
