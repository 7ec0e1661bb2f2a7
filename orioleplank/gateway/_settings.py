"""Settings of a gateway."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Who the gateway is and where everything is; addresses are HOST:PORT."""

    # Name of its VM.
    name: str
    # Its availability zone.
    zone: str
    # Where callers connect.
    callers: str
    # Where the balancer asks for readiness.
    readiness: str
    # Where other proxies send their messages.
    peers: str
    # Where metrics are served.
    metrics: str
    # The platform's store.
    store: str
    # The platform's service that promotes instances.
    promotions: str
    # Seconds between a request to end and the kill.
    grace: float
    # Seconds for which an instance goes on serving after it has said that it will end.
    drain: float
