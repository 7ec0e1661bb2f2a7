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
    caller_address: str
    # Where the balancer asks for readiness.
    readiness_address: str
    # Where other proxies send their messages.
    peer_address: str
    # Where metrics are served.
    metrics_address: str
    # The platform's store.
    store_address: str
    # The platform's service that promotes instances.
    promotion_service_address: str
    # Seconds between a request to end and the kill.
    shutdown_grace: float
    # Seconds for which an instance goes on serving after it has said that it will end.
    instance_drain_time: float
