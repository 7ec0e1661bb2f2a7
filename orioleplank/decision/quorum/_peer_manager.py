"""Exchanges heartbeats and configuration with the other proxies."""

from __future__ import annotations

from dataclasses import replace

from orioleplank.decision.quorum._configuration import merge_objects
from orioleplank.decision.quorum._effect import Event, SendHeartbeat, SendObjects
from orioleplank.decision.quorum._membership import apply_heartbeat
from orioleplank.decision.quorum._message import (
    HeartbeatAck,
    HeartbeatReceived,
    ObjectsReceived,
    SlotHolding,
    VmsListed,
)
from orioleplank.decision.quorum._proxy_state import ProxyState
from orioleplank.decision.quorum._safeguards import Safeguard

HEARTBEAT_PERIOD_S = 0.2
HEARTBEATS_KEPT = 64


class PeerManager:
    """The other proxies, and what they and the platform say of the configuration."""

    def __init__(self, node: ProxyState) -> None:
        self._node = node
        self._sent_at = -HEARTBEAT_PERIOD_S
        self._number = 0
        self._sent: dict[int, float] = {}

    def handle_heartbeat(self, message: HeartbeatReceived) -> None:
        """Take a heartbeat; a peer that is behind gets what it lacks."""
        node = self._node
        if message.proxy not in node.membership.peers:
            node.log_event(Event.PEER_FOUND, "hear peer", message.proxy)
        echoed = [e.number for e in message.acks if e.incarnation == node.identity.incarnation]
        answered_at = self._sent.get(echoed[0], -1.0) if echoed else -1.0
        node.membership = apply_heartbeat(node.membership, message, node.now, answered_at)
        behind = message.revision < node.configuration.revision
        if behind or message.newest_version < node.configuration.newest_version:
            objects = node.configuration.objects_since(message.revision)
            node.emit(SendObjects(message.proxy, node.configuration.revision, objects))

    def handle_vm_list(self, message: VmsListed) -> None:
        """Take the platform's list."""
        self._node.membership = replace(self._node.membership, vms=message.vms)

    def apply_objects(self, message: ObjectsReceived) -> bool:
        """Take in configuration; tell whether anything changed."""
        node = self._node
        before = node.configuration
        if node.safeguards.is_enabled(Safeguard.VERSIONS):
            after = merge_objects(before, message.revision, message.objects)
        else:
            forgotten = {stored.key for stored in message.objects}
            kept = {key: value for key, value in before.objects.items() if key not in forgotten}
            bare = replace(before, objects=kept)
            after = merge_objects(bare, message.revision, message.objects)
        if after == before:
            return False
        node.configuration = after
        self._note_changes(before.preset_in_force()[1], after.revision)
        return True

    def _note_changes(self, previous: object, revision: int) -> None:
        node = self._node
        node.log_event(Event.CONFIGURATION_TAKEN, "take objects", detail=f"revision {revision}")
        _, change = node.configuration.preset_in_force()
        if change is not None and change != previous:
            node.log_event(
                Event.PRESET_IN_FORCE, "take objects", change.author, f"change {change.id}"
            )

    def tick(
        self,
        stopping: bool,
        unreachable: tuple[str, ...],
        headless: tuple[str, ...],
        holdings: tuple[SlotHolding, ...],
    ) -> None:
        """Send a heartbeat when one is due."""
        node = self._node
        if node.now - self._sent_at >= HEARTBEAT_PERIOD_S:
            self._sent_at = node.now
            self._number += 1
            self._sent[self._number] = node.now
            self._sent.pop(self._number - HEARTBEATS_KEPT, None)
            known = node.configuration
            beat = SendHeartbeat(
                known.revision,
                known.newest_version,
                stopping,
                unreachable,
                headless,
                self._number,
                self._echoes(),
                holdings,
            )
            node.emit(beat)

    def _echoes(self) -> tuple[HeartbeatAck, ...]:
        peers = self._node.membership.peers.values()
        return tuple(
            HeartbeatAck(peer.heartbeat.incarnation, peer.heartbeat.number) for peer in peers
        )
