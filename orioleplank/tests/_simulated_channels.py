"""Simulated channels between proxies; implements the gateway's `ChannelDialer`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank.gateway import Channel, ChannelLostError, FrameHandler
from orioleplank.tests._simulator import Node, Simulator

OPEN_TIMEOUT_S = 0.5
# A channel breaks this long after a frame was sent on a cut link.
SILENCE_TIMEOUT_S = 3.0


class SimulatedChannel:
    """One end of a channel; frames arrive in order, or the channel breaks."""

    def __init__(self, simulator: Simulator, node: Node, peer: Node) -> None:
        self._simulator = simulator
        self._node = node
        self._peer = peer
        self._generations = (node.generation, peer.generation)
        self.peer_end: SimulatedChannel = self
        self.handler: FrameHandler | None = None
        self._is_stalled = False

    @property
    def _is_current(self) -> bool:
        return self._generations == (self._node.generation, self._peer.generation)

    def send(self, frame: bytes) -> None:
        """Send a frame; if the link is cut, the channel breaks after `SILENCE_TIMEOUT_S`."""
        if self.handler is None or self._is_stalled:
            return
        if not self._is_current or not self._peer.alive:
            self._simulator.call_later(0.001, self.break_both_ends)
            return
        if (self._node.name, self._peer.name) in self._simulator.cut_links:
            self._is_stalled = True
            self._simulator.call_later(SILENCE_TIMEOUT_S, self.break_both_ends)
            return
        self._simulator.deliver(
            self._node.name, self._peer.name, lambda: self.peer_end.receive(frame)
        )

    def receive(self, frame: bytes) -> None:
        """Pass a frame from the other end to the handler."""
        if self.handler is not None:
            self.handler.handle_frame(frame)

    def close(self) -> None:
        """Close the channel; the handlers of both ends are notified."""
        self.break_both_ends()

    def break_both_ends(self) -> None:
        """Break both ends; handlers of live processes are notified."""
        for end in (self, self.peer_end):
            handler, end.handler = end.handler, None
            if (
                handler is not None
                and end._generations[0] == end._node.generation
                and end._node.alive
            ):
                end._simulator.call_on_node(end._node, handler.handle_channel_closed)


class SimulatedChannels:
    """Opens channels to other proxies for one proxy, and keeps its ends of all channels."""

    def __init__(self, simulator: Simulator, node: Node, find_proxy: Callable[[str], Any]) -> None:
        self._simulator = simulator
        self._node = node
        self._generation = node.generation
        self._find_proxy = find_proxy
        self.ends: list[SimulatedChannel] = []

    def open(self, address: str, handler: FrameHandler) -> Deferred[Channel]:
        """Open a channel to the proxy at an address; fails with ChannelLostError."""
        simulator, node, peer = self._simulator, self._node, self._find_proxy(address)
        result: Deferred[Channel] = Deferred()

        def accept() -> None:
            near_end, far_end = SimulatedChannel(simulator, node, peer), SimulatedChannel(
                simulator, peer, node
            )
            near_end.peer_end, far_end.peer_end = far_end, near_end
            near_end.handler = handler
            far_end.handler = peer.gateway.forwarding_server.accept(far_end)
            self.ends.append(near_end)
            peer.channels.ends.append(far_end)
            simulator.deliver(peer.name, node.name, lambda: settle(near_end))

        def settle(near_end: SimulatedChannel) -> None:
            if not result.called and node.generation == self._generation:
                result.callback(near_end)

        def expire() -> None:
            if not result.called and node.generation == self._generation:
                result.errback(ChannelLostError("open channel", address, "no answer"))

        if peer.alive:
            simulator.deliver(node.name, peer.name, accept)
        simulator.call_later(OPEN_TIMEOUT_S, lambda: simulator.call_on_node(node, expire))
        return result

    def break_channels(self) -> None:
        """Break all channels of a process that has ended."""
        ends, self.ends = self.ends, []
        for end in ends:
            end.break_both_ends()
