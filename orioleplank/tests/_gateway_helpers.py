"""Helpers that tests of a gateway cluster share."""

from __future__ import annotations

from orioleplank.decision.session import FailureCode, Reply, Write
from orioleplank.tests._gateway_cluster import GatewayCluster
from orioleplank.tests._simulated_caller import SimulatedCaller

START_S = 3.0


def start_cluster(seed: int = 1, proxies: int = 3) -> GatewayCluster:
    """Return a cluster whose proxies are ready to serve."""
    cluster = GatewayCluster(seed, proxies)
    cluster.run_for(START_S)
    return cluster


def failure_code(reply: Reply) -> FailureCode | None:
    """Return the failure code of a reply; None for a success."""
    return reply.failure.code if reply.failure else None


def keep_writing(
    cluster: GatewayCluster,
    caller: SimulatedCaller,
    on_success: object = None,
    pause_s: float = 0.05,
) -> None:
    """Send writes of a caller until its session is closed.

    Each write follows `pause_s` seconds after the reply to the previous one; `on_success` is called
    with each successful reply.
    """

    def handle_reply(reply: Reply) -> None:
        if reply.failure is None and callable(on_success):
            on_success(reply)
        cluster.simulator.call_later(pause_s, send_write)

    def send_write() -> None:
        if not caller.is_closed:
            cluster.send_request(caller, Write(f"w{len(caller.replies)} x"))

    caller.on_reply = handle_reply
    send_write()
