"""Tests of caller connections: invalid input, and limits on what a caller can make pending."""

from __future__ import annotations

from typing import Any

import testtools
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from orioleplank.decision import Position
from orioleplank.decision.session import (
    Failure,
    FailureCode,
    Reply,
    Statement,
    TransactionState,
    Unreadable,
)
from orioleplank.gateway import CallerLink
from orioleplank.platform._caller import CLOSE_TIMEOUT_S, STARTUP_TIMEOUT_S, CallerProtocol
from orioleplank.platform.tests._intake import RecordingIntake


class _Session:
    """Records the requests it receives."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, Statement]] = []
        self.should_pause_reading = False
        self.kept_bytes = 0
        self.has_ended = False

    def submit_request(self, request_id: str, statement: Statement) -> None:
        self.requests.append((request_id, statement))

    def handle_disconnect(self) -> None:
        self.has_ended = True


class _Sessions:
    """Opens the same session for every database except `nowhere`."""

    def __init__(self) -> None:
        self.session = _Session()
        self.databases: list[str] = []
        self.keys: list[str] = []

    def open(self, link: CallerLink, database: str, key: str) -> _Session | None:
        self.databases.append(database)
        self.keys.append(key)
        if database == "nowhere":
            link.refuse(Failure(FailureCode.UNKNOWN_DATABASE, "program find route: no"))
            return None
        link.send_ready()
        return self.session


class _Transport(StringTransport):
    """A transport without a socket."""

    has_aborted = False

    def abortConnection(self) -> None:  # noqa: N802
        """Record the call."""
        self.has_aborted = True

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Nothing to set."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Nothing to set."""


class CallerTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.intake = self.build_intake()
        self.sessions = _Sessions()
        build_transport: Any = _Transport
        self.transport: Any = build_transport()
        session_factory: Any = self.sessions
        build_protocol: Any = CallerProtocol
        self.protocol: Any = build_protocol(session_factory, self.clock, self.intake)
        self.protocol.makeConnection(self.transport)

    def build_intake(self) -> RecordingIntake:
        """Return the limits of the process."""
        return RecordingIntake()

    def feed(self, data: bytes) -> bytes:
        """Receive bytes; return the bytes sent in response."""
        self.transport.clear()
        self.protocol.dataReceived(data)
        return bytes(self.transport.value())


class TestStartup(CallerTestCase):
    def test_session_is_opened_for_the_database_in_the_start_message(self) -> None:
        self.assertEqual(b"READY I -\r\n", self.feed(b"STARTUP lepu270 u3f1\r\n"))
        self.assertEqual(["lepu270"], self.sessions.databases)
        self.assertEqual(["u3f1"], self.sessions.keys)

    def test_unknown_database_is_refused_and_closed(self) -> None:
        sent = self.feed(b"STARTUP nowhere u3f1\r\n")
        self.assertEqual(b"ERROR NODB program find route: no\r\n", sent)
        self.assertTrue(self.transport.disconnecting)

    def test_connection_without_a_start_message_is_closed(self) -> None:
        self.clock.advance(STARTUP_TIMEOUT_S + 0.1)
        self.assertTrue(self.transport.disconnecting)

    def test_query_before_the_start_message_is_refused(self) -> None:
        self.assertIn(b"ERROR MALFORMED", self.feed(b"QUERY 1 READ a\r\n"))
        self.assertTrue(self.transport.disconnecting)


class TestQueries(CallerTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.feed(b"STARTUP lepu270 u3f1\r\n")

    def test_line_received_in_pieces_is_one_query(self) -> None:
        for piece in (b"QUE", b"RY 5c READ", b" 1a4\r", b"\n"):
            self.feed(piece)
        self.assertEqual(["5c"], [request for request, _ in self.sessions.session.requests])

    def test_statement_may_contain_arbitrary_bytes(self) -> None:
        self.feed(b"QUERY 1 WRITE a \xff\xfe\x00\r\n")
        self.assertEqual(1, len(self.sessions.session.requests))

    def test_unknown_statement_reaches_the_session_as_unreadable(self) -> None:
        self.feed(b"QUERY 1 DROP everything\r\n")
        self.assertIsInstance(self.sessions.session.requests[0][1], Unreadable)

    def test_message_over_one_mebibyte_is_refused_once_and_connection_is_closed(self) -> None:
        sent = b""
        for _ in range(20):
            sent += self.feed(b"x" * 65536)
        self.assertEqual(1, sent.count(b"ERROR TOOBIG"))
        self.assertTrue(self.transport.disconnecting)

    def test_refused_caller_that_reads_nothing_is_disconnected_after_timeout(self) -> None:
        self.feed(b"STARTUP other u\r\n")
        self.clock.advance(CLOSE_TIMEOUT_S + 0.1)
        self.assertTrue(self.transport.has_aborted)

    def test_second_start_message_is_refused(self) -> None:
        self.assertIn(b"ERROR MALFORMED", self.feed(b"STARTUP other u\r\n"))

    def test_lost_connection_ends_the_session(self) -> None:
        self.protocol.connectionLost()
        self.assertTrue(self.sessions.session.has_ended)

    def test_reply_contains_rows_signature_state_and_position(self) -> None:
        self.transport.clear()
        self.protocol.reply(
            Reply(("one", "two"), "7.1f", None, TransactionState.OPEN, Position(3, 9))
        )
        expected = b"DATAROW one\r\nDATAROW two\r\nCOMPLETE 7.1f\r\nREADY T 3.9\r\n"
        self.assertEqual(expected, self.transport.value())


class TestBackPressure(CallerTestCase):
    def test_reading_is_paused_while_the_session_requires_it(self) -> None:
        self.feed(b"STARTUP lepu270 u3f1\r\n")
        self.sessions.session.should_pause_reading = True
        self.feed(b"QUERY 1 READ a\r\n")
        self.assertEqual("paused", self.transport.producerState)
        self.assertEqual([], self.sessions.session.requests)
        self.sessions.session.should_pause_reading = False
        self.protocol.resume_reading()
        # What was read is handled in a turn of its own, and reading goes on after it.
        self.clock.advance(0)
        self.assertEqual("producing", self.transport.producerState)
        self.assertEqual(1, len(self.sessions.session.requests))

    def test_reading_is_paused_while_the_caller_reads_no_replies(self) -> None:
        self.feed(b"STARTUP lepu270 u3f1\r\n")
        self.protocol.pauseProducing()
        self.protocol.resume_reading()
        self.assertEqual("paused", self.transport.producerState)
        self.protocol.resumeProducing()
        self.assertEqual("producing", self.transport.producerState)
