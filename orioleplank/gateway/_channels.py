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
from orioleplank.gateway._intake import (
    Intake,
    LimitReason,
    LimitSide,
    PortGuard,
    count_unsent_bytes,
)

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

    def __init__(self, handler: FrameHandler | None = None, intake: Intake | None = None) -> None:
        self.handler = handler
        # None on the side that opened the channel; it chose the other end itself.
        self._intake = intake
        # Guard of the port at which the channel was accepted.
        self.guard: PortGuard | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Disable send delays, and set TCP timeouts that detect an unresponsive peer."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        set_tcp_timeouts(transport.getHandle())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a part of a frame or several frames."""
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        self._record()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Pass a frame to the handler."""
        if self.guard is not None:
            self.guard.mark_used(self)
        if self.handler is not None:
            self.handler.handle_frame(string)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close a channel on which a frame is too large."""
        self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Inform the handler."""
        if self._intake is not None:
            self._intake.forget(self)
            self._intake = None
        if self.guard is not None:
            self.guard.remove(self)
        handler, self.handler = self.handler, None
        if handler is not None:
            handler.handle_channel_closed()

    def send(self, frame: bytes) -> None:
        """Send a frame; it may be lost if the channel breaks."""
        if self.transport is not None:
            self.sendString(frame)  # type: ignore[no-untyped-call]
            self._record()

    def close(self) -> None:
        """Close the channel; frames that are still being sent may be lost."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def count_held_bytes(self) -> int:
        """Return the bytes of an unfinished frame, and those that the peer has not read."""
        return len(self.recvd) + count_unsent_bytes(self.transport)

    def close_for_budget(self) -> None:
        """Close the channel, because the process holds too much and most of it here."""
        self._close_for_limit(LimitReason.PROCESS)

    def close_for_room(self) -> None:
        """Close the channel, because another one takes its place."""
        self.close()

    def _record(self) -> None:
        if self._intake is None:
            return
        if count_unsent_bytes(self.transport) > self._intake.limits.unread_bytes:
            self._close_for_limit(LimitReason.UNREAD)
        self._intake.record(self)

    def _close_for_limit(self, reason: LimitReason) -> None:
        if self._intake is not None:
            self._intake.report(LimitSide.CHANNEL, reason, bytes=self.count_held_bytes())
        self.close()


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

    def __init__(self, accept: Callable[[Channel], FrameHandler], intake: Intake) -> None:
        self._accept = accept
        self._intake = intake
        self._guard = intake.build_peer_guard(LimitSide.CHANNEL)

    def buildProtocol(self, addr: IAddress | None) -> ChannelProtocol | None:  # noqa: N802
        """Return the protocol of an incoming channel; None if there are too many."""
        protocol = ChannelProtocol(intake=self._intake)
        protocol.guard = self._guard
        if not self._guard.may_serve(protocol):
            return None
        protocol.handler = self._accept(protocol)
        return protocol
