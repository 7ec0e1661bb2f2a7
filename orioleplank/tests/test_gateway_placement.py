"""Placement queries on whole gateways, on virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools
from msgspec.structs import replace
from twisted.internet.defer import Deferred

from orioleplank.decision.accounts import RateLimit
from orioleplank.decision.routing import OwnerEstimate
from orioleplank.decision.session import Begin, Read, Write
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._operation_admission import SHUTDOWN_REASON
from orioleplank.tests._gateway_cluster import (
    CATALOGUE,
    JOBS,
    QUOTES,
    ROUTES,
    GatewayCluster,
    GatewayNode,
)
from orioleplank.tests._placement_queries import (
    ACCOUNTS,
    READ,
    READ_ONLY,
    WRITE,
    query,
    query_everything,
    start_cluster,
    start_owner_cluster,
)
from orioleplank.tests._state_fingerprint import describe_state


def non_owner(cluster: GatewayCluster, instance: str) -> GatewayNode:
    """Return a proxy that owns no connections to an instance."""
    owners = cluster.proxies[0].gateway.cluster_state.connection_owners(instance)
    return next(node for node in cluster.proxies if node.name not in owners)


class TestSamePlacement(testtools.TestCase):
    """An answer that differs from what a request does would mislead the operator."""

    def test_read_is_run_where_the_query_said(self) -> None:
        for cluster in (start_cluster(), start_owner_cluster()):
            for node in cluster.proxies:
                caller = cluster.open_session(node, CATALOGUE)
                for _ in range(8):
                    answer = query(node, READ, CATALOGUE)
                    self.assertIsNone(cluster.send_and_wait(caller, Read("k")).failure)
                    executed = cluster.group.executions[-1]
                    self.assertEqual(answer["instance"], executed.instance)

    def test_read_only_transaction_is_run_where_the_query_said(self) -> None:
        cluster = start_cluster()
        for node in cluster.proxies:
            caller = cluster.open_session(node, JOBS)
            cluster.send_and_wait(caller, Begin(True))
            answer = query(node, READ_ONLY, JOBS)
            self.assertIsNone(cluster.send_and_wait(caller, Read("k")).failure)
            self.assertEqual(answer["instance"], cluster.group.executions[-1].instance)

    def test_write_goes_through_the_owner_that_the_query_named(self) -> None:
        cluster = start_owner_cluster()
        node = non_owner(cluster, "db-a")
        caller = cluster.open_session(node, QUOTES)
        loads = node.gateway.forwarding_client.owner_loads
        for _ in range(8):
            answer = query(node, WRITE, QUOTES)
            with mock.patch.object(loads, "record_sent", wraps=loads.record_sent) as record:
                self.assertIsNone(cluster.send_and_wait(caller, Write("k oak")).failure)
            sent = [call.args[:2] for call in record.call_args_list if _is_run(call)]
            self.assertEqual([(answer["instance"], answer["connection"]["owner"])], sent)
            self.assertTrue(answer["connection"]["is_forwarded"])
        # After responses, the owner's own queue is known.
        owners = [queue["owner"] for queue in answer["connection"]["queues"]]
        self.assertEqual([node.name, answer["connection"]["owner"]], owners)

    def test_waiting_statements_are_reported(self) -> None:
        """Guards against an answer that hides a full queue at the chosen instance."""
        cluster = start_cluster()
        node = cluster.proxies[0]
        self.assertEqual(0, query(node, WRITE, QUOTES)["connection"]["queues"][0]["waiting"])
        for number in range(50):
            caller = cluster.open_session(node, QUOTES)
            cluster.send_request(caller, Write(f"k{number} oak"))
        queue = query(node, WRITE, QUOTES)["connection"]["queues"][0]
        pool = node.gateway.cluster_state.pools["db-a"]
        self.assertGreater(queue["waiting"], 0)
        self.assertEqual((pool.waiting, node.name), (queue["waiting"], queue["owner"]))


def _is_run(call: Any) -> bool:
    return type(call.args[2]).__name__ == "RunAsked"


def _statements(node: GatewayNode) -> Any:
    """Return what runs the statements of a proxy."""
    return node.gateway.placement_view._statements


class TestNoEffect(testtools.TestCase):
    """A query during an incident must not change what it looks at."""

    def test_two_queries_and_none_leave_the_same_state(self) -> None:
        """Guards against queries that count as demand, take permits, queue or schedule calls."""
        cases = (start_cluster(accounts=ACCOUNTS), start_owner_cluster())
        for cluster in cases:
            for node in cluster.proxies:
                keys = {"account": "hot"} if cluster is cases[0] else {}
                before, calls = describe_state(node.gateway), len(
                    cluster.simulator._scheduled_calls
                )
                first = query(node, READ, CATALOGUE, **keys)
                query(node, WRITE, QUOTES, **keys)
                query(node, READ_ONLY, JOBS, **keys)
                self.assertEqual(first, query(node, READ, CATALOGUE, **keys))
                self.assertEqual(before, describe_state(node.gateway))
                self.assertEqual(calls, len(cluster.simulator._scheduled_calls))

    def test_state_description_shows_the_effects_of_placement(self) -> None:
        """Guards the test above against a description that leaves out what could change."""
        node = start_owner_cluster().proxies[0]
        cluster_state, forwarding = node.gateway.cluster_state, node.gateway.forwarding_client
        unused = replace(next(iter(cluster_state.fleet.active())), address="10.1.1.99:7440")
        effects: dict[str, Callable[[], object]] = {
            "position required": lambda: cluster_state.positions.find_minimum("other", 0.0),
            "random number": lambda: _statements(node).random.random(),
            "channel": lambda: forwarding.channel(replace(unused, name="other")),
            "permit": lambda: node.gateway._rate_limiter._holder.request(
                "hot", RateLimit(1.0, 1.0), lambda _: None, 0.0
            ),
        }
        for name, cause in effects.items():
            before = describe_state(node.gateway)
            cause()
            with self.subTest(name):
                self.assertNotEqual(before, describe_state(node.gateway))

    def test_random_choices_of_requests_are_foreseen_and_not_used_up(self) -> None:
        """Guards against queries that draw the random numbers of requests."""
        cluster = start_cluster()
        node = cluster.proxies[0]
        caller = cluster.open_session(node, CATALOGUE)
        cluster.send_and_wait(caller, Read("k"))
        # News of owners with similar times at all instances, so that each choice is random.
        estimate = OwnerEstimate(0.2, 1.0)
        foreseen, executed = [], []
        with mock.patch.object(ClusterState, "owner_estimate", lambda *_: estimate):
            for _ in range(20):
                before = describe_state(node.gateway)
                foreseen.append(query(node, READ, CATALOGUE)["instance"])
                query(node, READ_ONLY, JOBS)
                self.assertEqual(before, describe_state(node.gateway))
                cluster.send_and_wait(caller, Read("k"))
                executed.append(cluster.group.executions[-1].instance)
        self.assertEqual(foreseen, executed)
        self.assertGreater(len(set(executed)), 1)

    def test_queried_cluster_places_the_next_requests_like_another_one(self) -> None:
        """Guards against effects of queries that show only in what is placed later."""
        placements = []
        for is_queried in (False, True):
            cluster = start_owner_cluster()
            for node in cluster.proxies:
                caller = cluster.open_session(node, CATALOGUE)
                for _ in range(6):
                    if is_queried:
                        query_everything(node)
                        query_everything(node)
                    cluster.send_and_wait(caller, Read("k"))
            placements.append([(e.instance, e.executed_at) for e in cluster.group.executions])
        self.assertEqual(54, len(placements[0]))
        self.assertEqual(placements[0], placements[1])

    def test_query_after_a_new_lease_does_not_replace_known_positions(self) -> None:
        """The tracker starts a new history when a position of a new term is looked up."""
        cluster = start_cluster()
        node = cluster.proxies[0]
        cluster_state = node.gateway.cluster_state
        lease = cluster_state.lease(ROUTES[0].service)
        assert lease is not None
        newer = replace(lease, term=lease.term + 1)
        cluster_state.positions._find_lease = lambda _: newer
        before = describe_state(node.gateway)
        query(node, READ, CATALOGUE)
        self.assertEqual(before, describe_state(node.gateway))


class TestReasons(testtools.TestCase):
    """An answer without the requirement or a reason leaves the operator to guess."""

    def test_read_states_route_requirement_and_candidates(self) -> None:
        cluster = start_cluster()
        node = cluster.proxies[0]
        # Positions are known where reads have required them lately.
        cluster.send_and_wait(cluster.open_session(node, CATALOGUE), Read("k"))
        answer = query(node, READ, CATALOGUE)
        self.assertEqual(("bounded", 1.5), _consistency_and_age(answer))
        self.assertRegex(answer["requirement"]["min_position"], r"^\d+\.\d+$")
        candidates = {c["instance"]: c for c in answer["candidates"]}
        self.assertEqual({"db-a", "db-b", "db-c"}, set(candidates))
        self.assertEqual("may serve it as the primary", candidates["db-a"]["reason"])
        best = min(candidates.values(), key=lambda c: float(c["expected_time"]))
        self.assertEqual(best["instance"], answer["instance"])
        self.assertEqual("", answer["account"])
        self.assertIsNone(answer["refusal"])

    def test_age_of_the_query_replaces_the_age_of_the_route(self) -> None:
        """Guards against an answer for the route's age when another one was asked for."""
        node = start_cluster().proxies[0]
        answer = query(node, READ, CATALOGUE, age="0")
        self.assertEqual(("bounded", 0.0), _consistency_and_age(answer))
        self.assertIsNone(answer["requirement"]["min_position"])
        self.assertEqual("db-a", answer["instance"])
        reasons = {c["instance"]: c["reason"] for c in answer["candidates"]}
        self.assertEqual("no position is recent enough for a replica", reasons["db-b"])

    def test_read_waits_for_a_replica_that_lags_a_little(self) -> None:
        """Guards against a refusal where a read would wait and be served."""
        cluster = start_cluster()
        node = cluster.proxies[0]
        cluster.send_and_wait(cluster.open_session(node, CATALOGUE), Read("k"))
        pool_reports = type(node.gateway.cluster_state.pools["db-b"].reports)
        soon = cluster.simulator.now + 0.4
        with (
            mock.patch.object(pool_reports, "has", lambda *_: False),
            mock.patch.object(pool_reports, "expected_at", lambda *_: soon),
            mock.patch.object(ClusterState, "primary_accepts_work", lambda *_: False),
        ):
            answer = query(node, READ, CATALOGUE)
        self.assertIn(answer["instance"], ("db-b", "db-c"))
        self.assertGreater(answer["wait"], 0.3)

    def test_write_without_a_primary_is_refused_with_the_reason(self) -> None:
        """Guards against another refusal than the one that a write gets."""
        cluster = start_cluster()
        node = cluster.proxies[0]
        cluster.group.loses_promotions = True
        cluster.crash_instance("db-a")
        cluster.run_for(14.0)
        answer = query(node, WRITE, QUOTES)
        reply = cluster.send_and_wait(cluster.open_session(node, QUOTES), Write("k oak"))
        assert reply.failure is not None
        self.assertEqual(reply.failure.code.value, answer["refusal"]["code"])
        self.assertEqual(reply.failure.detail, answer["refusal"]["detail"])
        self.assertEqual(("", None), (answer["instance"], answer["connection"]))

    def test_proxy_that_stops_refuses(self) -> None:
        """Guards against an answer that sends requests to a proxy which no longer accepts them."""
        cluster = start_cluster()
        node = cluster.proxies[0]
        cluster.send_request(cluster.open_session(node, QUOTES), Write("k oak"))
        Deferred.fromCoroutine(node.gateway.shut_down())
        cluster.run_for(5.5)
        for kind in (READ, WRITE, READ_ONLY):
            refusal = query(node, kind, JOBS)["refusal"]
            self.assertEqual("busy", refusal["code"])
            self.assertIn(SHUTDOWN_REASON, refusal["detail"])

    def test_proxy_without_a_configuration_refuses(self) -> None:
        """Guards against an error about an unknown database from a proxy that has just started."""
        cluster = GatewayCluster(1)
        answer = query(cluster.proxies[0], READ, CATALOGUE)
        self.assertIn("no configuration is known yet", answer["refusal"]["detail"])


def _consistency_and_age(answer: dict[str, Any]) -> tuple[str, float]:
    return answer["route"]["consistency"], answer["requirement"]["max_age"]
