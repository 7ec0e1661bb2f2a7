"""Exchanges heartbeats and configuration with the other proxies."""

from __future__ import annotations

from dataclasses import replace

from orioleplank.decision.quorum._configuration import merge_objects
from orioleplank.decision.quorum._effect import Event, Heartbeat, SendObjects
from orioleplank.decision.quorum._mechanism import Switch
from orioleplank.decision.quorum._membership import hear_peer
from orioleplank.decision.quorum._message import (
    Echo,
    Holding,
    ObjectsReceived,
    PeerHeard,
    VmsListed,
)
from orioleplank.decision.quorum._node import Node

HEARTBEAT_PERIOD_S = 0.2
HEARTBEATS_KEPT = 64


class Peers:
    """The other proxies, and what they and the platform say of the configuration."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._sent_at = -HEARTBEAT_PERIOD_S
        self._number = 0
        self._sent: dict[int, float] = {}

    def hear(self, message: PeerHeard) -> None:
        """Take a heartbeat; a peer that is behind gets what it lacks."""
        node = self._node
        if message.proxy not in node.membership.peers:
            node.note(Event.PEER_FOUND, "hear peer", message.proxy)
        echoed = [e.number for e in message.echoes if e.incarnation == node.identity.incarnation]
        answered_at = self._sent.get(echoed[0], -1.0) if echoed else -1.0
        node.membership = hear_peer(node.membership, message, node.now, answered_at)
        behind = message.revision < node.configuration.revision
        if behind or message.newest < node.configuration.newest:
            objects = node.configuration.newer_than(message.revision)
            node.emit(SendObjects(message.proxy, node.configuration.revision, objects))

    def list_vms(self, message: VmsListed) -> None:
        """Take the platform's list."""
        self._node.membership = replace(self._node.membership, vms=message.vms)

    def take_objects(self, message: ObjectsReceived) -> bool:
        """Take in configuration; tell whether anything changed."""
        node = self._node
        before = node.configuration
        if node.mechanisms.on(Switch.VERSIONS):
            after = merge_objects(before, message.revision, message.objects)
        else:
            forgotten = {stored.key for stored in message.objects}
            kept = {key: value for key, value in before.objects.items() if key not in forgotten}
            bare = replace(before, objects=kept)
            after = merge_objects(bare, message.revision, message.objects)
        if after == before:
            return False
        node.configuration = after
        self._note_changes(before.in_force()[1], after.revision)
        return True

    def _note_changes(self, previous: object, revision: int) -> None:
        node = self._node
        node.note(Event.CONFIGURATION_TAKEN, "take objects", detail=f"revision {revision}")
        _, change = node.configuration.in_force()
        if change is not None and change != previous:
            node.note(Event.PRESET_IN_FORCE, "take objects", change.author, f"change {change.id}")

    def pass_time(
        self,
        stopping: bool,
        unreachable: tuple[str, ...],
        headless: tuple[str, ...],
        holdings: tuple[Holding, ...],
    ) -> None:
        """Send a heartbeat when one is due."""
        node = self._node
        if node.now - self._sent_at >= HEARTBEAT_PERIOD_S:
            self._sent_at = node.now
            self._number += 1
            self._sent[self._number] = node.now
            self._sent.pop(self._number - HEARTBEATS_KEPT, None)
            known = node.configuration
            beat = Heartbeat(
                known.revision,
                known.newest,
                stopping,
                unreachable,
                headless,
                self._number,
                self._echoes(),
                holdings,
            )
            node.emit(beat)

    def _echoes(self) -> tuple[Echo, ...]:
        peers = self._node.membership.peers.values()
        return tuple(Echo(peer.heard.incarnation, peer.heard.number) for peer in peers)
