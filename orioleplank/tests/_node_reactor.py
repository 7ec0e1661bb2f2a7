"""A reactor for one simulated node: timers end with the node and are delayed while it is paused."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orioleplank.tests._simulator import Node, Simulator

Address = tuple[str, int]


class NodeTimer:
    """A scheduled call that can be cancelled."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call: Callable[[], None] | None = call

    def fire(self) -> None:
        """Make the call unless it was cancelled or already made."""
        call, self._call = self._call, None
        if call is not None:
            call()

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self._call is not None

    def cancel(self) -> None:
        """Drop the call."""
        self._call = None


class DatagramTransport:
    """Sends the datagrams of one node."""

    def __init__(self, network: DatagramNetwork, node: Node) -> None:
        self._network = network
        self._node = node

    def write(self, datagram: bytes, address: Address) -> None:
        """Send a datagram; it may be lost."""
        self._network.send(self._node, datagram, address)


class DatagramNetwork:
    """Delivers datagrams to the protocols that nodes have registered, by address."""

    def __init__(self, simulator: Simulator) -> None:
        self.simulator = simulator
        self.receivers: dict[Address, tuple[Node, Any]] = {}

    def send(self, source: Node, datagram: bytes, address: Address) -> None:
        """Deliver a datagram to the receiver at an address; it is dropped if there is none."""
        receiver = self.receivers.get(address)
        if receiver is not None:
            node, protocol = receiver
            self.simulator.deliver(
                source.name, node.name, lambda: protocol.datagramReceived(datagram, None)
            )


class NodeReactor:
    """The subset of the Twisted reactor interface that a gateway uses, on simulated time."""

    def __init__(self, network: DatagramNetwork, node: Node) -> None:
        self._network = network
        self._simulator = network.simulator
        self._node = node

    def seconds(self) -> float:
        """Return the simulated time in seconds."""
        return self._simulator.now

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., Any], *args: Any
    ) -> NodeTimer:
        """Make a call after `delay` seconds, unless the node was killed or restarted by then."""
        timer, generation = NodeTimer(lambda: call(*args)), self._node.generation

        def fire() -> None:
            if self._node.alive and self._node.generation == generation:
                self._simulator.call_on_node(self._node, timer.fire)

        self._simulator.call_later(max(0.0, delay), fire)
        return timer

    def listenUDP(self, port: int, protocol: Any, interface: str) -> None:  # noqa: N802
        """Register a protocol as the receiver at an address and give it a transport."""
        protocol.transport = DatagramTransport(self._network, self._node)
        self._network.receivers[(interface, port)] = (self._node, protocol)

    def listenTCP(self, port: int, factory: Any, interface: str) -> None:  # noqa: N802
        """Do nothing: the simulation has no TCP connections."""
