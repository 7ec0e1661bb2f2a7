"""Exchanges heartbeats and configuration with the other proxies."""

from __future__ import annotations

from dataclasses import replace

from orioleplank.decision._configuration import merge_objects
from orioleplank.decision._effect import Event, Heartbeat, SendObjects
from orioleplank.decision._mechanism import Switch
from orioleplank.decision._membership import hear_peer
from orioleplank.decision._message import ObjectsReceived, PeerHeard, VmsListed
from orioleplank.decision._node import Node

HEARTBEAT_PERIOD_S = 0.2


class Peers:
    """The other proxies, and what they and the platform say of the configuration."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._sent_at = -HEARTBEAT_PERIOD_S
        self._alive: tuple[str, ...] = ()

    def hear(self, message: PeerHeard) -> None:
        """Take a heartbeat; a peer that is behind gets what it lacks."""
        node = self._node
        if message.proxy not in node.membership.peers:
            node.note(Event.PEER_FOUND, "hear peer", message.proxy)
        node.membership = hear_peer(node.membership, message, node.now)
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
        self, stopping: bool, unreachable: tuple[str, ...], headless: tuple[str, ...]
    ) -> bool:
        """Send a heartbeat when one is due; tell whether other proxies are alive than before."""
        node = self._node
        if node.now - self._sent_at >= HEARTBEAT_PERIOD_S:
            self._sent_at = node.now
            known = node.configuration
            beat = Heartbeat(known.revision, known.newest, stopping, unreachable, headless)
            node.emit(beat)
        alive = node.membership.alive(node.now)
        changed = alive != self._alive
        self._alive = alive
        return changed
