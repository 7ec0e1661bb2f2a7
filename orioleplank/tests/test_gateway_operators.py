"""What went wrong for operators of similar systems, tried on whole gateways on virtual time."""

from __future__ import annotations

from collections import Counter

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from orioleplank.decision.session import Begin, Commit, FailureCode, Reply, Write
from orioleplank.gateway import EventType
from orioleplank.gateway._peer_socket import PeerSocket
from orioleplank.tests._gateway_cluster import QUOTES, GatewayCluster, GatewayNode, SimulatedCaller

START_S = 4.0
PROXIES = 9
CONNECTIONS = 22
# Codes of replies that leave open whether a request has run.
OPEN_CODES = frozenset({FailureCode.IN_DOUBT, FailureCode.TIMEOUT})


def _started() -> GatewayCluster:
    site = GatewayCluster(1, PROXIES, CONNECTIONS)
    site.run_for(START_S)
    return site


def _owner(site: GatewayCluster, instance: str) -> GatewayNode:
    """Return the first owner of an instance's connections."""
    name = site.proxies[0].gateway.cluster_state.connection_owners(instance)[0]
    return next(node for node in site.proxies if node.name == name)


def _keep_writing(site: GatewayCluster, node: GatewayNode, label: str) -> SimulatedCaller:
    """Open a session that sends its next write as soon as the last one was answered."""
    caller = site.open_session(node, QUOTES)
    numbers = iter(range(10_000))

    def send(_: Reply | None = None) -> None:
        if not caller.is_closed:
            site.send_request(caller, Write(f"{label} {label}{next(numbers)}"))

    caller.on_reply = send
    send()
    return caller


def _committed(site: GatewayCluster) -> Counter[str]:
    """Return how often each value was committed at the primary."""
    values: Counter[str] = Counter()
    for entry in site.group.primary().log:
        values.update(value for _, value in entry.writes)
    return values


class TestSilentVm(testtools.TestCase):
    """A VM that was only silent: its work is neither started again elsewhere nor given up."""

    def test_work_of_a_paused_owner_is_done_once(self) -> None:
        site = _started()
        owner = _owner(site, "db-a")
        writers = [
            _keep_writing(site, node, f"w{number}")
            for number, node in enumerate(site.proxies)
            if node is not owner
        ]
        site.run_for(0.5)
        site.simulator.pause(owner.name, 1.5)
        site.run_for(6.0)
        self.assertEqual(1, max(_committed(site).values()))
        self.assertTrue(all(len(writer.replies) > 100 for writer in writers))

    def test_transaction_of_a_paused_proxy_goes_on(self) -> None:
        site = _started()
        node = site.proxies[1]
        caller = site.open_session(node, QUOTES)
        site.send_and_wait(caller, Begin(False))
        self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)
        site.simulator.pause(node.name, 1.0)
        site.run_for(1.2)
        self.assertIsNone(site.send_and_wait(caller, Commit()).failure)
        self.assertEqual(1, _committed(site)["oak"])

    def test_primary_that_is_silent_for_a_moment_is_not_replaced(self) -> None:
        site = _started()
        writer = _keep_writing(site, site.proxies[0], "w")
        site.run_for(0.5)
        site.simulator.pause("db-a", 0.3)
        site.run_for(4.0)
        self.assertEqual([], site.promoted_terms())
        self.assertEqual(1, max(_committed(site).values()))
        self.assertIsNone(writer.replies[-1].failure)


class TestPlannedStopUnderLoad(testtools.TestCase):
    """A planned stop cuts no request that was just accepted, also not of other proxies."""

    def test_stop_of_an_owner_answers_every_request(self) -> None:
        site = _started()
        owner = _owner(site, "db-a")
        writers = [
            _keep_writing(site, node, f"w{number}") for number, node in enumerate(site.proxies)
        ]
        site.run_for(0.5)
        Deferred.fromCoroutine(owner.gateway.shut_down())
        site.run_for(6.0)
        codes = Counter(
            reply.failure.code
            for writer in writers
            for reply in writer.replies
            if reply.failure is not None
        )
        self.assertEqual(set(), OPEN_CODES & codes.keys(), str(codes))


class TestDepartedServer(testtools.TestCase):
    """After a restart nobody uses a server that has left."""

    def test_restarted_fleet_opens_no_connection_to_an_instance_that_left(self) -> None:
        site = _started()
        site.crash_instance("db-c")
        site.run_for(6.0)
        for node in site.proxies:
            site.kill_proxy(node)
        site.run_for(0.5)
        for node in site.proxies:
            node.dialer.links.clear()
            site.start_proxy(node)
        site.run_for(4.0)
        dialled = {name for node in site.proxies for name, _ in node.dialer.links}
        self.assertNotIn("db-c", dialled)
        writer = site.open_session(site.proxies[0], QUOTES)
        self.assertIsNone(site.send_and_wait(writer, Write("q1 oak")).failure)


class TestUnexpectedInput(testtools.TestCase):
    """One malformed message or unexpected error ends no process."""

    def test_loop_that_fails_is_logged_and_run_again(self) -> None:
        site = _started()
        # One that reads the store itself.
        node = next(node for node in site.proxies if node.gateway._view_subscriber.source is None)
        records = node.gateway._fleet_membership._records
        genuine, failures = records.list, iter(range(2))

        def fail_twice() -> object:
            if next(failures, None) is not None:
                raise RuntimeError("unexpected")
            return genuine()

        records.list = fail_twice  # type: ignore[method-assign, assignment]
        site.run_for(6.0)
        noted = [fields for topic, fields in node.journal.lines if topic is EventType.ERROR]
        self.assertNotEqual([], noted)
        beliefs = node.gateway.cluster_state
        self.assertGreater(beliefs.leases.listing_requested_at, beliefs.lease_clock() - 4.0)

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.binary(max_size=300), min_size=1, max_size=5))
    def test_datagrams_that_cannot_be_read_are_dropped(self, datagrams: list[bytes]) -> None:
        taken: list[object] = []
        socket = PeerSocket(taken.append)
        for datagram in datagrams:
            socket.datagramReceived(datagram, ("10.0.0.1", 7440))
        self.assertEqual([], taken)
