"""The links between proxies of a world: heartbeats, objects and slots."""

from __future__ import annotations

from orioleplank.decision.quorum import (
    HeartbeatReceived,
    Message,
    ObjectsReceived,
    RequestSlots,
    SendHeartbeat,
    SendObjects,
    SlotsReceived,
    SlotsRequested,
    TransferSlots,
)
from orioleplank.tests._nodes import ProxyNode
from orioleplank.tests._simulated_platform import MessageHandler
from orioleplank.tests._simulator import Simulator


class PeerLinks:
    """Carries what proxies tell each other."""

    def __init__(self, fabric: Simulator, tell: MessageHandler) -> None:
        self._fabric = fabric
        self._tell = tell
        self.proxies: list[ProxyNode] = []

    def send(
        self, node: ProxyNode, effect: SendHeartbeat | SendObjects | RequestSlots | TransferSlots
    ) -> None:
        """Carry out what a proxy wants to tell others."""
        match effect:
            case SendHeartbeat():
                self._send_heartbeat(node, effect)
            case SendObjects(peer):
                objects = ObjectsReceived(effect.revision, effect.objects)
                if self._fabric.nodes[peer].alive:
                    self._deliver(node, self._find(peer), objects)
            case RequestSlots(peer, service, name, epoch, count):
                wanted = SlotsRequested(node.name, service, name, epoch, count)
                self._deliver(node, self._find(peer), wanted)
            case TransferSlots(peer, service, name, epoch, count):
                given = SlotsReceived(service, name, epoch, count)
                self._deliver(node, self._find(peer), given)

    def _send_heartbeat(self, node: ProxyNode, effect: SendHeartbeat) -> None:
        heard = HeartbeatReceived(
            node.name,
            f"{node.name}-run-{node.generation}",
            effect.revision,
            effect.newest_version,
            effect.stopping,
            effect.unreachable_services,
            effect.headless_services,
            effect.number,
            effect.acks,
            effect.holdings,
        )
        for peer in self.proxies:
            if peer is not node and peer.alive:
                self._deliver(node, peer, heard)

    def _deliver(self, node: ProxyNode, peer: ProxyNode, message: Message) -> None:
        self._fabric.deliver(node.name, peer.name, lambda: self._tell(peer, message))

    def _find(self, name: str) -> ProxyNode:
        return next(node for node in self.proxies if node.name == name)
