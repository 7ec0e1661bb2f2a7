"""A channel of a proxy to itself, for when it reaches no owner of an instance's connections."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed

from orioleplank.gateway._channels import Channel, FrameHandler


class _End:
    """One end; what is sent arrives at once at the other."""

    def __init__(self) -> None:
        self.listener: FrameHandler | None = None

    def send(self, frame: bytes) -> None:
        """Hand a frame over."""
        if self.listener is not None:
            self.listener.handle_frame(frame)

    def close(self) -> None:
        """End the channel."""
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.handle_channel_closed()


class LoopbackChannelDialer:
    """Opens channels to this proxy's own carrier; implements `ChannelDialer`."""

    def __init__(self, accept: Callable[[Channel], FrameHandler]) -> None:
        self._accept = accept

    def open(self, address: str, listener: FrameHandler) -> Deferred[Channel]:
        """Open a channel; it never fails."""
        there, back = _End(), _End()
        back.listener = listener
        there.listener = self._accept(back)
        return succeed(there)
