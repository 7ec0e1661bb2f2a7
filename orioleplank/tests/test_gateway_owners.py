"""Connection owners: statements of a fleet with fewer connections than proxies need."""

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
# Fewer than two for each proxy, so that owners hold them.
CONNECTIONS = 16


def _start_cluster(seed: int = 1) -> GatewayCluster:
    cluster = GatewayCluster(seed, PROXIES, CONNECTIONS)
    cluster.run_for(START_S)
    return cluster


def _owners(cluster: GatewayCluster, instance: str) -> list[GatewayNode]:
    names = cluster.proxies[0].gateway.cluster_state.connection_owners(instance)
    return [node for name in names for node in cluster.proxies if node.name == name]


def _non_owner(cluster: GatewayCluster, instance: str) -> GatewayNode:
    """Return a proxy that owns no connections to an instance."""
    owners = _owners(cluster, instance)
    return next(node for node in cluster.proxies if node not in owners)


def _open_connections(node: GatewayNode, instance: str) -> int:
    """Return the number of open connections of a proxy to an instance."""
    return sum(link.is_open for name, link in node.dialer.links if name == instance)


def _failure_code(reply: Reply) -> FailureCode | None:
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

    def test_sum_of_own_connections_stays_within_the_limit(self) -> None:
        for count in (3, 7, 20, 66, 300):
            for limit in (4, 33, 60, 186):
                records = self._records(count)
                paths = [
                    choose_connection_path(r.name, self.instance, limit, records) for r in records
                ]
                connections = sum(
                    path.connections for path in paths if isinstance(path, DirectPath)
                )
                self.assertLessEqual(connections, limit)

    def test_removal_of_non_owners_changes_no_owner(self) -> None:
        records = self._records(66)
        owners = select_owners(self.instance, 60, records)
        remaining = [r for r in records if r.name in owners] + [
            r for r in records if r.name not in owners
        ][10:]
        self.assertEqual(owners, select_owners(self.instance, 60, remaining))

    def test_non_owners_spread_over_first_owners(self) -> None:
        records = self._records(66)
        paths = [choose_connection_path(r.name, self.instance, 60, records) for r in records]
        first_owners = {path.owners[0].name for path in paths if isinstance(path, ForwardingPath)}
        self.assertEqual(2, len(first_owners))


class TestForwardedStatements(testtools.TestCase):
    def test_statements_of_a_non_owner_are_served(self) -> None:
        cluster = _start_cluster()
        caller = cluster.open_session(_non_owner(cluster, "db-a"), QUOTES)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
        self.assertEqual(("oak",), cluster.send_and_wait(caller, Read("q1")).rows)
        cluster.send_and_wait(caller, Begin(False))
        cluster.send_and_wait(caller, Write("q1 ash"))
        self.assertEqual(("ash",), cluster.send_and_wait(caller, Read("q1")).rows)
        self.assertIsNone(cluster.send_and_wait(caller, Commit()).failure)
        self.assertEqual(("ash",), cluster.send_and_wait(caller, Read("q1")).rows)
        cluster.send_and_wait(caller, Begin(False))
        cluster.send_and_wait(caller, Write("q1 elm"))
        cluster.send_and_wait(caller, Rollback())
        self.assertEqual(("ash",), cluster.send_and_wait(caller, Read("q1")).rows)

    def test_only_owners_hold_connections_within_the_limit(self) -> None:
        cluster = _start_cluster()
        callers = [
            cluster.open_session(node, database)
            for node in cluster.proxies
            for database in (QUOTES, JOBS)
        ]
        for turn in range(30):
            for number, caller in enumerate(callers):
                cluster.send_request(caller, Write(f"k{number} v{turn}"))
            cluster.run_for(0.2)
        for instance in ("db-a", "db-b", "db-c"):
            connections = {node.name: _open_connections(node, instance) for node in cluster.proxies}
            owners = {node.name for node in _owners(cluster, instance)}
            self.assertEqual(set(), {name for name, count in connections.items() if count} - owners)
            self.assertLessEqual(sum(connections.values()), CONNECTIONS)

    def test_session_values_and_prepared_statements_are_forwarded(self) -> None:
        cluster = _start_cluster()
        callers = [cluster.open_session(_non_owner(cluster, "db-a"), QUOTES) for _ in range(6)]
        for number, caller in enumerate(callers):
            cluster.send_and_wait(caller, SetValue("user", str(number)))
            cluster.send_and_wait(
                caller, Prepare("s", PreparedStatement(AccessMode.WRITE, f"q{number}"))
            )
        for turn in range(3):
            for number, caller in enumerate(callers):
                request = cluster.send_request(caller, Execute("s", f"k{number} v{turn}"))
                cluster.run_for(0.05)
                executions = [
                    entry for entry in cluster.group.executions if entry.request == request
                ]
                self.assertEqual({"user": str(number)}, executions[0].values)
                assert executions[0].prepared_statement is not None
                self.assertEqual(f"q{number}", executions[0].prepared_statement.text)

    def test_value_set_in_a_rolled_back_transaction_does_not_reach_other_sessions(self) -> None:
        cluster = _start_cluster()
        node = _non_owner(cluster, "db-a")
        first, second = cluster.open_session(node, QUOTES), cluster.open_session(node, QUOTES)
        cluster.send_and_wait(first, Begin(False))
        cluster.send_and_wait(first, SetValue("user", "ana"))
        cluster.send_and_wait(first, Write("q1 oak"))
        cluster.send_and_wait(first, Rollback())
        request = cluster.send_request(second, Write("q2 ash"))
        cluster.run_for(0.2)
        execution = next(entry for entry in cluster.group.executions if entry.request == request)
        self.assertEqual({}, execution.values)


