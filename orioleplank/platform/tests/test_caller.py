"""Tests of a caller's connection: bad input, and what it may pile up."""

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
from orioleplank.platform._caller import CLOSE_LIMIT_S, STARTUP_LIMIT_S, CallerProtocol


class _Session:
    """Keeps what it is asked."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, Statement]] = []
        self.should_pause_reading = False
        self.has_ended = False

    def submit_request(self, request: str, statement: Statement) -> None:
        self.asked.append((request, statement))

    def handle_disconnect(self) -> None:
        self.has_ended = True


class _Sessions:
    """Opens one session for any database but `nowhere`."""

    def __init__(self) -> None:
        self.session = _Session()
        self.databases: list[str] = []

    def open(self, link: CallerLink, database: str) -> _Session | None:
        self.databases.append(database)
        if database == "nowhere":
            link.refuse(Failure(FailureCode.UNKNOWN_DATABASE, "program find route: no"))
            return None
        link.send_ready()
        return self.session


class _Transport(StringTransport):
    """A transport without a socket."""

    has_aborted = False

    def abortConnection(self) -> None:  # noqa: N802
        """Note the end."""
        self.has_aborted = True

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Nothing to set."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Nothing to set."""


class CallerTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.sessions = _Sessions()
        build: Any = _Transport
        self.transport: Any = build()
        opened: Any = self.sessions
        build_protocol: Any = CallerProtocol
        self.protocol: Any = build_protocol(opened, self.clock)
        self.protocol.makeConnection(self.transport)

    def feed(self, data: bytes) -> bytes:
        """Receive bytes; return what is sent back."""
        self.transport.clear()
        self.protocol.dataReceived(data)
        return bytes(self.transport.value())


class TestStartup(CallerTestCase):
    def test_session_is_opened_by_the_first_word(self) -> None:
        self.assertEqual(b"READY I -\r\n", self.feed(b"STARTUP lepu270 u3f1\r\n"))
        self.assertEqual(["lepu270"], self.sessions.databases)

    def test_unknown_database_is_refused_and_closed(self) -> None:
        sent = self.feed(b"STARTUP nowhere u3f1\r\n")
        self.assertEqual(b"ERROR NODB program find route: no\r\n", sent)
        self.assertTrue(self.transport.disconnecting)

    def test_silent_connection_is_closed(self) -> None:
        self.clock.advance(STARTUP_LIMIT_S + 0.1)
        self.assertTrue(self.transport.disconnecting)

    def test_query_before_the_start_is_refused(self) -> None:
        self.assertIn(b"ERROR MALFORMED", self.feed(b"QUERY 1 READ a\r\n"))
        self.assertTrue(self.transport.disconnecting)


class TestQueries(CallerTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.feed(b"STARTUP lepu270 u3f1\r\n")

    def test_line_in_pieces_is_one_query(self) -> None:
        for piece in (b"QUE", b"RY 5c READ", b" 1a4\r", b"\n"):
            self.feed(piece)
        self.assertEqual(["5c"], [request for request, _ in self.sessions.session.asked])

    def test_bytes_that_are_no_text_are_a_statement_like_any_other(self) -> None:
        self.feed(b"QUERY 1 WRITE a \xff\xfe\x00\r\n")
        self.assertEqual(1, len(self.sessions.session.asked))

    def test_unknown_statement_reaches_the_session_as_unreadable(self) -> None:
        self.feed(b"QUERY 1 DROP everything\r\n")
        self.assertIsInstance(self.sessions.session.asked[0][1], Unreadable)

    def test_message_of_a_mebibyte_is_refused_and_nothing_is_kept(self) -> None:
        sent = b""
        for _ in range(20):
            sent += self.feed(b"x" * 65536)
        self.assertEqual(1, sent.count(b"ERROR TOOBIG"))
        self.assertTrue(self.transport.disconnecting)

    def test_caller_that_takes_nothing_is_cut_after_its_refusal(self) -> None:
        self.feed(b"STARTUP other u\r\n")
        self.clock.advance(CLOSE_LIMIT_S + 0.1)
        self.assertTrue(self.transport.has_aborted)

    def test_second_start_is_refused(self) -> None:
        self.assertIn(b"ERROR MALFORMED", self.feed(b"STARTUP other u\r\n"))

    def test_lost_connection_ends_the_session(self) -> None:
        self.protocol.connectionLost()
        self.assertTrue(self.sessions.session.has_ended)

    def test_reply_is_written_whole(self) -> None:
        self.transport.clear()
        self.protocol.reply(
            Reply(("one", "two"), "7.1f", None, TransactionState.OPEN, Position(3, 9))
        )
        expected = b"DATAROW one\r\nDATAROW two\r\nCOMPLETE 7.1f\r\nREADY T 3.9\r\n"
        self.assertEqual(expected, self.transport.value())


class TestPilingUp(CallerTestCase):
    def test_nothing_is_read_while_the_session_is_behind(self) -> None:
        self.feed(b"STARTUP lepu270 u3f1\r\n")
        self.sessions.session.should_pause_reading = True
        self.feed(b"QUERY 1 READ a\r\n")
        self.assertEqual("paused", self.transport.producerState)
        self.sessions.session.should_pause_reading = False
        self.protocol.resume_reading()
        self.assertEqual("producing", self.transport.producerState)

    def test_nothing_is_read_while_the_caller_takes_no_replies(self) -> None:
        self.feed(b"STARTUP lepu270 u3f1\r\n")
        self.protocol.pauseProducing()
        self.protocol.resume_reading()
        self.assertEqual("paused", self.transport.producerState)
        self.protocol.resumeProducing()
        self.assertEqual("producing", self.transport.producerState)
