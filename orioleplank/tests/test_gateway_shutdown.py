"""Graceful shutdowns of a proxy, on virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

import testtools
from msgspec.structs import replace
from twisted.internet.defer import Deferred

from orioleplank.decision.session import Begin, Commit, FailureCode, Read, Statement, Write
from orioleplank.gateway import EventType
from orioleplank.tests._gateway_cluster import (
    CATALOGUE,
    QUOTES,
    ROUTES,
    GatewayCluster,
    GatewayNode,
)
from orioleplank.tests._gateway_helpers import failure_code, start_cluster
from orioleplank.tests._simulated_caller import SimulatedCaller

# The settings of the simulated proxies.
GRACE_S = 6.0


@dataclass
class StoppingProxy:
    """A proxy during its shutdown, and the callers that still connect to it."""

    cluster: GatewayCluster
    node: GatewayNode
    # Caller, request id and statement of each request that was sent.
    sent: list[tuple[SimulatedCaller, str, Statement]] = field(default_factory=list)
    # Requests that had no reply when the process ended; None while it runs.
    unanswered: list[str] | None = None

    def begin(self) -> None:
        """Stop the proxy; its callers are cut off when its process ends."""
        shutdown = Deferred.fromCoroutine(self.node.gateway.shut_down())
        shutdown.addCallback(lambda _: self._end_process())

    def _end_process(self) -> None:
        self.unanswered = [request for caller, request, _ in self.sent if not caller.replies]
        self.cluster.kill_proxy(self.node)

    def send_until_end(self, interval_s: float = 0.003) -> None:
        """Open a session for each read or write until the process has ended."""
        if self.unanswered is not None:
            return
        self.cluster.simulator.call_later(interval_s, self.send_until_end)
        number = len(self.sent)
        statement = Write(f"q{number} w{number}") if number % 2 else Read("q1")
        caller = self.cluster.open_session(self.node, QUOTES if number % 2 else CATALOGUE)
        if caller.refusal is None:
            self.sent.append((caller, self.cluster.send_request(caller, statement), statement))

    def committed(self) -> set[str]:
        """Return the values that the primary has committed."""
        entries = self.cluster.group.primary().log
        return {value for entry in entries for _, value in entry.writes}


class TestLateRequests(testtools.TestCase):
    """The load balancer still sends sessions to a proxy that is shutting down."""

    # A proxy took sessions until its last moment and cut requests that it had passed on.
    def test_request_taken_just_before_the_end_is_answered(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                cluster = start_cluster(seed)
                stopping = StoppingProxy(cluster, cluster.proxies[0])
                stopping.begin()
                stopping.send_until_end()
                cluster.run_for(GRACE_S)
                self.assertEqual([], stopping.unanswered)
                self.assertGreater(len(stopping.sent), 500)

    def test_request_that_is_refused_has_not_run(self) -> None:
        cluster = start_cluster()
        stopping = StoppingProxy(cluster, cluster.proxies[0])
        stopping.begin()
        stopping.send_until_end()
        cluster.run_for(GRACE_S)
        committed = stopping.committed()
        for caller, request, statement in stopping.sent:
            code = failure_code(caller.replies[0])
            self.assertIn(code, {None, FailureCode.BUSY}, request)
            if isinstance(statement, Write) and code is FailureCode.BUSY:
                self.assertNotIn(statement.arguments.partition(" ")[2], committed)

    def test_session_is_refused_once_its_requests_could_not_end(self) -> None:
        cluster = start_cluster()
        stopping = StoppingProxy(cluster, cluster.proxies[0])
        # Keeps the process running.
        busy = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.send_and_wait(busy, Begin(False))
        stopping.begin()
        stopping.send_until_end()
        cluster.run_for(GRACE_S - 1.4)
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        assert caller.refusal is not None
        self.assertIs(FailureCode.BUSY, caller.refusal.code)
        self.assertIn("stopping", caller.refusal.detail)

    def test_transaction_that_could_not_end_is_refused(self) -> None:
        cluster = start_cluster()
        stopping = StoppingProxy(cluster, cluster.proxies[0])
        stopping.begin()
        stopping.send_until_end()
        cluster.run_for(2.8)
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        reply = cluster.send_and_wait(caller, Begin(False))
        self.assertIs(FailureCode.BUSY, failure_code(reply))


class TestRequestsThatCannotEnd(testtools.TestCase):
    """Requests whose timeout is longer than the grace period."""

    def test_request_in_progress_is_in_doubt_and_those_behind_it_have_not_run(self) -> None:
        cluster = start_cluster()
        cluster.change_routes(*(replace(route, timeout=30.0) for route in ROUTES))
        cluster.run_for(1.0)
        cluster.group.primary().loses_answers = True
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        stopping = StoppingProxy(cluster, cluster.proxies[0])
        for number in range(3):
            cluster.send_request(caller, Write(f"q{number} w{number}"))
        cluster.run_for(0.1)
        stopping.begin()
        cluster.run_for(GRACE_S)
        codes = [failure_code(reply) for reply in caller.replies]
        self.assertEqual([FailureCode.IN_DOUBT, FailureCode.BUSY, FailureCode.BUSY], codes)
        self.assertEqual({"w0"}, stopping.committed())

    def test_request_sent_during_the_shutdown_ends_with_it(self) -> None:
        cluster = start_cluster()
        cluster.change_routes(*(replace(route, timeout=30.0) for route in ROUTES))
        cluster.run_for(1.0)
        stopping = StoppingProxy(cluster, cluster.proxies[0])
        for member in cluster.group.members.values():
            cluster.simulator.pause(member.name, 60.0)
        stopping.begin()
        stopping.send_until_end(0.3)
        cluster.run_for(GRACE_S)
        self.assertEqual([], stopping.unanswered)


class TestForwardingDuringShutdown(testtools.TestCase):
    def test_owner_refuses_a_statement_that_could_not_end(self) -> None:
        cluster = GatewayCluster(1, 9, 22)
        cluster.run_for(4.0)
        owners = cluster.proxies[0].gateway.cluster_state.connection_owners("db-a")
        owner = next(node for node in cluster.proxies if node.name == owners[0])
        sender = next(node for node in cluster.proxies if node.name not in owners)
        # The sender does not learn that the owner is stopping.
        cluster.store.change_delay = 60.0
        pinned = cluster.open_session(sender, QUOTES)
        Deferred.fromCoroutine(owner.gateway.shut_down())
        end = cluster.simulator.now + GRACE_S
        codes = set()
        while cluster.simulator.now < end:
            codes.add(failure_code(cluster.send_and_wait(pinned, Write("q1 oak"))))
        self.assertEqual({None}, codes)


def _append(names: list[str], name: str, _: object) -> None:
    names.append(name)


class TestRepeatedSignal(testtools.TestCase):
    # A second stop signal ended the process at once and cut its requests.
    def test_second_shutdown_leaves_the_first_its_grace_period(self) -> None:
        cluster = start_cluster()
        proxy = cluster.proxies[0]
        caller = cluster.open_session(proxy, QUOTES)
        cluster.send_and_wait(caller, Begin(False))
        ended: list[str] = []
        for name in ("first", "second"):
            shutdown = Deferred.fromCoroutine(proxy.gateway.shut_down())
            shutdown.addCallback(partial(_append, ended, name))
            cluster.run_for(0.5)
        self.assertEqual([], ended)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
        self.assertIsNone(cluster.send_and_wait(caller, Commit()).failure)
        cluster.run_for(GRACE_S)
        self.assertEqual(["first", "second"], sorted(ended))


class TestStopping(testtools.TestCase):
    def test_shutdown_finishes_open_transactions_and_closes_idle_sessions(self) -> None:
        cluster = start_cluster()
        proxy = cluster.proxies[0]
        idle = cluster.open_session(proxy, QUOTES)
        active = cluster.open_session(proxy, QUOTES)
        cluster.send_and_wait(active, Begin(False))
        Deferred.fromCoroutine(proxy.gateway.shut_down())
        self.assertFalse(proxy.gateway.is_ready)
        self.assertIsNone(cluster.send_and_wait(active, Write("q1 oak")).failure)
        self.assertIsNone(cluster.send_and_wait(active, Commit()).failure)
        cluster.run_for(3.0)
        self.assertTrue(idle.is_closed)
        self.assertTrue(active.is_closed)
        self.assertIn(EventType.STOPPED, [event_type for event_type, _ in proxy.event_log.events])

    def test_other_proxies_learn_that_a_proxy_is_stopping(self) -> None:
        cluster = start_cluster()
        stopping, other = cluster.proxies[:2]
        Deferred.fromCoroutine(stopping.gateway.shut_down())
        cluster.run_for(1.0)
        self.assertTrue(other.gateway.cluster_state.fleet.proxies[stopping.name].stopping)
        event_types = [event_type for event_type, _ in stopping.event_log.events]
        self.assertNotIn(EventType.ERROR, event_types)


class TestCallerDuringShutdown(testtools.TestCase):
    def test_request_that_arrives_while_the_port_closes_is_answered(self) -> None:
        cluster = start_cluster()
        gateway = cluster.proxies[0].gateway
        callers: list[SimulatedCaller] = []

        def connect_last() -> None:
            callers.append(cluster.open_session(cluster.proxies[0], QUOTES))
            cluster.send_request(callers[0], Write("q1 oak"))

        gateway.stop_accepting = connect_last
        was_answered_at_shutdown: list[bool] = []
        stopping = Deferred.fromCoroutine(gateway.shut_down())
        stopping.addCallback(lambda _: was_answered_at_shutdown.append(bool(callers[0].replies)))
        cluster.run_for(6.0)
        self.assertEqual([True], was_answered_at_shutdown)
        self.assertIsNone(callers[0].replies[0].failure)
