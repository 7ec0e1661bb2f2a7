"""Frames between proxies: encoding round trips, invalid bytes, and framing on a channel."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from orioleplank.decision import Position
from orioleplank.decision.session import (
    AccessMode,
    ExecutePrepared,
    Failure,
    FailureCode,
    PreparedStatement,
    Read,
    Reply,
    TransactionState,
    Write,
)
from orioleplank.gateway._channels import ChannelProtocol
from orioleplank.gateway._frames import (
    MAX_FRAME_BYTES,
    Answered,
    NotSent,
    RunAsked,
    Unanswered,
    decode_frame,
    decode_reply,
    decode_statement,
    encode_frame,
    encode_reply,
    encode_response,
    encode_statement,
)
from orioleplank.gateway._owner_channel import OwnerChannel

_TEXT = st.text(st.characters(max_codepoint=255), max_size=50)
_STATEMENTS = st.one_of(
    st.builds(Read, _TEXT),
    st.builds(Write, _TEXT),
    st.builds(
        ExecutePrepared, st.builds(PreparedStatement, st.sampled_from(AccessMode), _TEXT), _TEXT
    ),
)
_POSITIONS = st.none() | st.builds(Position, st.integers(0, 2**40), st.integers(0, 2**40))
_REPLIES = st.builds(
    Reply,
    st.lists(_TEXT, max_size=3).map(tuple),
    _TEXT,
    st.none()
    | st.builds(Failure, st.sampled_from(FailureCode), _TEXT, st.none() | st.floats(0.0, 60.0)),
    st.sampled_from(TransactionState),
    _POSITIONS,
)


class TestFrames(testtools.TestCase):
    @given(_STATEMENTS)
    def test_statement_is_unchanged_after_encoding_and_decoding(
        self, statement: Read | Write | ExecutePrepared
    ) -> None:
        mode, prepared_text, arguments = encode_statement(statement)
        frame = RunAsked(
            1, 2, "i-1", 0, 0.5, {"v": "1"}, None, "r1", mode, prepared_text, arguments, True
        )
        decoded = decode_frame(encode_frame(frame))
        self.assertEqual(frame, decoded)
        assert isinstance(decoded, RunAsked)
        self.assertEqual(statement, decode_statement(decoded))

    @given(_REPLIES)
    def test_reply_is_unchanged_after_encoding_and_decoding(self, reply: Reply) -> None:
        decoded = decode_frame(encode_frame(encode_reply(7, reply)))
        self.assertEqual(reply, decode_reply(decoded))  # type: ignore[arg-type]

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_decode_to_none_or_a_valid_frame(self, data: bytes) -> None:
        frame = decode_frame(data)
        if frame is not None:
            self.assertEqual(frame, decode_frame(encode_frame(frame)))


class _PreviousFrame(msgspec.Struct, frozen=True, array_like=True):
    """Base of the frames of the previous version, which have the same tags."""


class _PreviousAnswered(_PreviousFrame, frozen=True, tag="Answered"):
    correlation_id: int
    rows: tuple[str, ...]
    signature: str
    failure: tuple[FailureCode, str] | None
    state: TransactionState
    position: tuple[int, int] | None
    retry_after: float | None = None


class _PreviousNotSent(_PreviousFrame, frozen=True, tag="NotSent"):
    correlation_id: int
    reason: str
    is_unreachable: bool
    retry_after: float | None = None


class _PreviousUnanswered(_PreviousFrame, frozen=True, tag="Unanswered"):
    correlation_id: int
    reason: str


class TestOwnerLoad(testtools.TestCase):
    """The load in responses, beside proxies of the previous version, which do not know it."""

    load = (3, 5, 6, 40)

    def _responses(self) -> tuple[Any, ...]:
        return (
            encode_reply(7, Reply(("a",), "s"), self.load),
            NotSent(8, "full", False, 0.5, self.load),
            Unanswered(9, "late", self.load),
        )

    def test_load_is_unchanged_after_encoding_and_decoding(self) -> None:
        for response in self._responses():
            self.assertEqual(response, decode_frame(encode_frame(response)))

    def test_previous_version_decodes_responses_with_a_load(self) -> None:
        previous: Any = msgspec.msgpack.Decoder(
            _PreviousAnswered | _PreviousNotSent | _PreviousUnanswered
        )
        decoded = [previous.decode(encode_frame(response)) for response in self._responses()]
        self.assertEqual([7, 8, 9], [frame.correlation_id for frame in decoded])

    def test_responses_of_the_previous_version_have_no_load(self) -> None:
        answered = _PreviousAnswered(7, (), "s", None, TransactionState.IDLE, None)
        for frame in (
            answered,
            _PreviousNotSent(8, "full", False),
            _PreviousUnanswered(9, "late"),
        ):
            decoded = decode_frame(msgspec.msgpack.encode(frame))
            assert isinstance(decoded, Answered | NotSent | Unanswered)
            self.assertIsNone(decoded.load)

    def test_load_adds_few_bytes(self) -> None:
        """Links between proxies carry 5 Mbit/s, and traffic between regions costs money."""
        with_load = encode_frame(encode_reply(7, Reply(("a",), "s"), (300, 26, 26, 5_000)))
        without = encode_frame(encode_reply(7, Reply(("a",), "s")))
        self.assertLessEqual(len(with_load) - len(without), 9)


class _RecordingHandler:
    def __init__(self) -> None:
        self.frames: list[bytes] = []
        self.closed_count = 0

    def handle_frame(self, frame: bytes) -> None:
        self.frames.append(frame)

    def handle_channel_closed(self) -> None:
        self.closed_count += 1


class _Transport(StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def getHandle(self) -> _Transport:  # noqa: N802
        return self

    def setsockopt(self, *arguments: int) -> None:
        pass


class TestChannel(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        build_transport: Any = _Transport
        build_protocol: Any = ChannelProtocol
        self.handler, self.transport = _RecordingHandler(), build_transport()
        self.protocol = build_protocol()
        self.protocol.handler = self.handler
        self.protocol.makeConnection(self.transport)

    def test_frames_are_reassembled_when_received_byte_by_byte(self) -> None:
        for byte in b"\0\0\0\x02ab\0\0\0\x01c":
            self.protocol.dataReceived(bytes([byte]))
        self.assertEqual([b"ab", b"c"], self.handler.frames)

    def test_channel_is_closed_when_a_frame_is_too_large(self) -> None:
        self.protocol.dataReceived((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))
        self.assertTrue(self.transport.disconnected)
        self.assertEqual([], self.handler.frames)


class TestTooLargeFrames(testtools.TestCase):
    """Guards against one request or reply that ends a channel with all others on it."""

    def test_large_reply_is_replaced_by_a_failure_that_leaves_open_whether_it_ran(self) -> None:
        reply = Reply(("r" * MAX_FRAME_BYTES,), "7.1f", None, TransactionState.OPEN)
        data = encode_response(encode_reply(7, reply))
        self.assertLess(len(data), 1000)
        frame: Any = decode_frame(data)
        decoded = decode_reply(frame)
        self.assertEqual(7, frame.correlation_id)
        self.assertEqual(TransactionState.OPEN, decoded.state)
        assert decoded.failure is not None
        self.assertEqual(FailureCode.IN_DOUBT, decoded.failure.code)
        self.assertIn("may have run", decoded.failure.detail)

    def test_other_replies_are_unchanged(self) -> None:
        answered = encode_reply(7, Reply(("oak",), "7.1f"))
        self.assertEqual(encode_frame(answered), encode_response(answered))

    def test_large_request_is_answered_as_not_sent(self) -> None:
        channel = OwnerChannel("10.0.0.1:7440", mock.Mock(), lambda: 0.0)
        frame = RunAsked(
            link_id=1,
            correlation_id=9,
            instance="db-a",
            priority=1,
            timeout=1.0,
            values={"n": "v" * MAX_FRAME_BYTES},
            min_position=None,
            request_id="r",
            mode=AccessMode.READ,
            prepared_text=None,
            arguments="a",
            in_transaction=False,
        )
        responses: list[Any] = []
        channel.send_request(frame).addCallback(responses.append)
        self.assertIsInstance(responses[0], NotSent)
        self.assertFalse(responses[0].is_unreachable)
        self.assertFalse(channel.is_unresponsive)
