"""Client of the platform's promotion service, which makes an instance the primary of its group."""

from __future__ import annotations

import json
from typing import Any

from orioleplank.gateway import StoreUnavailableError
from orioleplank.http import HttpClient, NoResponseError, Request

# Timeout for the request, after which its connection is closed.
CALL_TIMEOUT_S = 1.0
PATH = "/failover"


class PromotionClient:
    """Requests promotions; implements the gateway's `PromotionService`."""

    def __init__(self, reactor: Any, address: str, holder: str) -> None:
        self._address = address
        self._holder = holder
        # Each request has its own connection, which is closed on a timeout.
        self._http = HttpClient(reactor, address, CALL_TIMEOUT_S, CALL_TIMEOUT_S)

    async def request_promotion(self, service: str, instance: str, token: int) -> bool:
        """Request a promotion with a fencing token; return False if the instance cannot take over.

        Raises `StoreUnavailableError` if the outcome is unknown. In this case the connection is
        closed, so that the request cannot take effect later.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Orioleplank-Lease-Holder": self._holder,
            "X-Orioleplank-Fencing-Token": str(token),
        }
        body = json.dumps({"service": service, "id": instance}).encode()
        try:
            response = await self._http.send(Request("POST", PATH, headers, body), CALL_TIMEOUT_S)
        except NoResponseError as error:
            raise StoreUnavailableError("order promotion", self._address, error.detail) from error
        if response.status == 409:
            return False
        if response.status != 200:
            detail = f"code {response.status}"
            raise StoreUnavailableError("order promotion", self._address, detail)
        return True
