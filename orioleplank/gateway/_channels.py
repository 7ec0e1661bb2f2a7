"""Persistent connections between proxies that carry length-prefixed frames."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientCreator, ServerFactory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from orioleplank._exceptions import OrioleplankError
from orioleplank._socket_options import set_tcp_timeouts
from orioleplank.gateway._frames import MAX_FRAME_BYTES

# Offset of the port for channels from the port for peers.
CHANNEL_PORT_OFFSET = 3
# Timeout for opening a channel, in seconds: several round trips between regions.
OPEN_TIMEOUT_S = 0.5


class ChannelLostError(OrioleplankError):
    """A channel to another proxy could not be opened, or broke."""


class Channel(Protocol):
    """One end of a channel between two proxies."""

    def send(self, frame: bytes) -> None:
        """Send a frame; it may be lost if the channel breaks."""

    def close(self) -> None:
        """Close the channel; frames that are still being sent may be lost."""


class FrameHandler(Protocol):
    """Receives the frames of a channel and the notice of its end."""

    def handle_frame(self, frame: bytes) -> None:
        """Handle a received frame."""

    def handle_channel_closed(self) -> None:
        """Handle the closing of the channel, by either end or by a failure."""


class ChannelDialer(Protocol):
    """Opens channels to other proxies."""

    def open(self, address: str, handler: FrameHandler) -> Deferred[Channel]:
        """Open a channel to the proxy whose peer address is `address`, as HOST:PORT.

        Fails with `ChannelLostError`.
        """


class ChannelProtocol(Int32StringReceiver):
    """One end of a channel over TCP."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, handler: FrameHandler | None = None) -> None:
        self.handler = handler

    def connectionMade(self) -> None:  # noqa: N802
        """Disable send delays, and set TCP timeouts that detect an unresponsive peer."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        set_tcp_timeouts(transport.getHandle())

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Pass a frame to the handler."""
        if self.handler is not None:
            self.handler.handle_frame(string)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close a channel on which a frame is too large."""
        self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Inform the handler."""
        handler, self.handler = self.handler, None
        if handler is not None:
            handler.handle_channel_closed()

    def send(self, frame: bytes) -> None:
        """Send a frame; it may be lost if the channel breaks."""
        if self.transport is not None:
            self.sendString(frame)  # type: ignore[no-untyped-call]

    def close(self) -> None:
        """Close the channel; frames that are still being sent may be lost."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


class TcpChannelDialer:
    """Opens channels over TCP; implements `ChannelDialer`."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def open(self, address: str, handler: FrameHandler) -> Deferred[Channel]:
        """Open a channel to the proxy whose peer address is `address`, as HOST:PORT."""
        host, _, port = address.rpartition(":")

        def raise_channel_lost(failure: Failure) -> Failure:
            detail = type(failure.value).__name__
            raise ChannelLostError("open channel", address, detail)

        opening: Any = ClientCreator(self._reactor, ChannelProtocol, handler).connectTCP(
            host, int(port) + CHANNEL_PORT_OFFSET, timeout=OPEN_TIMEOUT_S
        )
        opened: Deferred[Channel] = opening.addErrback(raise_channel_lost)
        return opened


class ChannelFactory(ServerFactory):
    """Accepts channels from other proxies; `accept` returns the frame handler of each."""

    noisy = False

    def __init__(self, accept: Callable[[Channel], FrameHandler]) -> None:
        self._accept = accept

    def buildProtocol(self, addr: IAddress | None) -> ChannelProtocol:  # noqa: N802
        """Return the protocol of an incoming channel."""
        protocol = ChannelProtocol()
        protocol.handler = self._accept(protocol)
        return protocol
