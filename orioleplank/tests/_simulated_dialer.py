"""Opens connections to the stand-ins of instances, and orders promotions, for one proxy."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred

from orioleplank.decision.instances import InstanceEntry
from orioleplank.gateway import (
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
    TunnelRoute,
)
from orioleplank.tests._simulated_instances import PROMOTION_DELAY_S, SimulatedGroup
from orioleplank.tests._simulated_links import SimulatedLink, deliver_via
from orioleplank.tests._simulator import Node

HANDSHAKE_S = 0.012


class SimulatedDialer:
    """Opens connections for one proxy; implements the gateway's `Dialer`."""

    def __init__(
        self, group: SimulatedGroup, node: Node, find_peer: Callable[[str], Node] | None = None
    ) -> None:
        self._group = group
        self._node = node
        self._run = node.generation
        self._find_peer = find_peer
        self.links: list[tuple[str, SimulatedLink]] = []

    def dial(
        self, entry: InstanceEntry, tunnel_route: TunnelRoute | None
    ) -> Deferred[InstanceLink]:
        """Open a connection; a dead instance refuses it, a cut one never answers.

        A tunnel reaches the instance as the proxy at its other end does.
        """
        fabric, member = self._group.simulator, self._group.members.get(entry.id)
        result: Deferred[InstanceLink] = Deferred()
        if member is None:
            result.errback(InstanceRefusedError("dial", entry.id, "wrong instance"))
            return result

        by_way_of = None
        if tunnel_route is not None and self._find_peer is not None:
            by_way_of = self._find_peer(tunnel_route.address)

        def open_link() -> None:
            link = SimulatedLink(self._group, self._node, member, by_way_of)
            self.links.append((member.name, link))

            def greet() -> None:
                if not result.called and self._node.generation == self._run:
                    result.callback(link)

            deliver_via(fabric, member, by_way_of, self._node, greet, is_reply=True)

        def expire() -> None:
            if not result.called and self._node.generation == self._run:
                result.errback(InstanceUnreachableError("dial", member.name, "no answer"))

        if not member.alive:
            fabric.call_later(0.001, lambda: fabric.call_on_node(self._node, expire))
            return result
        fabric.call_later(
            HANDSHAKE_S, lambda: deliver_via(fabric, self._node, by_way_of, member, open_link)
        )
        fabric.call_later(1.0, lambda: fabric.call_on_node(self._node, expire))
        return result

    def break_connections(self, instance: str) -> None:
        """Break all connections to an instance."""
        kept = [(name, link) for name, link in self.links if name != instance]
        lost = [link for name, link in self.links if name == instance]
        self.links = kept
        for link in lost:
            link.break_connection()


class SimulatedPromotions:
    """Orders promotions for one proxy; implements the gateway's `PromotionService`."""

    def __init__(self, group: SimulatedGroup, node: Node) -> None:
        self._group = group
        self._node = node

    def request_promotion(self, service: str, instance: str, token: int) -> Deferred[bool]:
        """Order a promotion; for the present primary nothing changes."""
        group, result = self._group, Deferred[bool]()
        group.promotion_orders.append((self._node.name, token, instance))
        member = group.members[instance]
        if not member.alive:
            result.callback(False)
            return result
        if member is not group.primary():
            term = max(m.term for m in group.members.values()) + 1
            group.simulator.call_later(PROMOTION_DELAY_S, lambda: group.promote(instance, term))
        group.simulator.call_later(0.03, lambda: result.callback(True))
        return result
