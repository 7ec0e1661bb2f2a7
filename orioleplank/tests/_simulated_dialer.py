"""Opens connections to simulated instances, and requests promotions, for one proxy."""

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
from orioleplank.tests._relayed_delivery import deliver_via
from orioleplank.tests._simulated_instances import SimulatedGroup
from orioleplank.tests._simulated_links import SimulatedLink
from orioleplank.tests._simulator import Node

HANDSHAKE_S = 0.012


class SimulatedDialer:
    """Opens connections for one proxy; implements the gateway's `Dialer`."""

    def __init__(
        self, group: SimulatedGroup, node: Node, find_proxy: Callable[[str], Node] | None = None
    ) -> None:
        self._group = group
        self._node = node
        self._generation = node.generation
        self._find_proxy = find_proxy
        self.links: list[tuple[str, SimulatedLink]] = []

    def dial(
        self, entry: InstanceEntry, tunnel_route: TunnelRoute | None, account: str
    ) -> Deferred[InstanceLink]:
        """Open a connection for an account to an instance.

        Fails with InstanceRefusedError if the instance no longer exists, and with
        InstanceUnreachableError if the instance is dead (at once) or does not respond within
        1 s. A tunnel uses the links of the proxy at its other end.
        """
        simulator, member = self._group.simulator, self._group.members.get(entry.id)
        result: Deferred[InstanceLink] = Deferred()
        if member is None:
            result.errback(InstanceRefusedError("dial", entry.id, "wrong instance"))
            return result

        relay = None
        if tunnel_route is not None and self._find_proxy is not None:
            relay = self._find_proxy(tunnel_route.address)

        def open_link() -> None:
            link = SimulatedLink(self._group, self._node, member, relay, account)
            self.links.append((member.name, link))

            def complete() -> None:
                if not result.called and self._node.generation == self._generation:
                    result.callback(link)

            deliver_via(simulator, member, relay, self._node, complete, is_reply=True)

        def expire() -> None:
            if not result.called and self._node.generation == self._generation:
                result.errback(InstanceUnreachableError("dial", member.name, "no answer"))

        if not member.alive:
            simulator.call_later(0.001, lambda: simulator.call_on_node(self._node, expire))
            return result
        simulator.call_later(
            HANDSHAKE_S, lambda: deliver_via(simulator, self._node, relay, member, open_link)
        )
        simulator.call_later(1.0, lambda: simulator.call_on_node(self._node, expire))
        return result

    def break_connections(self, instance: str) -> None:
        """Break all connections of this proxy to an instance."""
        remaining = [(name, link) for name, link in self.links if name != instance]
        broken = [link for name, link in self.links if name == instance]
        self.links = remaining
        for link in broken:
            link.break_connection()


class SimulatedPromotions:
    """Requests promotions for one proxy; implements the gateway's `PromotionService`."""

    def __init__(self, group: SimulatedGroup, node: Node) -> None:
        self._group = group
        self._node = node

    def request_promotion(self, service: str, instance: str, token: int) -> Deferred[bool]:
        """Request a promotion; return whether the instance accepted it.

        A dead instance does not; for the current primary nothing changes. A lost request is never
        answered.
        """
        group, result = self._group, Deferred[bool]()
        group.promotion_orders.append((self._node.name, token, instance))
        member = group.members[instance]
        if group.loses_promotions:
            return result
        if not member.alive:
            result.callback(False)
            return result
        if member is not group.primary():
            group.simulator.call_later(group.promotion_delay_s, lambda: self._take_effect(instance))
        group.simulator.call_later(0.03, lambda: result.callback(True))
        return result

    def _take_effect(self, instance: str) -> None:
        """Promote an instance, unless it is dead, gone or the primary by now."""
        group, member = self._group, self._group.members.get(instance)
        if member is not None and member.alive and member is not group.primary():
            group.promote(instance, max(m.term for m in group.members.values()) + 1)
