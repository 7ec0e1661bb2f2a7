"""Exchange of heartbeats and configuration with the other proxies."""

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

HEARTBEAT_INTERVAL_S = 0.2
# Sent heartbeats whose send time is kept; acknowledgements of older ones are ignored.
MAX_SENT_HEARTBEATS = 64


class PeerManager:
    """Maintains the membership and the configuration of this proxy.

    Sends and processes heartbeats, merges configuration objects from the platform and from peers,
    and sends objects to peers whose configuration is older.
    """

    def __init__(self, node: ProxyState) -> None:
        self._node = node
        self._last_sent_at = -HEARTBEAT_INTERVAL_S
        self._last_number = 0
        self._sent_at_by_number: dict[int, float] = {}

    def handle_heartbeat(self, message: HeartbeatReceived) -> None:
        """Process a heartbeat; send configuration objects to a peer whose copy is older."""
        node = self._node
        if message.proxy not in node.membership.peers:
            node.log_event(Event.PEER_FOUND, "hear peer", message.proxy)
        acked_numbers = [
            ack.number for ack in message.acks if ack.incarnation == node.identity.incarnation
        ]
        acked_sent_at = (
            self._sent_at_by_number.get(acked_numbers[0], -1.0) if acked_numbers else -1.0
        )
        node.membership = apply_heartbeat(node.membership, message, node.now, acked_sent_at)
        behind = message.revision < node.configuration.revision
        if behind or message.newest_version < node.configuration.newest_version:
            objects = node.configuration.objects_since(message.revision)
            node.emit(SendObjects(message.proxy, node.configuration.revision, objects))

    def handle_vm_list(self, message: VmsListed) -> None:
        """Replace the list of VMs."""
        self._node.membership = replace(self._node.membership, vms=message.vms)

    def apply_objects(self, message: ObjectsReceived) -> bool:
        """Merge configuration objects; return whether anything changed.

        With the version safeguard disabled (tests only), received objects replace newer ones too.
        """
        node = self._node
        before = node.configuration
        if node.safeguards.is_enabled(Safeguard.VERSIONS):
            after = merge_objects(before, message.revision, message.objects)
        else:
            received_keys = {stored.key for stored in message.objects}
            kept = {key: value for key, value in before.objects.items() if key not in received_keys}
            without_received = replace(before, objects=kept)
            after = merge_objects(without_received, message.revision, message.objects)
        if after == before:
            return False
        node.configuration = after
        self._log_changes(before.preset_in_force()[1], after.revision)
        return True

    def _log_changes(self, previous: object, revision: int) -> None:
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
        if node.now - self._last_sent_at >= HEARTBEAT_INTERVAL_S:
            self._last_sent_at = node.now
            self._last_number += 1
            self._sent_at_by_number[self._last_number] = node.now
            self._sent_at_by_number.pop(self._last_number - MAX_SENT_HEARTBEATS, None)
            configuration = node.configuration
            heartbeat = SendHeartbeat(
                configuration.revision,
                configuration.newest_version,
                stopping,
                unreachable,
                headless,
                self._last_number,
                self._acks(),
                holdings,
            )
            node.emit(heartbeat)

    def _acks(self) -> tuple[HeartbeatAck, ...]:
        peers = self._node.membership.peers.values()
        return tuple(
            HeartbeatAck(peer.heartbeat.incarnation, peer.heartbeat.number) for peer in peers
        )
