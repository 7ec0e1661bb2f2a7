"""The platform's call that names a group's next primary."""

from __future__ import annotations

import json
from typing import Any

from twisted.web.client import Agent

from orioleplank._http_client import NO_RESPONSE_ERRORS, send_request
from orioleplank.gateway import StoreUnavailableError

# Time for the call, in seconds; then its connection is cut.
CALL_LIMIT_S = 1.0


class PromotionClient:
    """Orders promotions; implements the gateway's `PromotionService`."""

    def __init__(self, reactor: Any, address: str, holder: str) -> None:
        self._url = f"http://{address}/failover"
        self._address = address
        self._holder = holder
        self._reactor = reactor
        # Without a pool each call has a connection of its own, which a time-out cuts.
        self._agent: Any = Agent(reactor, connectTimeout=CALL_LIMIT_S)

    async def request_promotion(self, service: str, instance: str, token: int) -> bool:
        """Order a promotion under a fencing token; False when that instance cannot take over.

        Raise `StoreUnavailableError` when the outcome is not known; the connection is cut then, so
        that the call cannot take effect later.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Orioleplank-Lease-Holder": self._holder,
            "X-Orioleplank-Fencing-Token": str(token),
        }
        body = json.dumps({"service": service, "id": instance}).encode()
        try:
            response = await send_request(
                self._reactor, self._agent, "POST", self._url, CALL_LIMIT_S, headers, body
            )
        except NO_RESPONSE_ERRORS as error:
            detail = type(error).__name__
            raise StoreUnavailableError("order promotion", self._address, detail) from error
        if response.code == 409:
            return False
        if response.code != 200:
            raise StoreUnavailableError("order promotion", self._address, f"code {response.code}")
        return True
