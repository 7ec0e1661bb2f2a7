"""Owners of scarce connections: statements of a large fleet, on virtual time."""

from __future__ import annotations

import testtools
from twisted.internet.defer import Deferred

from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.decision.membership import ProxyRecord
from orioleplank.decision.routing import (
    DirectPath,
    ForwardingPath,
    choose_connection_path,
    select_owners,
)
from orioleplank.decision.session import (
    AccessMode,
    Begin,
    Commit,
    Execute,
    FailureCode,
    Prepare,
    PreparedStatement,
    Read,
    Reply,
    Rollback,
    SetValue,
    Write,
)
from orioleplank.gateway import EventType
from orioleplank.tests._gateway_cluster import JOBS, QUOTES, GatewayCluster, GatewayNode

START_S = 4.0
PROXIES = 9
# Fewer than two for each proxy.
CONNECTIONS = 16


def _started(seed: int = 1) -> GatewayCluster:
    site = GatewayCluster(seed, PROXIES, CONNECTIONS)
    site.run_for(START_S)
    return site


def _owners(site: GatewayCluster, instance: str) -> list[GatewayNode]:
    names = site.proxies[0].gateway.cluster_state.connection_owners(instance)
    return [node for name in names for node in site.proxies if node.name == name]


def _stranger(site: GatewayCluster, instance: str) -> GatewayNode:
    """Return a proxy that owns no connections to an instance."""
    owners = _owners(site, instance)
    return next(node for node in site.proxies if node not in owners)


def _held(node: GatewayNode, instance: str) -> int:
    """Return the connections of a proxy to an instance."""
    return sum(link.is_open for name, link in node.dialer.links if name == instance)


def _code(reply: Reply) -> FailureCode | None:
    return reply.failure.code if reply.failure else None


class TestOwnership(testtools.TestCase):
    instance = InstanceEntry(
        "i-1", "books", "10.0.0.9:1", "a", InstanceState.READY, DbRole.PRIMARY, 5
    )

    def _records(self, count: int) -> list[ProxyRecord]:
        return [
            ProxyRecord(f"entry-{n}", "run", f"10.0.0.{n}:1", "abc"[n % 3]) for n in range(count)
        ]

    def test_small_fleet_holds_connections_itself(self) -> None:
        self.assertEqual((), select_owners(self.instance, 33, self._records(7)))
        self.assertEqual(
            DirectPath(4), choose_connection_path("entry-1", self.instance, 33, self._records(7))
        )

    def test_owners_are_in_the_zone_of_the_instance(self) -> None:
        records = self._records(66)
        owners = select_owners(self.instance, 60, records)
        zones = {record.name: record.zone for record in records}
        self.assertEqual({"a"}, {zones[name] for name in owners})

    def test_sum_of_all_shares_stays_within_the_limit(self) -> None:
        for count in (3, 7, 20, 66, 300):
            for limit in (4, 33, 60, 186):
                records = self._records(count)
                ways = [
                    choose_connection_path(r.name, self.instance, limit, records) for r in records
                ]
                held = sum(way.connections for way in ways if isinstance(way, DirectPath))
                self.assertLessEqual(held, limit)

    def test_loss_of_a_stranger_changes_no_owner(self) -> None:
        records = self._records(66)
        owners = select_owners(self.instance, 60, records)
        left = [r for r in records if r.name in owners] + [
            r for r in records if r.name not in owners
        ][10:]
        self.assertEqual(owners, select_owners(self.instance, 60, left))

    def test_strangers_ask_different_owners_first(self) -> None:
        records = self._records(66)
        ways = [choose_connection_path(r.name, self.instance, 60, records) for r in records]
        firsts = {way.owners[0].name for way in ways if isinstance(way, ForwardingPath)}
        self.assertEqual(2, len(firsts))


