"""Tests of the encoding of tokens, requests and replies."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from orioleplank import MalformedRequestError, MalformedTokenError
from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank.decision.quorum import (
    CurrentFreshness,
    DidRun,
    MaxAgeFreshness,
    Mechanism,
    Person,
    Position,
    Program,
    Refusal,
    RefusalReason,
    SessionToken,
)
from orioleplank.wire import decode_request, decode_token, encode_reply, encode_token

SERVICES = st.text(st.characters(codec="utf-8"), min_size=1, max_size=20)
POSITIONS = st.builds(Position, st.integers(1, 2**60), st.integers(1, 2**60))


class TokenTest(TestCase):
    @given(st.dictionaries(SERVICES, POSITIONS, max_size=5))
    def test_decoding_an_encoded_token_returns_the_token(
        self, positions: dict[str, Position]
    ) -> None:
        token = SessionToken()
        for service, position in positions.items():
            token = token.advance(service, position)
        self.assertEqual(token, decode_token(encode_token(token)))

    @given(st.binary(min_size=1, max_size=200))
    def test_random_bytes_are_a_malformed_token(self, data: bytes) -> None:
        self.assertRaises(MalformedTokenError, decode_token, data)

    @given(st.integers(0, 30), st.integers(1, 255))
    def test_token_with_a_changed_byte_is_malformed(self, index: int, change: int) -> None:
        data = bytearray(encode_token(SessionToken().advance("quotes-1", Position(7, 9))))
        data[index % len(data)] ^= change
        self.assertRaises(MalformedTokenError, decode_token, bytes(data))


class RequestTest(TestCase):
    def test_invalid_requests_are_malformed(self) -> None:
        cases = {
            "no id": pb.CallerRequest(service="s"),
            "id too long": pb.CallerRequest(id="x" * 129),
            "step outside a transaction": pb.CallerRequest(id="a", operation=pb.OPERATION_STEP),
            "max age of zero": pb.CallerRequest(
                id="a", new_session=True, freshness=pb.FRESHNESS_MAX_AGE
            ),
        }
        for name, message in cases.items():
            with self.subTest(name):
                self.assertRaises(MalformedRequestError, decode_request, message, 0.0, 5.0)

    def test_missing_token_in_existing_session_requires_current_data(self) -> None:
        message = pb.CallerRequest(id="a", freshness=pb.FRESHNESS_MAX_AGE, max_age_ms=500)
        self.assertEqual(CurrentFreshness(), decode_request(message, 0.0, 5.0).freshness)
        message.new_session = True
        self.assertEqual(MaxAgeFreshness(0.5), decode_request(message, 0.0, 5.0).freshness)

    def test_deadline_follows_from_request_or_default_timeout(self) -> None:
        message = pb.CallerRequest(id="a", timeout_ms=250)
        self.assertEqual(10.25, decode_request(message, 10.0, 5.0).deadline)
        message.timeout_ms = 0
        self.assertEqual(15.0, decode_request(message, 10.0, 5.0).deadline)


class RefusalTest(TestCase):
    def test_refusal_names_the_person_or_the_mechanism(self) -> None:
        person = Refusal(RefusalReason.PRESET, Person("bo", "c-1", 5.0), DidRun.NO, "admit")
        message = encode_reply("a", person, False).refusal
        self.assertEqual(
            ("bo", "c-1", "", "preset"),
            (message.person, message.change_id, message.mechanism, message.reason),
        )
        program = Refusal(
            RefusalReason.DEADLINE, Program(Mechanism.DEADLINE), DidRun.UNKNOWN, "run"
        )
        message = encode_reply("a", program, True).refusal
        self.assertEqual(("", "deadline"), (message.person, message.mechanism))
        self.assertEqual(pb.DID_RUN_UNKNOWN, message.did_run)
