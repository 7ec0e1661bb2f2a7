"""Simulated links between the proxies of a cluster: heartbeats, objects and slots."""

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
    """Delivers messages between proxies."""

    def __init__(self, simulator: Simulator, handle_message: MessageHandler) -> None:
        self._simulator = simulator
        self._handle_message = handle_message
        self.proxies: list[ProxyNode] = []

    def send(
        self, node: ProxyNode, effect: SendHeartbeat | SendObjects | RequestSlots | TransferSlots
    ) -> None:
        """Execute an effect that sends a message to one peer, or a heartbeat to all live peers."""
        match effect:
            case SendHeartbeat():
                self._send_heartbeat(node, effect)
            case SendObjects(peer):
                objects = ObjectsReceived(effect.revision, effect.objects)
                if self._simulator.nodes[peer].alive:
                    self._deliver(node, self._find_proxy(peer), objects)
            case RequestSlots(peer, service, name, epoch, count):
                request = SlotsRequested(node.name, service, name, epoch, count)
                self._deliver(node, self._find_proxy(peer), request)
            case TransferSlots(peer, service, name, epoch, count):
                transfer = SlotsReceived(service, name, epoch, count)
                self._deliver(node, self._find_proxy(peer), transfer)

    def _send_heartbeat(self, node: ProxyNode, effect: SendHeartbeat) -> None:
        heartbeat = HeartbeatReceived(
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
                self._deliver(node, peer, heartbeat)

    def _deliver(self, node: ProxyNode, peer: ProxyNode, message: Message) -> None:
        self._simulator.deliver(node.name, peer.name, lambda: self._handle_message(peer, message))

    def _find_proxy(self, name: str) -> ProxyNode:
        return next(node for node in self.proxies if node.name == name)
