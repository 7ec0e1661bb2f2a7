"""A channel from a proxy to itself, used when no connection owner of an instance is reachable."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed

from orioleplank.gateway._channels import Channel, FrameHandler


class _ChannelEnd:
    """One end of the channel.

    A sent frame is passed synchronously to `handler`, the frame handler of the other end.
    """

    def __init__(self) -> None:
        self.handler: FrameHandler | None = None
        # The other end; set once both exist.
        self.peer: _ChannelEnd | None = None

    def send(self, frame: bytes) -> None:
        if self.handler is not None:
            self.handler.handle_frame(frame)

    def close(self) -> None:
        """Close the channel; the handlers of both ends are informed, as over TCP."""
        handler, self.handler = self.handler, None
        if handler is None:
            return
        handler.handle_channel_closed()
        if self.peer is not None:
            self.peer.close()


class LoopbackChannelDialer:
    """Opens channels to this proxy's own forwarding server; implements `ChannelDialer`."""

    def __init__(self, accept: Callable[[Channel], FrameHandler]) -> None:
        self._accept = accept

    def open(self, address: str, handler: FrameHandler) -> Deferred[Channel]:
        """Open a channel to this proxy, whatever the address is; it never fails."""
        client_end, server_end = _ChannelEnd(), _ChannelEnd()
        client_end.peer, server_end.peer = server_end, client_end
        server_end.handler = handler
        client_end.handler = self._accept(server_end)
        return succeed(client_end)
