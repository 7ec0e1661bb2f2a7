"""Delivery of simulated messages, directly or through the tunnel of a proxy."""

from __future__ import annotations

from collections.abc import Callable

from orioleplank.tests._simulator import Node, Simulator


def deliver_via(
    simulator: Simulator,
    source: Node,
    relay: Node | None,
    target: Node,
    call: Callable[[], None],
    is_reply: bool = False,
) -> None:
    """Deliver a message from `source` to `target`, through a tunnel at `relay` if given."""
    if relay is None:
        simulator.deliver(source.name, target.name, call, is_reply=is_reply)
        return
    relay_node = relay

    def forward() -> None:
        simulator.deliver(relay_node.name, target.name, call, is_reply=is_reply)

    simulator.deliver(source.name, relay_node.name, forward, is_reply=is_reply)
