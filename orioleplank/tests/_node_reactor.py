"""A reactor for one node of the fabric: timers end with the node, and wait while it is frozen."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orioleplank.tests._simulator import Node, Simulator

Address = tuple[str, int]


class NodeTimer:
    """A call that is to be made later."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call: Callable[[], None] | None = call

    def fire(self) -> None:
        """Make the call unless it was cancelled."""
        call, self._call = self._call, None
        if call is not None:
            call()

    def active(self) -> bool:
        """Tell whether the call is still to come."""
        return self._call is not None

    def cancel(self) -> None:
        """Never make the call."""
        self._call = None


class DatagramTransport:
    """Carries datagrams of one node."""

    def __init__(self, network: DatagramNetwork, node: Node) -> None:
        self._network = network
        self._node = node

    def write(self, datagram: bytes, address: Address) -> None:
        """Send a datagram; it may be lost."""
        self._network.send(self._node, datagram, address)


class DatagramNetwork:
    """Where the nodes receive datagrams."""

    def __init__(self, fabric: Simulator) -> None:
        self.simulator = fabric
        self.receivers: dict[Address, tuple[Node, Any]] = {}

    def send(self, source: Node, datagram: bytes, address: Address) -> None:
        """Deliver a datagram to whoever receives at an address."""
        found = self.receivers.get(address)
        if found is not None:
            node, protocol = found
            self.simulator.deliver(
                source.name, node.name, lambda: protocol.datagramReceived(datagram, None)
            )


class NodeReactor:
    """The part of a reactor that a gateway uses."""

    def __init__(self, network: DatagramNetwork, node: Node) -> None:
        self._network = network
        self._fabric = network.simulator
        self._node = node

    def seconds(self) -> float:
        """Return the fabric's clock, in seconds."""
        return self._fabric.now

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., Any], *args: Any
    ) -> NodeTimer:
        """Make a call after `delay` seconds if this run of the node still lives."""
        timer, run = NodeTimer(lambda: call(*args)), self._node.generation

        def fire() -> None:
            if self._node.alive and self._node.generation == run:
                self._fabric.call_on_node(self._node, timer.fire)

        self._fabric.call_later(max(0.0, delay), fire)
        return timer

    def listenUDP(self, port: int, protocol: Any, interface: str) -> None:  # noqa: N802
        """Receive datagrams at an address."""
        protocol.transport = DatagramTransport(self._network, self._node)
        self._network.receivers[(interface, port)] = (self._node, protocol)

    def listenTCP(self, port: int, factory: Any, interface: str) -> None:  # noqa: N802
        """Take no connections: the fabric has none."""
