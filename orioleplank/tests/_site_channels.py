"""Channels between proxies on the fabric; implements the gateway's `Channels`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank.gateway import Channel, ChannelLostError, Listener
from orioleplank.tests._fabric import Fabric, Node

# Time to open a channel, and silence of the other side that ends one, in seconds.
OPEN_LIMIT_S = 0.5
SILENCE_S = 3.0


class SiteChannel:
    """One end; frames come in order, or the channel breaks."""

    def __init__(self, fabric: Fabric, node: Node, peer: Node) -> None:
        self._fabric = fabric
        self._node = node
        self._peer = peer
        self._runs = (node.run, peer.run)
        self.other: SiteChannel = self
        self.listener: Listener | None = None
        self._is_stuck = False

    @property
    def _is_current(self) -> bool:
        return self._runs == (self._node.run, self._peer.run)

    def send(self, frame: bytes) -> None:
        """Send a frame; a link that delivers nothing breaks the channel after a while."""
        if self.listener is None or self._is_stuck:
            return
        if not self._is_current or not self._peer.alive:
            self._fabric.after(0.001, self.break_off)
            return
        if (self._node.name, self._peer.name) in self._fabric.cuts:
            self._is_stuck = True
            self._fabric.after(SILENCE_S, self.break_off)
            return
        self._fabric.deliver(self._node.name, self._peer.name, lambda: self.other.take(frame))

    def take(self, frame: bytes) -> None:
        """Take a frame of the other end."""
        if self.listener is not None:
            self.listener.take_frame(frame)

    def close(self) -> None:
        """End the channel."""
        self.break_off()

    def break_off(self) -> None:
        """Break both ends."""
        for end in (self, self.other):
            listener, end.listener = end.listener, None
            if listener is not None and end._runs[0] == end._node.run and end._node.alive:
                end._fabric.enter(end._node, listener.take_end)


class SiteChannels:
    """Opens channels for one proxy."""

    def __init__(self, fabric: Fabric, node: Node, find_proxy: Callable[[str], Any]) -> None:
        self._fabric = fabric
        self._node = node
        self._run = node.run
        self._find_proxy = find_proxy
        self.ends: list[SiteChannel] = []

    def open(self, address: str, listener: Listener) -> Deferred[Channel]:
        """Open a channel to the proxy at an address."""
        fabric, node, peer = self._fabric, self._node, self._find_proxy(address)
        result: Deferred[Channel] = Deferred()

        def accept() -> None:
            near, far = SiteChannel(fabric, node, peer), SiteChannel(fabric, peer, node)
            near.other, far.other = far, near
            near.listener = listener
            far.listener = peer.gateway.carrier.accept(far)
            self.ends.append(near)
            peer.channels.ends.append(far)
            fabric.deliver(peer.name, node.name, lambda: settle(near))

        def settle(near: SiteChannel) -> None:
            if not result.called and node.run == self._run:
                result.callback(near)

        def expire() -> None:
            if not result.called and node.run == self._run:
                result.errback(ChannelLostError("open channel", address, "no answer"))

        if peer.alive:
            fabric.deliver(node.name, peer.name, accept)
        fabric.after(OPEN_LIMIT_S, lambda: fabric.enter(node, expire))
        return result

    def lose_all(self) -> None:
        """Break all channels, because the process has ended."""
        ends, self.ends = self.ends, []
        for end in ends:
            end.break_off()
