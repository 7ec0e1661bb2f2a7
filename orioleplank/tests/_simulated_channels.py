"""Channels between proxies on the fabric; implements the gateway's `ChannelDialer`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank.gateway import Channel, ChannelLostError, FrameHandler
from orioleplank.tests._simulator import Node, Simulator

# Time to open a channel, and silence of the other side that ends one, in seconds.
OPEN_LIMIT_S = 0.5
SILENCE_S = 3.0


class SimulatedChannel:
    """One end; frames come in order, or the channel breaks."""

    def __init__(self, fabric: Simulator, node: Node, peer: Node) -> None:
        self._fabric = fabric
        self._node = node
        self._peer = peer
        self._runs = (node.generation, peer.generation)
        self.other: SimulatedChannel = self
        self.listener: FrameHandler | None = None
        self._is_stuck = False

    @property
    def _is_current(self) -> bool:
        return self._runs == (self._node.generation, self._peer.generation)

    def send(self, frame: bytes) -> None:
        """Send a frame; a link that delivers nothing breaks the channel after a while."""
        if self.listener is None or self._is_stuck:
            return
        if not self._is_current or not self._peer.alive:
            self._fabric.call_later(0.001, self.break_off)
            return
        if (self._node.name, self._peer.name) in self._fabric.cut_links:
            self._is_stuck = True
            self._fabric.call_later(SILENCE_S, self.break_off)
            return
        self._fabric.deliver(self._node.name, self._peer.name, lambda: self.other.take(frame))

    def take(self, frame: bytes) -> None:
        """Take a frame of the other end."""
        if self.listener is not None:
            self.listener.handle_frame(frame)

    def close(self) -> None:
        """End the channel."""
        self.break_off()

    def break_off(self) -> None:
        """Break both ends."""
        for end in (self, self.other):
            listener, end.listener = end.listener, None
            if listener is not None and end._runs[0] == end._node.generation and end._node.alive:
                end._fabric.call_on_node(end._node, listener.handle_channel_closed)


class SimulatedChannels:
    """Opens channels for one proxy."""

    def __init__(self, fabric: Simulator, node: Node, find_proxy: Callable[[str], Any]) -> None:
        self._fabric = fabric
        self._node = node
        self._run = node.generation
        self._find_proxy = find_proxy
        self.ends: list[SimulatedChannel] = []

    def open(self, address: str, listener: FrameHandler) -> Deferred[Channel]:
        """Open a channel to the proxy at an address."""
        fabric, node, peer = self._fabric, self._node, self._find_proxy(address)
        result: Deferred[Channel] = Deferred()

        def accept() -> None:
            near, far = SimulatedChannel(fabric, node, peer), SimulatedChannel(fabric, peer, node)
            near.other, far.other = far, near
            near.listener = listener
            far.listener = peer.gateway.forwarding_server.accept(far)
            self.ends.append(near)
            peer.channels.ends.append(far)
            fabric.deliver(peer.name, node.name, lambda: settle(near))

        def settle(near: SimulatedChannel) -> None:
            if not result.called and node.generation == self._run:
                result.callback(near)

        def expire() -> None:
            if not result.called and node.generation == self._run:
                result.errback(ChannelLostError("open channel", address, "no answer"))

        if peer.alive:
            fabric.deliver(node.name, peer.name, accept)
        fabric.call_later(OPEN_LIMIT_S, lambda: fabric.call_on_node(node, expire))
        return result

    def break_channels(self) -> None:
        """Break all channels, because the process has ended."""
        ends, self.ends = self.ends, []
        for end in ends:
            end.break_off()
