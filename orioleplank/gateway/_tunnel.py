"""Tunnels: a proxy that can reach an instance relays bytes for a proxy that cannot.

The proxy that opened the tunnel still speaks the protocol with the instance and checks its own
lease. The relaying proxy makes no decisions and does not change the bytes.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import (
    ClientFactory,
    Protocol,
    ServerFactory,
    connectionDone,
)
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway._intake import PortGuard
from orioleplank.gateway._interfaces import TunnelRoute

# Offset of the port for tunnels from the port for peers.
TUNNEL_PORT_OFFSET = 2
# Timeout for connecting to the instance, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Largest number of tunnels that one proxy relays at the same time.
MAX_TUNNELS = 200
# Time within which the first line, which names the instance, has to arrive, in seconds.
NAME_TIMEOUT_S = 5.0
# Longest name of an instance, in bytes.
MAX_NAME_BYTES = 200


def build_tunnel_route(peer: ProxyRecord, instance: str) -> TunnelRoute:
    """Return the route of a tunnel to an instance through a peer."""
    host, _, port = peer.address.rpartition(":")
    return TunnelRoute(f"{host}:{int(port) + TUNNEL_PORT_OFFSET}", f"{instance}\r\n".encode())


class _InstanceSide(Protocol):
    """The connection from the relaying proxy to the instance."""

    def __init__(self, proxy_side: _ProxySide) -> None:
        self._proxy_side = proxy_side

    def connectionMade(self) -> None:  # noqa: N802
        """Start relaying, with back-pressure in both directions."""
        self._proxy_side.attach(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Relay bytes to the other proxy."""
        self._proxy_side.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Close the tunnel."""
        self._proxy_side.close()

    def write(self, data: bytes) -> None:
        """Relay bytes to the instance."""
        transport: Any = self.transport
        if transport is not None:
            transport.write(data)

    def close(self) -> None:
        """Close the connection after the pending bytes are written."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class _ProxySide(LineReceiver):
    """The connection from the other proxy; its first line names the instance."""

    MAX_LENGTH = MAX_NAME_BYTES

    def __init__(self, factory: TunnelFactory) -> None:
        self._factory = factory
        self._instance_side: _InstanceSide | None = None
        self._buffered: list[bytes] = []
        self._is_counted = False
        self._name_timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start the timeout for the first line."""
        transport: Any = self.transport
        self._name_timer = self._factory.reactor.callLater(
            NAME_TIMEOUT_S, transport.abortConnection
        )

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Connect to the named instance; close if it is unknown or there are too many tunnels."""
        self._stop_name_timer()
        self._factory.guard.mark_used(self)
        self.setRawMode()  # type: ignore[no-untyped-call]
        address = self._factory.find_address(line.decode("latin-1"))
        if address is None or self._factory.tunnel_count >= MAX_TUNNELS:
            self.close()
            return
        self._factory.tunnel_count += 1
        self._is_counted = True
        # What has arrived already is buffered; more is read once the instance is connected.
        transport: Any = self.transport
        transport.pauseProducing()
        host, _, port = address.rpartition(":")
        self._factory.reactor.connectTCP(
            host, int(port), _InstanceSideFactory(self), timeout=CONNECT_TIMEOUT_S
        )

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Relay bytes to the instance; they are buffered until it is connected."""
        if self._instance_side is None:
            self._buffered.append(data)
        else:
            self._instance_side.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Close the tunnel."""
        self._stop_name_timer()
        self._factory.guard.remove(self)
        if self._is_counted:
            self._factory.tunnel_count -= 1
        if self._instance_side is not None:
            self._instance_side.close()

    def attach(self, instance_side: _InstanceSide) -> None:
        """Attach the connection to the instance and send the buffered bytes to it."""
        self._instance_side = instance_side
        proxy_transport: Any = self.transport
        instance_transport: Any = instance_side.transport
        if not proxy_transport.connected:
            instance_side.close()
            return
        proxy_transport.registerProducer(instance_transport, True)
        instance_transport.registerProducer(proxy_transport, True)
        for data in self._buffered:
            instance_side.write(data)
        self._buffered.clear()
        proxy_transport.resumeProducing()

    def close_for_room(self) -> None:
        """Close the tunnel, which has named no instance, for another one."""
        transport: Any = self.transport
        transport.abortConnection()

    def _stop_name_timer(self) -> None:
        if self._name_timer is not None and self._name_timer.active():
            self._name_timer.cancel()

    def write(self, data: bytes) -> None:
        """Relay bytes to the other proxy."""
        transport: Any = self.transport
        transport.write(data)

    def close(self) -> None:
        """Close the connection after the pending bytes are written."""
        transport: Any = self.transport
        if transport is not None:
            transport.unregisterProducer()
            transport.loseConnection()


class _InstanceSideFactory(ClientFactory):
    """Connects one tunnel to its instance; a failure closes the tunnel."""

    noisy = False

    def __init__(self, proxy_side: _ProxySide) -> None:
        self._proxy_side = proxy_side

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:  # noqa: N802
        """Return the protocol of the connection to the instance."""
        return _InstanceSide(self._proxy_side)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802
        """Close the tunnel."""
        self._proxy_side.close()


class TunnelFactory(ServerFactory):
    """Accepts tunnels from other proxies.

    `find_address` returns the address of an instance, or None if it is unknown.
    """

    noisy = False

    def __init__(
        self, reactor: Any, find_address: Callable[[str], str | None], guard: PortGuard
    ) -> None:
        self.reactor = reactor
        self.guard = guard
        self.find_address = find_address
        # Number of tunnels that are connected or connecting to an instance.
        self.tunnel_count = 0

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:  # noqa: N802
        """Return the protocol of an incoming tunnel; None if there are too many."""
        proxy_side = _ProxySide(self)
        return proxy_side if self.guard.may_serve(proxy_side) else None
