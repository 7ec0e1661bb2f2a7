"""Decisions about callers that send, keep or open too much."""

from __future__ import annotations

import testtools

from orioleplank.decision.intake import (
    Accepted,
    CallerLimits,
    ConnectionTable,
    HeldBytes,
    Refused,
    Replaces,
    derive_limits,
    find_excess,
)
from orioleplank.decision.session import (
    AccessMode,
    Prepare,
    PreparedStatement,
    Read,
    Session,
    SetValue,
)

MIB = 1024 * 1024


class TestHeldBytes(testtools.TestCase):
    """Guards against a process that holds more than its budget, and against closing too many."""

    def test_nothing_is_closed_within_the_budget(self) -> None:
        held: HeldBytes[str] = HeldBytes(100)
        held.record("a", 60)
        held.record("b", 40)
        self.assertEqual((), held.choose_excess())

    def test_connections_that_hold_the_most_are_closed_first(self) -> None:
        held: HeldBytes[str] = HeldBytes(100)
        for name, count in (("small", 5), ("largest", 60), ("large", 40)):
            held.record(name, count)
        self.assertEqual(("largest",), held.choose_excess())

    def test_many_equal_connections_are_closed_until_a_share_of_the_budget_is_left(self) -> None:
        held: HeldBytes[int] = HeldBytes(100)
        for number in range(11):
            held.record(number, 10)
        self.assertEqual(4, len(held.choose_excess()))

    def test_later_record_replaces_the_earlier_one(self) -> None:
        held: HeldBytes[str] = HeldBytes(100)
        held.record("a", 90)
        held.record("a", 20)
        self.assertEqual(20, held.total)
        held.record("a", 0)
        self.assertEqual((0, ()), (held.total, held.holders))


class TestConnectionTable(testtools.TestCase):
    """Guards against unused connections that keep ordinary callers out."""

    def setUp(self) -> None:
        super().setUp()
        self.table: ConnectionTable[str] = ConnectionTable(3)

    def test_connections_within_the_limit_are_accepted(self) -> None:
        for name in "abc":
            self.assertEqual(Accepted(), self.table.decide())
            self.table.add(name)

    def test_oldest_silent_connection_makes_room_before_unused_ones(self) -> None:
        for name in "abc":
            self.table.add(name)
        self.table.mark_opened("a")
        self.assertEqual(Replaces("b"), self.table.decide())

    def test_oldest_unused_connection_makes_room_and_used_ones_stay(self) -> None:
        for name in "abc":
            self.table.add(name)
            self.table.mark_opened(name)
        self.table.mark_used("a")
        self.assertEqual(Replaces("b"), self.table.decide())
        self.table.mark_used("b")
        self.table.mark_used("c")
        self.assertEqual(Refused(may_reply=True), self.table.decide())

    def test_connections_that_are_being_closed_are_limited_too(self) -> None:
        for name in "abc":
            self.table.add(name)
        self.table.mark_closing("a")
        self.table.add("d")
        self.assertEqual(Refused(may_reply=False), self.table.decide())
        self.table.remove("a")
        self.assertEqual(Replaces("b"), self.table.decide())


class TestSessionLimits(testtools.TestCase):
    """Guards against sessions that keep values and names without end."""

    def test_ordinary_values_and_names_meet_no_limit(self) -> None:
        session, limits = Session("catalogue"), CallerLimits()
        for number in range(50):
            value = SetValue(f"value{number}", "v" * 200)
            prepare = Prepare(f"name{number}", PreparedStatement(AccessMode.READ, "s" * 500))
            self.assertIsNone(find_excess(session, value, limits))
            session = session.set_value(value.name, value.value)
            self.assertIsNone(find_excess(session, prepare, limits))
            session = session.prepare(prepare.name, prepare.prepared_statement)

    def test_value_of_the_largest_message_is_kept(self) -> None:
        value = SetValue("n", "v" * MIB)
        self.assertIsNone(find_excess(Session("catalogue"), value, CallerLimits()))

    def test_bytes_of_values_and_statements_are_limited_together(self) -> None:
        limits = CallerLimits(session_bytes=100)
        session = Session("catalogue").set_value("a", "v" * 60)
        prepare = Prepare("b", PreparedStatement(AccessMode.READ, "s" * 60))
        self.assertIn("at most 100 bytes", find_excess(session, prepare, limits) or "")

    def test_replaced_value_counts_once(self) -> None:
        limits = CallerLimits(session_bytes=100)
        session = Session("catalogue").set_value("a", "v" * 90)
        self.assertIsNone(find_excess(session, SetValue("a", "w" * 90), limits))

    def test_numbers_of_values_and_statements_are_limited(self) -> None:
        limits = CallerLimits(session_values=1, session_statements=1)
        shape = PreparedStatement(AccessMode.READ, "s")
        session = Session("catalogue").set_value("a", "1").prepare("a", shape)
        self.assertIn("1 values", find_excess(session, SetValue("b", "1"), limits) or "")
        self.assertIn("1 statements", find_excess(session, Prepare("b", shape), limits) or "")
        self.assertIsNone(find_excess(session, Read("a"), limits))


class TestDerivedLimits(testtools.TestCase):
    """Guards against limits that an ordinary fleet meets, or that the machine does not hold."""

    def test_defaults_are_those_of_the_smallest_machine(self) -> None:
        self.assertEqual(CallerLimits(), derive_limits(None, None))
        self.assertEqual(CallerLimits(), derive_limits(200.0, 4300))

    def test_smallest_machine_accepts_all_sessions_of_the_fleet(self) -> None:
        self.assertGreaterEqual(CallerLimits().connections, 2000)

    def test_ports_together_stay_within_the_descriptors(self) -> None:
        limits = CallerLimits()
        # Tunnels and their instance side, views, metrics and readiness.
        peers = limits.peer_channels + 5 * limits.peer_connections
        files, instances, closing = 200, 400, limits.connections / 8
        self.assertLess(limits.connections + peers + files + instances + closing, 4300)

    def test_internal_ports_serve_all_proxies_of_a_deployment(self) -> None:
        for limits in (CallerLimits(), derive_limits(None, 1024)):
            self.assertGreater(limits.peer_connections, 88)
            self.assertGreater(limits.peer_channels, 88)

    def test_tiny_machine_still_holds_single_messages(self) -> None:
        limits = derive_limits(60.0, 64)
        self.assertGreaterEqual(limits.process_bytes, 8 * MIB)
        self.assertGreaterEqual(limits.connections, 1)