class TestStatements(testtools.TestCase):
    def test_statements_of_a_stranger_are_served(self) -> None:
        site = _started()
        caller = site.open_session(_stranger(site, "db-a"), QUOTES)
        self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)
        self.assertEqual(("oak",), site.send_and_wait(caller, Read("q1")).rows)
        site.send_and_wait(caller, Begin(False))
        site.send_and_wait(caller, Write("q1 ash"))
        self.assertEqual(("ash",), site.send_and_wait(caller, Read("q1")).rows)
        self.assertIsNone(site.send_and_wait(caller, Commit()).failure)
        self.assertEqual(("ash",), site.send_and_wait(caller, Read("q1")).rows)
        site.send_and_wait(caller, Begin(False))
        site.send_and_wait(caller, Write("q1 elm"))
        site.send_and_wait(caller, Rollback())
        self.assertEqual(("ash",), site.send_and_wait(caller, Read("q1")).rows)

    def test_only_owners_hold_connections_and_never_more_than_allowed(self) -> None:
        site = _started()
        callers = [
            site.open_session(node, database)
            for node in site.proxies
            for database in (QUOTES, JOBS)
        ]
        for turn in range(30):
            for number, caller in enumerate(callers):
                site.send_request(caller, Write(f"k{number} v{turn}"))
            site.run_for(0.2)
        for instance in ("db-a", "db-b", "db-c"):
            held = {node.name: _held(node, instance) for node in site.proxies}
            owners = {node.name for node in _owners(site, instance)}
            self.assertEqual(set(), {name for name, count in held.items() if count} - owners)
            self.assertLessEqual(sum(held.values()), CONNECTIONS)

    def test_values_and_prepared_names_go_along(self) -> None:
        site = _started()
        callers = [site.open_session(_stranger(site, "db-a"), QUOTES) for _ in range(6)]
        for number, caller in enumerate(callers):
            site.send_and_wait(caller, SetValue("user", str(number)))
            site.send_and_wait(
                caller, Prepare("s", PreparedStatement(AccessMode.WRITE, f"q{number}"))
            )
        for turn in range(3):
            for number, caller in enumerate(callers):
                request = site.send_request(caller, Execute("s", f"k{number} v{turn}"))
                site.run_for(0.05)
                ran = [entry for entry in site.group.executions if entry.request == request]
                self.assertEqual({"user": str(number)}, ran[0].values)
                assert ran[0].shape is not None
                self.assertEqual(f"q{number}", ran[0].shape.text)

    def test_value_set_in_a_transaction_that_is_rolled_back_reaches_nobody_else(self) -> None:
        site = _started()
        node = _stranger(site, "db-a")
        first, second = site.open_session(node, QUOTES), site.open_session(node, QUOTES)
        site.send_and_wait(first, Begin(False))
        site.send_and_wait(first, SetValue("user", "ana"))
        site.send_and_wait(first, Write("q1 oak"))
        site.send_and_wait(first, Rollback())
        request = site.send_request(second, Write("q2 ash"))
        site.run_for(0.2)
        ran = next(entry for entry in site.group.executions if entry.request == request)
        self.assertEqual({}, ran.values)


