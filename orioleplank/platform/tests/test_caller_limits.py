"""Tests of the limits of a caller's connection: whom they meet, and what the caller is told."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock

from orioleplank.decision.intake import CallerLimits
from orioleplank.decision.session import Reply
from orioleplank.platform._caller import MESSAGES_PER_TURN, CallerFactory
from orioleplank.platform._codec import MAX_MESSAGE_BYTES
from orioleplank.platform.tests._intake import RecordingIntake
from orioleplank.platform.tests.test_caller import CallerTestCase

LIMITS = CallerLimits(
    process_bytes=4 * MAX_MESSAGE_BYTES,
    unread_bytes=1000,
    unread_timeout=60.0,
    message_timeout=60.0,
)


class LimitTestCase(CallerTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.transport.dataBuffer = b""
        self.feed(b"STARTUP lepu270 u3f1\r\n")

    def build_intake(self) -> RecordingIntake:
        """Return limits that a test can meet."""
        return RecordingIntake(LIMITS)

    @property
    def sent(self) -> bytes:
        """What the caller was sent since the last `feed`."""
        return bytes(self.transport.value())


class TestOrdinaryCallers(LimitTestCase):
    """Guards against limits that callers inside the protocol meet."""

    def test_message_of_exactly_one_mebibyte_is_served(self) -> None:
        line = b"QUERY 1 READ ".ljust(MAX_MESSAGE_BYTES, b"x")
        for start in range(0, len(line), 65536):
            self.feed(line[start : start + 65536])
        self.feed(b"\r")
        self.assertEqual(b"", self.feed(b"\n"))
        self.assertEqual(1, len(self.sessions.session.requests))
        self.assertEqual([], self.intake.reports)

    def test_one_more_byte_is_refused_by_the_program(self) -> None:
        sent = self.feed(b"QUERY 1 READ ".ljust(MAX_MESSAGE_BYTES + 1, b"x") + b"\r\n")
        self.assertTrue(sent.startswith(b"ERROR TOOBIG program read message: "))
        self.assertEqual([("caller", "message")], self.intake.reports)

    def test_caller_that_reads_its_answers_late_is_not_cut_off(self) -> None:
        self.feed(b"QUERY 1 READ a\r\n")
        self.protocol.pauseProducing()
        self.clock.advance(LIMITS.unread_timeout - 1)
        self.protocol.resumeProducing()
        self.clock.advance(LIMITS.unread_timeout)
        self.assertFalse(self.transport.disconnecting)

    def test_idle_caller_is_not_cut_off(self) -> None:
        self.clock.advance(24 * 3600)
        self.assertFalse(self.transport.disconnecting)

    def test_time_in_which_the_proxy_does_not_read_is_not_counted(self) -> None:
        self.feed(b"QUERY 1 READ")
        self.sessions.session.should_pause_reading = True
        self.protocol.resume_reading()
        self.clock.advance(LIMITS.message_timeout + 1)
        self.assertFalse(self.transport.disconnecting)

    def test_messages_that_each_end_in_time_may_go_on_for_long(self) -> None:
        self.feed(b"QUERY 1 READ")
        for _ in range(4):
            self.clock.advance(LIMITS.message_timeout * 0.6)
            self.feed(b" a\r\nQUERY 1 READ")
            self.protocol.reply(Reply())
        self.assertFalse(self.transport.disconnecting)


class TestRequestsSentAhead(LimitTestCase):
    """Guards against requests that are handled long before they can be answered."""

    def test_short_requests_are_handled_in_turns(self) -> None:
        limits = CallerLimits(ahead_requests=1000)
        self.protocol._limits = limits
        self.feed(b"QUERY 1 READ a\r\n" * 100)
        self.assertEqual(MESSAGES_PER_TURN, len(self.sessions.session.requests))
        self.assertEqual("paused", self.transport.producerState)
        for _ in range(10):
            self.clock.advance(0)
        self.assertEqual(100, len(self.sessions.session.requests))
        self.assertEqual("producing", self.transport.producerState)

    def test_no_more_requests_are_handled_than_may_be_unanswered(self) -> None:
        self.feed(b"QUERY 1 READ a\r\n" * 100)
        self.assertEqual(LIMITS.ahead_requests, len(self.sessions.session.requests))
        self.protocol.reply(Reply())
        self.protocol.resume_reading()
        self.clock.advance(0)
        self.assertEqual(LIMITS.ahead_requests + 1, len(self.sessions.session.requests))

    def test_large_requests_wait_for_the_answers_to_earlier_ones(self) -> None:
        line = b"QUERY 1 READ ".ljust(700_000, b"x") + b"\r\n"
        self.feed(line * 3)
        self.assertEqual(2, len(self.sessions.session.requests))
        self.assertEqual("paused", self.transport.producerState)


class TestCutOff(LimitTestCase):
    """Guards against a refusal that is not true, and against callers that stop half-way."""

    def test_half_sent_message_is_refused_as_not_run(self) -> None:
        self.feed(b"QUERY 1 READ")
        self.clock.advance(LIMITS.message_timeout + 1)
        self.assertTrue(self.sent.startswith(b"ERROR BUSY program close connection: a message"))
        self.assertIn(b"nothing ran", self.sent)
        self.assertEqual([("caller", "message-time")], self.intake.reports)

    def test_caller_with_unanswered_requests_is_told_that_they_may_have_run(self) -> None:
        self.feed(b"QUERY 1 WRITE a b\r\nQUERY 2 RE")
        self.clock.advance(LIMITS.message_timeout + 1)
        self.assertTrue(self.sent.startswith(b"ERROR INDOUBT program close connection"))
        self.assertIn(b"may have run", self.sent)
        self.assertNotIn(b"nothing ran", self.sent)

    def test_reply_after_the_cut_is_dropped(self) -> None:
        self.feed(b"QUERY 1 WRITE a b\r\nQUERY 2 RE")
        self.clock.advance(LIMITS.message_timeout + 1)
        self.protocol.reply(Reply())
        self.assertEqual(1, self.sent.count(b"\r\n"))

    def test_answers_that_are_not_read_in_time_close_the_connection(self) -> None:
        self.transport.dataBuffer = b"x"
        self.protocol.pauseProducing()
        self.clock.advance(LIMITS.unread_timeout + 1)
        self.assertTrue(self.transport.has_aborted)
        self.assertEqual([("caller", "unread-time")], self.intake.reports)

    def test_too_many_unread_bytes_close_the_connection(self) -> None:
        self.feed(b"QUERY 1 READ a\r\n")
        self.transport.dataBuffer = b"x" * (LIMITS.unread_bytes + 1)
        self.protocol.reply(Reply())
        self.assertTrue(self.transport.has_aborted)
        self.assertEqual([("caller", "unread")], self.intake.reports)

    def test_caller_that_holds_the_most_is_closed_over_the_budget(self) -> None:
        self.sessions.session.kept_bytes = LIMITS.process_bytes
        self.feed(b"QUERY 1 READ a\r\n")
        self.assertTrue(self.transport.disconnecting)
        self.assertEqual([("caller", "process")], self.intake.reports)
        self.assertEqual(0, self.intake.held_bytes)

    def test_request_over_the_budget_is_not_started(self) -> None:
        self.sessions.session.kept_bytes = LIMITS.process_bytes
        self.feed(b"QUERY 1 WRITE a b\r\n")
        self.assertEqual([], self.sessions.session.requests)

    def test_lost_connection_holds_nothing(self) -> None:
        self.feed(b"QUERY 1 READ a\r\nQUERY 1 READ")
        self.assertNotEqual(0, self.intake.held_bytes)
        self.protocol.connectionLost()
        self.assertEqual(0, self.intake.held_bytes)
        # The answer to a request that was in progress comes later.
        self.protocol.reply(Reply())
        self.assertEqual((0, 0), (self.intake.held_bytes, len(self.intake.callers)))
        self.clock.advance(LIMITS.message_timeout + 1)
        self.assertEqual([], self.intake.reports)


class TestConnectionLimit(CallerTestCase):
    """Guards against idle connections that keep ordinary callers out."""

    def setUp(self) -> None:
        super().setUp()
        self.intake = RecordingIntake(CallerLimits(connections=2))
        sessions: Any = self.sessions
        self.factory = CallerFactory(sessions, Clock(), self.intake)

    def open(self) -> tuple[Protocol | None, Any]:
        """Open a connection; return its protocol and transport."""
        build_transport: Any = type(self.transport)
        transport, protocol = build_transport(), self.factory.buildProtocol(None)
        if protocol is not None:
            protocol.makeConnection(transport)
        return protocol, transport

    def use(self, protocol: Protocol | None) -> None:
        """Send a request on a connection."""
        assert protocol is not None
        protocol.dataReceived(b"STARTUP lepu270 u3f1\r\nQUERY 1 READ a\r\n")

    def test_connection_that_sent_nothing_makes_room(self) -> None:
        _, first = self.open()
        used, used_transport = self.open()
        self.use(used)
        _, third = self.open()
        self.assertIn(b"ERROR BUSY program accept: ", first.value())
        self.assertTrue(first.disconnecting)
        self.assertFalse(used_transport.disconnecting)
        self.assertFalse(third.disconnecting)

    def test_new_connection_is_refused_when_all_are_used(self) -> None:
        for _ in range(2):
            self.use(self.open()[0])
        _, third = self.open()
        self.assertIn(b"ERROR BUSY program accept: ", third.value())
        self.assertIn(b"nothing ran", third.value())
        self.assertTrue(third.disconnecting)
        self.assertIn(("caller", "connections"), self.intake.reports)

    def test_closed_connection_makes_room(self) -> None:
        protocols = [self.open()[0] for _ in range(2)]
        for protocol in protocols:
            self.use(protocol)
        assert protocols[0] is not None
        protocols[0].connectionLost()
        self.assertFalse(self.open()[1].disconnecting)
