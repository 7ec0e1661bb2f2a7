"""The channel to one connection owner, and the requests that wait for its responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed

from orioleplank.gateway._channels import Channel, ChannelDialer, ChannelLostError
from orioleplank.gateway._frames import (
    MAX_FRAME_BYTES,
    Answered,
    NotSent,
    Reported,
    RequestFrame,
    ResponseFrame,
    Unanswered,
    decode_frame,
    encode_frame,
)
from orioleplank.gateway._interfaces import CallerLeftError

# How long an owner that is unreachable, or cannot reach the instance, is avoided, in seconds. This
# is long enough to try all other owners.
OWNER_AVOIDANCE_S = 3.0
# An owner that has sent nothing for this long while a response was due counts as unresponsive, in
# seconds: several round trips between regions.
SILENCE_TIMEOUT_S = 0.4


class OwnerChannel:
    """The channel to one owner, with the requests that wait for a response on it.

    It is opened on first use, and reopened on the next use after it broke.
    """

    def __init__(self, address: str, dialer: ChannelDialer, now: Callable[[], float]) -> None:
        self._address = address
        self._dialer = dialer
        self._now = now
        self._channel: Channel | None = None
        self._is_opening = False
        self._unsent_frames: list[bytes] = []
        self._pending_responses: dict[int, Deferred[ResponseFrame]] = {}
        # When each pending request was sent, oldest first, and when the last frame was received,
        # in seconds.
        self._sent_at: dict[int, float] = {}
        self._last_received_at = now()
        # Until when the owner is avoided because it was unresponsive, in seconds.
        self._avoided_until = float("-inf")

    @property
    def is_unresponsive(self) -> bool:
        """True while the owner is avoided, or has a response due and sent nothing for a while.

        Requests go to other owners in the meantime.
        """
        now = self._now()
        if now < self._avoided_until:
            return True
        oldest_sent_at = next(iter(self._sent_at.values()), now)
        return now - max(oldest_sent_at, self._last_received_at) >= SILENCE_TIMEOUT_S

    def send_request(self, frame: Any) -> Deferred[ResponseFrame]:
        """Send a request; the response is `NotSent` or `Unanswered` if the channel fails.

        One larger than a frame is not sent: it would end the channel for all other requests.
        """
        data = encode_frame(frame)
        if len(data) > MAX_FRAME_BYTES:
            reason = f"with the session's values it has over {MAX_FRAME_BYTES} bytes"
            return succeed(NotSent(frame.correlation_id, reason, False))
        result: Deferred[ResponseFrame] = Deferred()
        self._pending_responses[frame.correlation_id] = result
        self._sent_at[frame.correlation_id] = self._now()
        self._send_data(data)
        return result

    def send_frame(self, frame: RequestFrame) -> None:
        """Send a frame, opening the channel first if needed."""
        self._send_data(encode_frame(frame))

    def _send_data(self, data: bytes) -> None:
        if self._channel is not None:
            self._channel.send(data)
            return
        self._unsent_frames.append(data)
        if not self._is_opening:
            self._is_opening = True
            self._dialer.open(self._address, self).addCallbacks(
                self._handle_opened, self._handle_open_failure
            )

    def close(self) -> None:
        """Close the channel; pending requests may have run."""
        if self._channel is not None:
            self._channel.close()

    def abandon_request(self, correlation_id: int, sent_at: float) -> None:
        """Stop waiting for a response; `sent_at` is when its request was sent, in seconds.

        If the owner has sent nothing since then for `SILENCE_TIMEOUT_S`, it is avoided and the
        channel is closed.
        """
        self._pending_responses.pop(correlation_id, None)
        self._sent_at.pop(correlation_id, None)
        now = self._now()
        if self._last_received_at < sent_at and now - sent_at >= SILENCE_TIMEOUT_S:
            self._avoided_until = now + OWNER_AVOIDANCE_S
            self.close()

    def fail_abandoned(self, correlation_id: int, error: CallerLeftError) -> None:
        """Fail a request whose caller has left; this shows nothing about the owner."""
        result = self._pending_responses.pop(correlation_id, None)
        self._sent_at.pop(correlation_id, None)
        if result is not None and not result.called:
            result.errback(error)

    # Events of the channel.

    def handle_frame(self, frame: bytes) -> None:
        """Handle a response; a response that nobody waits for is dropped."""
        self._last_received_at = self._now()
        response = decode_frame(frame)
        match response:
            case Answered() | Reported() | NotSent() | Unanswered():
                self._resolve(response.correlation_id, response)
            case _:
                self.close()

    def handle_channel_closed(self) -> None:
        """Resolve pending requests as unanswered, since they may have run."""
        self._channel = None
        for correlation_id in list(self._pending_responses):
            self._resolve(
                correlation_id, Unanswered(correlation_id, "the channel to its owner broke")
            )

    def _handle_opened(self, channel: Channel) -> None:
        self._is_opening = False
        self._channel = channel
        unsent_frames, self._unsent_frames = self._unsent_frames, []
        for data in unsent_frames:
            channel.send(data)

    def _handle_open_failure(self, failure: Any) -> None:
        failure.trap(ChannelLostError)
        self._is_opening = False
        self._unsent_frames.clear()
        for correlation_id in list(self._pending_responses):
            self._resolve(correlation_id, NotSent(correlation_id, "its owner is not reached", True))

    def _resolve(self, correlation_id: int, response: ResponseFrame) -> None:
        result = self._pending_responses.pop(correlation_id, None)
        self._sent_at.pop(correlation_id, None)
        if result is not None and not result.called:
            result.callback(response)
