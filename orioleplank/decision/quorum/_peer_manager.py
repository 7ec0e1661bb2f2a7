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

    def __init__(self, proxy_state: ProxyState) -> None:
        self._proxy_state = proxy_state
        self._last_sent_at = -HEARTBEAT_INTERVAL_S
        self._last_number = 0
        self._sent_at_by_number: dict[int, float] = {}

    def handle_heartbeat(self, message: HeartbeatReceived) -> None:
        """Process a heartbeat; send configuration objects to a peer whose copy is older."""
        proxy_state = self._proxy_state
        if message.proxy not in proxy_state.membership.peers:
            proxy_state.log_event(Event.PEER_FOUND, "hear peer", message.proxy)
        acked_numbers = [
            ack.number
            for ack in message.acks
            if ack.incarnation == proxy_state.identity.incarnation
        ]
        acked_sent_at = (
            self._sent_at_by_number.get(acked_numbers[0], -1.0) if acked_numbers else -1.0
        )
        proxy_state.membership = apply_heartbeat(
            proxy_state.membership, message, proxy_state.now, acked_sent_at
        )
        behind = message.revision < proxy_state.configuration.revision
        if behind or message.newest_version < proxy_state.configuration.newest_version:
            objects = proxy_state.configuration.objects_since(message.revision)
            proxy_state.emit(
                SendObjects(message.proxy, proxy_state.configuration.revision, objects)
            )

    def handle_vm_list(self, message: VmsListed) -> None:
        """Replace the list of VMs."""
        self._proxy_state.membership = replace(self._proxy_state.membership, vms=message.vms)

    def apply_objects(self, message: ObjectsReceived) -> bool:
        """Merge configuration objects; return whether anything changed.

        With the version safeguard disabled (tests only), received objects replace newer ones too.
        """
        proxy_state = self._proxy_state
        before = proxy_state.configuration
        if proxy_state.safeguards.is_enabled(Safeguard.VERSIONS):
            after = merge_objects(before, message.revision, message.objects)
        else:
            received_keys = {stored.key for stored in message.objects}
            kept = {key: value for key, value in before.objects.items() if key not in received_keys}
            without_received = replace(before, objects=kept)
            after = merge_objects(without_received, message.revision, message.objects)
        if after == before:
            return False
        proxy_state.configuration = after
        self._log_changes(before.preset_in_force()[1], after.revision)
        return True

    def _log_changes(self, previous: object, revision: int) -> None:
        proxy_state = self._proxy_state
        proxy_state.log_event(
            Event.CONFIGURATION_TAKEN, "take objects", detail=f"revision {revision}"
        )
        _, change = proxy_state.configuration.preset_in_force()
        if change is not None and change != previous:
            proxy_state.log_event(
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
        proxy_state = self._proxy_state
        if proxy_state.now - self._last_sent_at >= HEARTBEAT_INTERVAL_S:
            self._last_sent_at = proxy_state.now
            self._last_number += 1
            self._sent_at_by_number[self._last_number] = proxy_state.now
            self._sent_at_by_number.pop(self._last_number - MAX_SENT_HEARTBEATS, None)
            configuration = proxy_state.configuration
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
            proxy_state.emit(heartbeat)

    def _acks(self) -> tuple[HeartbeatAck, ...]:
        peers = self._proxy_state.membership.peers.values()
        return tuple(
            HeartbeatAck(peer.heartbeat.incarnation, peer.heartbeat.number) for peer in peers
        )
