"""Tests of connections to instances."""

from __future__ import annotations

from typing import Any

import testtools
from twisted.internet.testing import StringTransport

from orioleplank.decision import Position
from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.decision.intake import CallerLimits
from orioleplank.decision.session import FailureCode, Read, Reply, TransactionState, Write
from orioleplank.gateway import InstanceRefusedError, InstanceUnreachableError
from orioleplank.platform import _codec as codec
from orioleplank.platform import _instance
from orioleplank.platform._instance import InstanceProtocol
from orioleplank.platform.tests._intake import RecordingIntake

_ENTRY = InstanceEntry(
    "i-7f3a", "huvo11a", "10.0.0.9:8080", "akl-a", InstanceState.READY, DbRole.PRIMARY, 5
)


class _Transport(StringTransport):
    """A transport without a socket."""

    connected = True
    has_aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Nothing to set."""

    def getHandle(self) -> None:  # noqa: N802
        """Return None: there is no socket."""

    def abortConnection(self) -> None:  # noqa: N802
        """Record the call."""
        self.has_aborted = True


class InstanceTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.patch(_instance, "set_tcp_timeouts", lambda handle: None)
        self.results: list[Any] = []
        self.intake = self.build_intake()
        self.connect()

    def build_intake(self) -> RecordingIntake:
        """Return the limits of the process."""
        return RecordingIntake()

    def connect(self) -> None:
        """Replace the connection under test with a new one."""
        build_transport: Any = _Transport
        self.transport: Any = build_transport()
        build_protocol: Any = InstanceProtocol
        self.protocol: Any = build_protocol(_ENTRY, b"tunnel\r\n", intake=self.intake)
        self.protocol.makeConnection(self.transport)

    def receive_greeting(self) -> None:
        """Receive the greeting of the instance."""
        self.protocol.dataReceived(b"READY I 3.1207\r\n")
        self.protocol.greeted.addBoth(lambda _: None)

    def record_result(self, deferred: Any) -> None:
        """Append the result or the exception of a `Deferred` to `results`."""
        deferred.addCallbacks(self.results.append, lambda f: self.results.append(f.value))


class TestGreeting(InstanceTestCase):
    def test_start_message_with_expected_id_follows_the_prologue(self) -> None:
        sent = self.transport.value()
        self.assertEqual(b"tunnel\r\nSTARTUP huvo11a orioleplank i-7f3a\r\n", sent)

    def test_start_message_names_the_account(self) -> None:
        build_transport: Any = _Transport
        build_protocol: Any = InstanceProtocol
        transport, protocol = build_transport(), build_protocol(
            _ENTRY, account="shop", intake=self.intake
        )
        protocol.makeConnection(transport)
        self.assertEqual(b"STARTUP huvo11a shop i-7f3a\r\n", transport.value())
        self.assertEqual("shop", protocol.account)

    def test_wrong_instance_is_reported_as_refusal(self) -> None:
        self.record_result(self.protocol.greeted)
        self.protocol.dataReceived(b"ERROR WRONGNODE i-9\r\n")
        self.assertIsInstance(self.results[0], InstanceRefusedError)
        self.assertTrue(self.transport.has_aborted)

    def test_connection_lost_before_greeting_is_reported_as_unreachable(self) -> None:
        self.record_result(self.protocol.greeted)
        self.protocol.connectionLost()
        self.assertIsInstance(self.results[0], InstanceUnreachableError)


class TestReplyLimits(InstanceTestCase):
    """Guards against replies without end, and against blaming the instance for large ones."""

    def build_intake(self) -> RecordingIntake:
        """Return limits that a test can meet."""
        return RecordingIntake(CallerLimits(process_bytes=5000, reply_bytes=1000))

    def setUp(self) -> None:
        super().setUp()
        self.receive_greeting()
        self.record_result(self.protocol.run("1", Read("a"), "", None))

    def check_closed(self, reason: str, code: FailureCode = FailureCode.TOO_LARGE) -> None:
        """Check that the caller is told that its statement may have run."""
        reply = self.results[0]
        self.assertEqual(code, reply.failure.code)
        self.assertTrue(reply.failure.detail.startswith("program read reply: "))
        self.assertTrue(reply.failure.detail.endswith("the statement may have run"))
        self.assertTrue(self.transport.has_aborted)
        self.assertEqual([("instance", reason)], self.intake.reports)

    def test_rows_over_the_limit_close_the_connection(self) -> None:
        for _ in range(11):
            self.protocol.dataReceived(b"DATAROW " + b"r" * 100 + b"\r\n")
        self.check_closed("reply")

    def test_write_with_a_reply_over_the_limit_is_in_doubt(self) -> None:
        self.results.clear()
        self.intake = self.build_intake()
        self.connect()
        self.receive_greeting()
        self.record_result(self.protocol.run("1", Write("a b"), "", None))
        self.protocol.dataReceived(b"DATAROW " + b"r" * 1001 + b"\r\n")
        self.check_closed("reply", FailureCode.IN_DOUBT)

    def test_line_without_end_closes_the_connection(self) -> None:
        self.intake = RecordingIntake()
        self.results.clear()
        self.connect()
        self.receive_greeting()
        self.record_result(self.protocol.run("1", Read("a"), "", None))
        self.protocol.dataReceived(b"DATAROW " + b"r" * codec.MAX_MESSAGE_BYTES)
        self.check_closed("message")

    def test_reply_that_holds_the_most_is_ended_over_the_budget(self) -> None:
        self.protocol.dataReceived(b"DATAROW " + b"r" * 5000)
        self.check_closed("process")

    def test_rows_within_the_limit_are_a_reply(self) -> None:
        self.protocol.dataReceived(b"DATAROW " + b"r" * 1000 + b"\r\nCOMPLETE s\r\nREADY I 3.1\r\n")
        self.assertIsNone(self.results[0].failure)
        self.assertEqual([], self.intake.reports)

    def test_other_requests_of_the_connection_fail(self) -> None:
        self.record_result(self.protocol.run("2", Read("b"), "", None))
        self.protocol.dataReceived(b"DATAROW " + b"r" * 1001 + b"\r\n")
        self.protocol.connectionLost()
        self.assertIsInstance(self.results[1], InstanceUnreachableError)


class TestReplies(InstanceTestCase):
    def test_reply_is_complete_only_after_its_state_line(self) -> None:
        self.receive_greeting()
        self.record_result(self.protocol.run("5c", Read("1a4"), "", Position(3, 1207)))
        self.assertIn(b"QUERY 5c AFTERLSN 3.1207 READ 1a4\r\n", self.transport.value())
        self.protocol.dataReceived(b"DATAROW oak\r\nCOMPLETE 7.1f\r\n")
        self.assertEqual([], self.results)
        self.protocol.dataReceived(b"READY I 3.1209\r\n")
        expected = Reply(("oak",), "7.1f", None, TransactionState.IDLE, Position(3, 1209))
        self.assertEqual([expected], self.results)

    def test_replies_are_matched_to_requests_in_order(self) -> None:
        self.receive_greeting()
        self.record_result(self.protocol.run("1", Read("a"), "", None))
        self.record_result(self.protocol.run("2", Read("b"), "", None))
        self.protocol.dataReceived(
            b"COMPLETE s1\r\nREADY I 3.1\r\nERROR BUSY full\r\nREADY I 3.1\r\n"
        )
        self.assertEqual("s1", self.results[0].signature)
        self.assertEqual(FailureCode.BUSY, self.results[1].failure.code)

    def test_incomplete_reply_fails_when_connection_is_lost(self) -> None:
        self.receive_greeting()
        self.record_result(self.protocol.run("1", Read("a"), "", None))
        self.protocol.dataReceived(b"DATAROW oak\r\nCOMPLETE 7.1f\r\n")
        self.protocol.connectionLost()
        self.assertIsInstance(self.results[0], InstanceUnreachableError)

    def test_unsolicited_message_closes_the_connection(self) -> None:
        self.receive_greeting()
        self.protocol.dataReceived(b"DATAROW oak\r\n")
        self.assertTrue(self.transport.has_aborted)

    def test_unknown_message_or_incomplete_reply_closes_the_connection(self) -> None:
        for line in (b"SURPRISE\r\n", b"READY X 3.1\r\n", b"READY I 3.1\r\n"):
            self.connect()
            self.receive_greeting()
            self.record_result(self.protocol.run("1", Read("a"), "", None))
            self.protocol.dataReceived(line)
            self.assertTrue(self.transport.has_aborted, repr(line))


class TestReports(InstanceTestCase):
    def test_report_is_parsed(self) -> None:
        self.receive_greeting()
        self.record_result(self.protocol.fetch_report())
        self.protocol.dataReceived(
            b"DATAROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\nREADY I 3.1204\r\n"
        )
        report = self.results[0]
        self.assertEqual((DbRole.REPLICA, 3), (report.role, report.term))
        self.assertEqual(
            (Position(3, 1209), 2), (report.received_position, report.running_statements)
        )

    def test_report_from_busy_instance_is_a_refusal(self) -> None:
        self.receive_greeting()
        self.record_result(self.protocol.fetch_report())
        self.protocol.dataReceived(b"ERROR BUSY full\r\nREADY I 3.1204\r\n")
        self.assertIsInstance(self.results[0], InstanceRefusedError)

    def test_invalid_report_is_a_refusal(self) -> None:
        self.receive_greeting()
        self.record_result(self.protocol.fetch_report())
        self.protocol.dataReceived(b"DATAROW boss x y\r\nCOMPLETE -\r\nREADY I 3.1\r\n")
        self.assertIsInstance(self.results[0], InstanceRefusedError)


class TestUnreadableReports(InstanceTestCase):
    def test_unreadable_report_is_a_refusal(self) -> None:
        self.receive_greeting()
        for row in (
            b"leader 2 2.17 0 30 4 9",
            b"replica two 2.17 0 30 4 9",
            b"replica 2 2.17 0 30 x",
            b"replica " + b"1" * 6000 + b" 2.17 0 30 4 9",
            b"replica 2 2." + b"1" * 6000 + b" 0 30 4 9",
            b"replica 2 2.17 0 30 " + b"1" * 6000 + b" 9",
        ):
            self.results.clear()
            self.record_result(self.protocol.fetch_report())
            self.protocol.dataReceived(b"DATAROW " + row + b"\r\nCOMPLETE -\r\nREADY I -\r\n")
            self.assertIsInstance(self.results[0], InstanceRefusedError)