class TestLossOfAnOwner(testtools.TestCase):
    def test_open_transaction_of_a_lost_owner_is_aborted_and_nothing_is_kept(self) -> None:
        site = _started()
        caller = site.open_session(_stranger(site, "db-a"), QUOTES)
        site.send_and_wait(caller, Begin(False))
        site.send_and_wait(caller, Write("q1 oak"))
        for owner in _owners(site, "db-a"):
            if _held(owner, "db-a"):
                site.kill_proxy(owner)
        site.run_for(0.1)
        reply = site.send_and_wait(caller, Write("q2 ash"))
        self.assertIn(_code(reply), (FailureCode.ABORTED, FailureCode.BUSY))
        self.assertEqual([], [entry for entry in site.group.primary().log if entry.writes])

    def test_another_owner_serves_at_once(self) -> None:
        site = _started()
        caller = site.open_session(_stranger(site, "db-a"), QUOTES)
        self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)
        for owner in _owners(site, "db-a")[:2]:
            if _held(owner, "db-a"):
                site.kill_proxy(owner)
                break
        site.run_for(0.05)
        began = site.simulator.now
        self.assertIsNone(site.send_and_wait(caller, Write("q2 ash")).failure)
        self.assertLess(site.simulator.now - began, 1.0)

    def test_write_under_way_when_an_owner_dies_is_in_doubt(self) -> None:
        site = _started()
        caller = site.open_session(_stranger(site, "db-a"), QUOTES)
        site.send_and_wait(caller, Write("q1 oak"))
        site.group.members["db-a"].loses_answers = True
        site.send_request(caller, Write("q2 ash"))
        site.run_for(0.1)
        for owner in _owners(site, "db-a"):
            site.kill_proxy(owner)
        site.run_for(1.0)
        self.assertEqual(FailureCode.IN_DOUBT, _code(caller.replies[-1]))

    def test_dead_primary_is_replaced_and_strangers_are_served_again(self) -> None:
        site = _started()
        caller = site.open_session(_stranger(site, "db-a"), QUOTES)
        site.send_and_wait(caller, Write("q1 oak"))
        site.run_for(0.5)
        site.crash_instance("db-a")
        crashed = site.simulator.now
        while site.send_and_wait(caller, Write("q2 ash")).failure is not None:
            self.assertLess(site.simulator.now - crashed, 7.0)
            site.run_for(0.1)
        self.assertEqual(("oak",), site.send_and_wait(caller, Read("q1")).rows)

    def test_no_error_is_logged(self) -> None:
        site = _started()
        callers = [site.open_session(node, QUOTES) for node in site.proxies]
        for turn in range(5):
            for caller in callers:
                site.send_request(caller, Write(f"q{turn} oak"))
            site.run_for(0.3)
        site.kill_proxy(_owners(site, "db-a")[0])
        site.run_for(3.0)
        noted = [line for node in site.proxies for line in node.journal.lines]
        self.assertEqual([], [fields for topic, fields in noted if topic is EventType.ERROR])

    def test_proxy_that_reaches_no_owner_stands_in_for_them(self) -> None:
        site = _started()
        node = _stranger(site, "db-a")
        caller = site.open_session(node, QUOTES)
        self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)
        for owner in _owners(site, "db-a"):
            site.simulator.cut_link(owner.name, node.name)
            site.simulator.cut_link(node.name, owner.name)
        site.run_for(3.5)
        began = site.simulator.now
        while site.send_and_wait(caller, Write("q2 ash")).failure is not None:
            self.assertLess(site.simulator.now - began, 3.0)
            site.run_for(0.1)
        self.assertLessEqual(_held(node, "db-a"), 1)
        site.simulator.heal()
        site.run_for(10.0)
        self.assertEqual(0, _held(node, "db-a"))

    def test_channel_to_a_proxy_that_is_gone_is_forgotten(self) -> None:
        site = _started()
        node = _stranger(site, "db-a")
        caller = site.open_session(node, QUOTES)
        site.send_and_wait(caller, Write("q1 oak"))
        forwarding = node.gateway.forwarding_client
        before = forwarding.channel_addresses
        self.assertNotEqual(set(), before)
        for owner in _owners(site, "db-a"):
            site.kill_proxy(owner)
        site.run_for(30.0)
        self.assertEqual(set(), before & forwarding.channel_addresses)

    def test_owner_that_is_asked_to_end_lets_transactions_of_others_finish(self) -> None:
        site = _started()
        caller = site.open_session(_stranger(site, "db-a"), QUOTES)
        site.send_and_wait(caller, Begin(False))
        site.send_and_wait(caller, Write("q1 oak"))
        owner = next(o for o in _owners(site, "db-a") if o.gateway.forwarding_server.in_flight)
        left: list[float] = []
        leaving = Deferred.fromCoroutine(owner.gateway.shut_down())
        leaving.addCallback(lambda _: left.append(site.simulator.now))
        site.run_for(2.6)
        self.assertEqual([], left)
        self.assertIsNone(site.send_and_wait(caller, Commit()).failure)
        site.run_for(0.5)
        self.assertEqual(1, len(left))
