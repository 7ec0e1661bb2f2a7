"""Steps that stories of a site share."""

from __future__ import annotations

from orioleplank.decision.session import FailureCode, Reply, Write
from orioleplank.tests._gateway_cluster import GatewayCluster, SimulatedCaller

START_S = 3.0


def start_cluster(seed: int = 1, proxies: int = 3) -> GatewayCluster:
    """Return a site whose proxies are ready."""
    site = GatewayCluster(seed, proxies)
    site.run_for(START_S)
    return site


def failure_code(reply: Reply) -> FailureCode | None:
    """Return why a request failed; None when it succeeded."""
    return reply.failure.code if reply.failure else None


def keep_writing(
    site: GatewayCluster, caller: SimulatedCaller, on_success: object = None, gap: float = 0.05
) -> None:
    """Let a caller write again and again, each after the answer before."""

    def take(reply: Reply) -> None:
        if reply.failure is None and callable(on_success):
            on_success(reply)
        site.simulator.call_later(gap, again)

    def again() -> None:
        if not caller.is_closed:
            site.send_request(caller, Write(f"w{len(caller.replies)} x"))

    caller.on_reply = take
    again()
