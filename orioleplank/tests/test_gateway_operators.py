"""Failures known from operating similar systems, on whole gateways on virtual time."""

from __future__ import annotations

from collections import Counter

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from orioleplank.decision.session import Begin, Commit, FailureCode, Reply, Write
from orioleplank.gateway import EventType
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.tests._gateway_cluster import QUOTES, GatewayCluster, GatewayNode
from orioleplank.tests._simulated_caller import SimulatedCaller

START_S = 4.0
PROXIES = 9
CONNECTIONS = 22
# Failure codes that leave it unknown whether a request has run.
IN_DOUBT_CODES = frozenset({FailureCode.IN_DOUBT, FailureCode.TIMEOUT})


def _start_cluster() -> GatewayCluster:
    cluster = GatewayCluster(1, PROXIES, CONNECTIONS)
    cluster.run_for(START_S)
    return cluster


def _owner(cluster: GatewayCluster, instance: str) -> GatewayNode:
    """Return the first connection owner of an instance."""
    name = cluster.proxies[0].gateway.cluster_state.connection_owners(instance)[0]
    return next(node for node in cluster.proxies if node.name == name)


def _keep_writing(cluster: GatewayCluster, node: GatewayNode, label: str) -> SimulatedCaller:
    """Open a session that sends each write as soon as the previous one was answered."""
    caller = cluster.open_session(node, QUOTES)
    numbers = iter(range(10_000))

    def send(_: Reply | None = None) -> None:
        if not caller.is_closed:
            cluster.send_request(caller, Write(f"{label} {label}{next(numbers)}"))

    caller.on_reply = send
    send()
    return caller


def _commit_counts(cluster: GatewayCluster) -> Counter[str]:
    """Return the number of commits of each value in the primary's log."""
    values: Counter[str] = Counter()
    for entry in cluster.group.primary().log:
        values.update(value for _, value in entry.writes)
    return values


class TestPausedVm(testtools.TestCase):
    """A pause of a VM or instance must cause neither duplicate execution nor lost work."""

    def test_writes_forwarded_to_a_paused_owner_are_committed_once(self) -> None:
        cluster = _start_cluster()
        owner = _owner(cluster, "db-a")
        writers = [
            _keep_writing(cluster, node, f"w{number}")
            for number, node in enumerate(cluster.proxies)
            if node is not owner
        ]
        cluster.run_for(0.5)
        cluster.simulator.pause(owner.name, 1.5)
        cluster.run_for(6.0)
        self.assertEqual(1, max(_commit_counts(cluster).values()))
        self.assertTrue(all(len(writer.replies) > 100 for writer in writers))

    def test_transaction_continues_after_its_proxy_was_paused(self) -> None:
        cluster = _start_cluster()
        node = cluster.proxies[1]
        caller = cluster.open_session(node, QUOTES)
        cluster.send_and_wait(caller, Begin(False))
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
        cluster.simulator.pause(node.name, 1.0)
        cluster.run_for(1.2)
        self.assertIsNone(cluster.send_and_wait(caller, Commit()).failure)
        self.assertEqual(1, _commit_counts(cluster)["oak"])

    def test_primary_that_pauses_briefly_is_not_replaced(self) -> None:
        cluster = _start_cluster()
        writer = _keep_writing(cluster, cluster.proxies[0], "w")
        cluster.run_for(0.5)
        cluster.simulator.pause("db-a", 0.3)
        cluster.run_for(4.0)
        self.assertEqual([], cluster.promoted_terms())
        self.assertEqual(1, max(_commit_counts(cluster).values()))
        self.assertIsNone(writer.replies[-1].failure)


class TestPlannedStopUnderLoad(testtools.TestCase):
    """A planned stop must not interrupt accepted requests, including forwarded ones."""

    def test_shutdown_of_an_owner_leaves_no_request_in_doubt(self) -> None:
        cluster = _start_cluster()
        owner = _owner(cluster, "db-a")
        writers = [
            _keep_writing(cluster, node, f"w{number}")
            for number, node in enumerate(cluster.proxies)
        ]
        cluster.run_for(0.5)
        Deferred.fromCoroutine(owner.gateway.shut_down())
        cluster.run_for(6.0)
        codes = Counter(
            reply.failure.code
            for writer in writers
            for reply in writer.replies
            if reply.failure is not None
        )
        self.assertEqual(set(), IN_DOUBT_CODES & codes.keys(), str(codes))


class TestRemovedInstance(testtools.TestCase):
    """A restarted proxy must not use an instance that was removed from the directory."""

    def test_restarted_fleet_does_not_dial_a_removed_instance(self) -> None:
        cluster = _start_cluster()
        cluster.crash_instance("db-c")
        cluster.run_for(6.0)
        for node in cluster.proxies:
            cluster.kill_proxy(node)
        cluster.run_for(0.5)
        for node in cluster.proxies:
            node.dialer.links.clear()
            cluster.start_proxy(node)
        cluster.run_for(4.0)
        dialed_instances = {name for node in cluster.proxies for name, _ in node.dialer.links}
        self.assertNotIn("db-c", dialed_instances)
        writer = cluster.open_session(cluster.proxies[0], QUOTES)
        self.assertIsNone(cluster.send_and_wait(writer, Write("q1 oak")).failure)


class TestUnexpectedInput(testtools.TestCase):
    """A malformed message or an unexpected error must not end the process."""

    def test_failed_loop_is_logged_and_restarted(self) -> None:
        cluster = _start_cluster()
        # A proxy that reads the store directly.
        node = next(
            node for node in cluster.proxies if node.gateway._view_subscriber.source is None
        )
        records = node.gateway._fleet_membership._records
        original_list, failures = records.list, iter(range(2))

        def fail_twice() -> object:
            if next(failures, None) is not None:
                raise RuntimeError("unexpected")
            return original_list()

        records.list = fail_twice  # type: ignore[method-assign, assignment]
        cluster.run_for(6.0)
        errors = [
            fields for event_type, fields in node.event_log.events if event_type is EventType.ERROR
        ]
        self.assertNotEqual([], errors)
        cluster_state = node.gateway.cluster_state
        self.assertGreater(cluster_state.leases.leases_start_at, cluster_state.lease_clock() - 4.0)

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.binary(max_size=300), min_size=1, max_size=5))
    def test_malformed_datagrams_are_dropped(self, datagrams: list[bytes]) -> None:
        received: list[object] = []
        socket = PeerSocket(received.append)
        for datagram in datagrams:
            socket.datagramReceived(datagram, ("10.0.0.1", 7440))
        self.assertEqual([], received)
