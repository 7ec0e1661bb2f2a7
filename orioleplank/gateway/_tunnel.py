"""Tunnels: a proxy that reaches an instance carries bytes for one that does not.

The proxy at the far end still speaks to the instance itself and checks its own lease; the one in
between decides nothing and changes nothing.
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
from orioleplank.gateway._interfaces import TunnelRoute

# Ports between the address for peers and the one for tunnels.
TUNNEL_PORT_OFFSET = 2
# Time to reach the instance, in seconds.
CONNECT_LIMIT_S = 1.0
# Tunnels that one proxy carries at once.
TUNNEL_LIMIT = 200
# Longest name of an instance, in bytes.
NAME_LIMIT = 200


def build_tunnel_route(peer: ProxyRecord, instance: str) -> TunnelRoute:
    """Return the way to an instance through a peer."""
    host, _, port = peer.address.rpartition(":")
    return TunnelRoute(f"{host}:{int(port) + TUNNEL_PORT_OFFSET}", f"{instance}\r\n".encode())


class _FarEnd(Protocol):
    """The connection to the instance."""

    def __init__(self, near: _NearEnd) -> None:
        self._near = near

    def connectionMade(self) -> None:  # noqa: N802
        """Let the bytes flow, each side as fast as the other takes them."""
        self._near.join(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes to the other proxy."""
        self._near.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the tunnel."""
        self._near.end()

    def write(self, data: bytes) -> None:
        """Pass bytes to the instance."""
        transport: Any = self.transport
        if transport is not None:
            transport.write(data)

    def end(self) -> None:
        """End the connection."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class _NearEnd(LineReceiver):
    """The connection of the other proxy; its first line names the instance."""

    MAX_LENGTH = NAME_LIMIT

    def __init__(self, factory: TunnelFactory) -> None:
        self._factory = factory
        self._far: _FarEnd | None = None
        self._early: list[bytes] = []
        self._is_counted = False

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Connect to the instance that is named."""
        self.setRawMode()  # type: ignore[no-untyped-call]
        address = self._factory.find_address(line.decode("latin-1"))
        if address is None or self._factory.carried >= TUNNEL_LIMIT:
            self.end()
            return
        self._factory.carried += 1
        self._is_counted = True
        host, _, port = address.rpartition(":")
        self._factory.reactor.connectTCP(
            host, int(port), _FarFactory(self), timeout=CONNECT_LIMIT_S
        )

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes to the instance, once it is reached."""
        if self._far is None:
            self._early.append(data)
        else:
            self._far.write(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the tunnel."""
        if self._is_counted:
            self._factory.carried -= 1
        if self._far is not None:
            self._far.end()

    def join(self, far: _FarEnd) -> None:
        """Take the connection to the instance."""
        self._far = far
        near_transport: Any = self.transport
        far_transport: Any = far.transport
        if not near_transport.connected:
            far.end()
            return
        near_transport.registerProducer(far_transport, True)
        far_transport.registerProducer(near_transport, True)
        for data in self._early:
            far.write(data)
        self._early.clear()

    def write(self, data: bytes) -> None:
        """Pass bytes to the other proxy."""
        transport: Any = self.transport
        transport.write(data)

    def end(self) -> None:
        """End the connection."""
        transport: Any = self.transport
        if transport is not None:
            transport.unregisterProducer()
            transport.loseConnection()


class _FarFactory(ClientFactory):
    """Connects one tunnel to its instance; a failure ends the tunnel."""

    noisy = False

    def __init__(self, near: _NearEnd) -> None:
        self._near = near

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:  # noqa: N802
        """Return the far end."""
        return _FarEnd(self._near)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:  # noqa: N802
        """End the tunnel."""
        self._near.end()


class TunnelFactory(ServerFactory):
    """Takes tunnels of other proxies."""

    noisy = False

    def __init__(self, reactor: Any, find_address: Callable[[str], str | None]) -> None:
        self.reactor = reactor
        self.find_address = find_address
        # Tunnels that are open.
        self.carried = 0

    def buildProtocol(self, addr: IAddress | None) -> Protocol | None:  # noqa: N802
        """Return the near end of a tunnel."""
        return _NearEnd(self)