class TestOwnerFailure(testtools.TestCase):
    def test_open_transaction_of_a_killed_owner_is_aborted_without_commits(self) -> None:
        cluster = _start_cluster()
        caller = cluster.open_session(_non_owner(cluster, "db-a"), QUOTES)
        cluster.send_and_wait(caller, Begin(False))
        cluster.send_and_wait(caller, Write("q1 oak"))
        for owner in _owners(cluster, "db-a"):
            if _open_connections(owner, "db-a"):
                cluster.kill_proxy(owner)
        cluster.run_for(0.1)
        reply = cluster.send_and_wait(caller, Write("q2 ash"))
        self.assertIn(_failure_code(reply), (FailureCode.ABORTED, FailureCode.BUSY))
        self.assertEqual([], [entry for entry in cluster.group.primary().log if entry.writes])

    def test_another_owner_serves_within_a_second_after_one_was_killed(self) -> None:
        cluster = _start_cluster()
        caller = cluster.open_session(_non_owner(cluster, "db-a"), QUOTES)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
        for owner in _owners(cluster, "db-a")[:2]:
            if _open_connections(owner, "db-a"):
                cluster.kill_proxy(owner)
                break
        cluster.run_for(0.05)
        started_at = cluster.simulator.now
        self.assertIsNone(cluster.send_and_wait(caller, Write("q2 ash")).failure)
        self.assertLess(cluster.simulator.now - started_at, 1.0)

    def test_write_in_flight_at_a_killed_owner_is_in_doubt(self) -> None:
        cluster = _start_cluster()
        caller = cluster.open_session(_non_owner(cluster, "db-a"), QUOTES)
        cluster.send_and_wait(caller, Write("q1 oak"))
        cluster.group.members["db-a"].loses_answers = True
        cluster.send_request(caller, Write("q2 ash"))
        cluster.run_for(0.1)
        for owner in _owners(cluster, "db-a"):
            cluster.kill_proxy(owner)
        cluster.run_for(1.0)
        self.assertEqual(FailureCode.IN_DOUBT, _failure_code(caller.replies[-1]))

    def test_crashed_primary_is_replaced_and_non_owners_are_served_again(self) -> None:
        cluster = _start_cluster()
        caller = cluster.open_session(_non_owner(cluster, "db-a"), QUOTES)
        cluster.send_and_wait(caller, Write("q1 oak"))
        cluster.run_for(0.5)
        cluster.crash_instance("db-a")
        crashed_at = cluster.simulator.now
        while cluster.send_and_wait(caller, Write("q2 ash")).failure is not None:
            self.assertLess(cluster.simulator.now - crashed_at, 7.0)
            cluster.run_for(0.1)
        self.assertEqual(("oak",), cluster.send_and_wait(caller, Read("q1")).rows)

    def test_no_internal_error_is_logged_when_an_owner_is_killed(self) -> None:
        cluster = _start_cluster()
        callers = [cluster.open_session(node, QUOTES) for node in cluster.proxies]
        for turn in range(5):
            for caller in callers:
                cluster.send_request(caller, Write(f"q{turn} oak"))
            cluster.run_for(0.3)
        cluster.kill_proxy(_owners(cluster, "db-a")[0])
        cluster.run_for(3.0)
        logged = [line for node in cluster.proxies for line in node.event_log.events]
        self.assertEqual(
            [], [fields for event_type, fields in logged if event_type is EventType.ERROR]
        )

    def test_proxy_without_a_reachable_owner_opens_its_own_connection_temporarily(self) -> None:
        cluster = _start_cluster()
        node = _non_owner(cluster, "db-a")
        caller = cluster.open_session(node, QUOTES)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
        for owner in _owners(cluster, "db-a"):
            cluster.simulator.cut_link(owner.name, node.name)
            cluster.simulator.cut_link(node.name, owner.name)
        cluster.run_for(3.5)
        started_at = cluster.simulator.now
        while cluster.send_and_wait(caller, Write("q2 ash")).failure is not None:
            self.assertLess(cluster.simulator.now - started_at, 3.0)
            cluster.run_for(0.1)
        self.assertLessEqual(_open_connections(node, "db-a"), 1)
        cluster.simulator.heal()
        cluster.run_for(10.0)
        self.assertEqual(0, _open_connections(node, "db-a"))

    def test_channels_to_killed_proxies_are_removed(self) -> None:
        cluster = _start_cluster()
        node = _non_owner(cluster, "db-a")
        caller = cluster.open_session(node, QUOTES)
        cluster.send_and_wait(caller, Write("q1 oak"))
        forwarding = node.gateway.forwarding_client
        addresses = forwarding.channel_addresses
        self.assertNotEqual(set(), addresses)
        for owner in _owners(cluster, "db-a"):
            cluster.kill_proxy(owner)
        cluster.run_for(30.0)
        self.assertEqual(set(), addresses & forwarding.channel_addresses)

    def test_owner_shutdown_waits_for_forwarded_transactions(self) -> None:
        cluster = _start_cluster()
        caller = cluster.open_session(_non_owner(cluster, "db-a"), QUOTES)
        cluster.send_and_wait(caller, Begin(False))
        cluster.send_and_wait(caller, Write("q1 oak"))
        owner = next(o for o in _owners(cluster, "db-a") if o.gateway.forwarding_server.in_flight)
        ended_at: list[float] = []
        shutdown = Deferred.fromCoroutine(owner.gateway.shut_down())
        shutdown.addCallback(lambda _: ended_at.append(cluster.simulator.now))
        cluster.run_for(2.6)
        self.assertEqual([], ended_at)
        self.assertIsNone(cluster.send_and_wait(caller, Commit()).failure)
        cluster.run_for(0.5)
        self.assertEqual(1, len(ended_at))
