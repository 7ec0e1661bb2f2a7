"""Client of the platform's promotion service, which makes an instance the primary of its group."""

from __future__ import annotations

import json
from typing import Any

from twisted.web.client import Agent

from orioleplank._http_client import NO_RESPONSE_ERRORS, send_request
from orioleplank.gateway import StoreUnavailableError

# Timeout for the request, after which its connection is closed.
CALL_TIMEOUT_S = 1.0


class PromotionClient:
    """Requests promotions; implements the gateway's `PromotionService`."""

    def __init__(self, reactor: Any, address: str, holder: str) -> None:
        self._url = f"http://{address}/failover"
        self._address = address
        self._holder = holder
        self._reactor = reactor
        # Without a pool, each request has its own connection, which is closed on a timeout.
        self._agent: Any = Agent(reactor, connectTimeout=CALL_TIMEOUT_S)

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
            response = await send_request(
                self._reactor, self._agent, "POST", self._url, CALL_TIMEOUT_S, headers, body
            )
        except NO_RESPONSE_ERRORS as error:
            detail = type(error).__name__
            raise StoreUnavailableError("order promotion", self._address, detail) from error
        if response.code == 409:
            return False
        if response.code != 200:
            raise StoreUnavailableError("order promotion", self._address, f"code {response.code}")
        return True
