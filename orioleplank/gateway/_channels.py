"""Kept connections between proxies that carry frames, each with its length before it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from orioleplank._exceptions import OrioleplankError
from orioleplank._socket_options import set_tcp_timeouts
from orioleplank.gateway._frames import MAX_FRAME_BYTES

# Ports between the address for peers and the one for channels.
CHANNEL_PORT_OFFSET = 3
# Time to open a channel, in seconds: several round trips between regions.
OPEN_LIMIT_S = 0.5


class ChannelLostError(OrioleplankError):
    """A channel to another proxy could not be opened, or broke."""


class Channel(Protocol):
    """One end of a channel."""

    def send(self, frame: bytes) -> None:
        """Send a frame; it is lost when the channel breaks."""

    def close(self) -> None:
        """End the channel."""


class FrameHandler(Protocol):
    """Who takes what comes over a channel."""

    def handle_frame(self, frame: bytes) -> None:
        """Take a frame."""

    def handle_channel_closed(self) -> None:
        """Take the end of the channel."""


class ChannelDialer(Protocol):
    """Opens channels to other proxies."""

    def open(self, address: str, listener: FrameHandler) -> Deferred[Channel]:
        """Open a channel to the proxy whose address for peers is HOST:PORT.

        Fails with `ChannelLostError`.
        """


class ChannelProtocol(Int32StringReceiver):
    """One end of a channel over TCP."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self) -> None:
        self.handler: FrameHandler | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send at once, and notice a silent peer."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        set_tcp_timeouts(transport.getHandle())

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take a frame."""
        if self.handler is not None:
            self.handler.handle_frame(string)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """End a channel whose frame is too large."""
        self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell the listener."""
        listener, self.handler = self.handler, None
        if listener is not None:
            listener.handle_channel_closed()

    def send(self, frame: bytes) -> None:
        """Send a frame; it is lost when the channel breaks."""
        if self.transport is not None:
            self.sendString(frame)  # type: ignore[no-untyped-call]

    def close(self) -> None:
        """End the channel."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


class TcpChannelDialer:
    """Opens channels over TCP; implements `ChannelDialer`."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def open(self, address: str, listener: FrameHandler) -> Deferred[Channel]:
        """Open a channel to the proxy whose address for peers is HOST:PORT."""
        host, _, port = address.rpartition(":")
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, int(port) + CHANNEL_PORT_OFFSET, timeout=OPEN_LIMIT_S
        )
        protocol = ChannelProtocol()
        protocol.handler = listener

        def fail(failure: Failure) -> Failure:
            detail = type(failure.value).__name__
            raise ChannelLostError("open channel", address, detail)

        opening: Any = connectProtocol(endpoint, protocol)
        opened: Deferred[Channel] = opening.addErrback(fail)
        return opened


class ChannelFactory(ServerFactory):
    """Takes channels of other proxies."""

    noisy = False

    def __init__(self, accept: Callable[[Channel], FrameHandler]) -> None:
        self._accept = accept

    def buildProtocol(self, addr: IAddress | None) -> ChannelProtocol:  # noqa: N802
        """Return this proxy's end of a channel."""
        protocol = ChannelProtocol()
        protocol.handler = self._accept(protocol)
        return protocol
