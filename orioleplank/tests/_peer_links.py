"""The links between proxies of a world: heartbeats, objects and slots."""

from __future__ import annotations

from orioleplank.decision.quorum import (
    AskSlots,
    GiveSlots,
    Heartbeat,
    Message,
    ObjectsReceived,
    PeerHeard,
    SendObjects,
    SlotsGiven,
    SlotsWanted,
)
from orioleplank.tests._fabric import Fabric
from orioleplank.tests._nodes import ProxyNode
from orioleplank.tests._store import Tell


class PeerLinks:
    """Carries what proxies tell each other."""

    def __init__(self, fabric: Fabric, tell: Tell) -> None:
        self._fabric = fabric
        self._tell = tell
        self.proxies: list[ProxyNode] = []

    def send(self, node: ProxyNode, effect: Heartbeat | SendObjects | AskSlots | GiveSlots) -> None:
        """Carry out what a proxy wants to tell others."""
        match effect:
            case Heartbeat():
                self._send_heartbeat(node, effect)
            case SendObjects(peer):
                objects = ObjectsReceived(effect.revision, effect.objects)
                if self._fabric.nodes[peer].alive:
                    self._deliver(node, self._find(peer), objects)
            case AskSlots(peer, service, name, epoch, count):
                wanted = SlotsWanted(node.name, service, name, epoch, count)
                self._deliver(node, self._find(peer), wanted)
            case GiveSlots(peer, service, name, epoch, count):
                given = SlotsGiven(service, name, epoch, count)
                self._deliver(node, self._find(peer), given)

    def _send_heartbeat(self, node: ProxyNode, effect: Heartbeat) -> None:
        heard = PeerHeard(
            node.name,
            f"{node.name}-run-{node.run}",
            effect.revision,
            effect.newest,
            effect.stopping,
            effect.unreachable_services,
            effect.headless_services,
            effect.number,
            effect.echoes,
            effect.holdings,
        )
        for peer in self.proxies:
            if peer is not node and peer.alive:
                self._deliver(node, peer, heard)

    def _deliver(self, node: ProxyNode, peer: ProxyNode, message: Message) -> None:
        self._fabric.deliver(node.name, peer.name, lambda: self._tell(peer, message))

    def _find(self, name: str) -> ProxyNode:
        return next(node for node in self.proxies if node.name == name)
