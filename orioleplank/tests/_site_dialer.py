"""Opens connections to the stand-ins of instances, and orders promotions, for one proxy."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred

from orioleplank.decision.instances import InstanceEntry
from orioleplank.gateway import Detour, InstanceLink, InstanceRefusedError, InstanceUnreachableError
from orioleplank.tests._fabric import Node
from orioleplank.tests._site_instances import PROMOTE_S, SiteGroup
from orioleplank.tests._site_links import SiteLink, carry

HANDSHAKE_S = 0.012


class SiteDialer:
    """Opens connections for one proxy; implements the gateway's `Dialer`."""

    def __init__(
        self, group: SiteGroup, node: Node, find_peer: Callable[[str], Node] | None = None
    ) -> None:
        self._group = group
        self._node = node
        self._run = node.run
        self._find_peer = find_peer
        self.links: list[tuple[str, SiteLink]] = []

    def dial(self, entry: InstanceEntry, detour: Detour | None) -> Deferred[InstanceLink]:
        """Open a connection; a dead instance refuses it, a cut one never answers.

        A tunnel reaches the instance as the proxy at its other end does.
        """
        fabric, member = self._group.fabric, self._group.members.get(entry.id)
        result: Deferred[InstanceLink] = Deferred()
        if member is None:
            result.errback(InstanceRefusedError("dial", entry.id, "wrong instance"))
            return result

        by_way_of = None
        if detour is not None and self._find_peer is not None:
            by_way_of = self._find_peer(detour.address)

        def open_link() -> None:
            link = SiteLink(self._group, self._node, member, by_way_of)
            self.links.append((member.name, link))

            def greet() -> None:
                if not result.called and self._node.run == self._run:
                    result.callback(link)

            carry(fabric, member, by_way_of, self._node, greet, reply=True)

        def expire() -> None:
            if not result.called and self._node.run == self._run:
                result.errback(InstanceUnreachableError("dial", member.name, "no answer"))

        if not member.alive:
            fabric.after(0.001, lambda: fabric.enter(self._node, expire))
            return result
        fabric.after(HANDSHAKE_S, lambda: carry(fabric, self._node, by_way_of, member, open_link))
        fabric.after(1.0, lambda: fabric.enter(self._node, expire))
        return result

    def lose_links(self, instance: str) -> None:
        """Break all connections to an instance."""
        kept = [(name, link) for name, link in self.links if name != instance]
        lost = [link for name, link in self.links if name == instance]
        self.links = kept
        for link in lost:
            link.lose()


class SitePromotions:
    """Orders promotions for one proxy; implements the gateway's `Promotions`."""

    def __init__(self, group: SiteGroup, node: Node) -> None:
        self._group = group
        self._node = node

    def order(self, service: str, instance: str, token: int) -> Deferred[bool]:
        """Order a promotion; for the present primary nothing changes."""
        group, result = self._group, Deferred[bool]()
        group.orders.append((self._node.name, token, instance))
        member = group.members[instance]
        if not member.alive:
            result.callback(False)
            return result
        if member is not group.primary():
            term = max(m.term for m in group.members.values()) + 1
            group.fabric.after(PROMOTE_S, lambda: group.promote(instance, term))
        group.fabric.after(0.03, lambda: result.callback(True))
        return result
