"""Settings of one proxy, as the platform determines them."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.intake import CallerLimits
from orioleplank.decision.mechanisms import ALL_ON, MechanismSwitches


class GatewaySettings(Struct, frozen=True):
    """Identity, addresses and time limits of one proxy; addresses are HOST:PORT."""

    # Name of the VM that it runs on.
    name: str
    # Availability zone of the VM.
    zone: str
    # Where callers connect.
    caller_address: str
    # Where the load balancer checks readiness.
    readiness_address: str
    # Where other proxies send their messages.
    peer_address: str
    # Where metrics are served.
    metrics_address: str
    store_address: str
    promotion_service_address: str
    # Seconds from the request to stop until the process is killed.
    shutdown_grace: float
    # Seconds for which an instance still serves after it has announced its shutdown.
    instance_drain_time: float
    # Bandwidth of the VM's link in Mbit/s; 0 if it is not known.
    link_mbps: float = 0.0
    mechanisms: MechanismSwitches = ALL_ON
    # Limits on what callers, peers and instances can make the process keep.
    caller_limits: CallerLimits = CallerLimits()
