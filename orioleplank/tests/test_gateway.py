"""Whole gateways on virtual time, against a simulated platform."""

from __future__ import annotations

from unittest import mock

import testtools

from orioleplank.decision.session import (
    AccessMode,
    Begin,
    Commit,
    Execute,
    FailureCode,
    Prepare,
    PreparedStatement,
    Read,
    Rollback,
    SetValue,
    TransactionState,
    Write,
)
from orioleplank.gateway import _lease_release
from orioleplank.tests._gateway_cluster import (
    CATALOGUE,
    JOBS,
    QUOTES,
    GatewayCluster,
)
from orioleplank.tests._gateway_helpers import failure_code, keep_writing, start_cluster


class TestStatements(testtools.TestCase):
    def test_write_then_read_on_every_route(self) -> None:
        cluster = start_cluster()
        quotes = cluster.open_session(cluster.proxies[0], QUOTES)
        self.assertIsNone(cluster.send_and_wait(quotes, Write("q1 oak")).failure)
        self.assertEqual(("oak",), cluster.send_and_wait(quotes, Read("q1")).rows)
        cluster.run_for(2.0)
        for database in (CATALOGUE, JOBS):
            caller = cluster.open_session(cluster.proxies[1], database)
            self.assertEqual(("oak",), cluster.send_and_wait(caller, Read("q1")).rows)

    def test_session_reads_its_own_writes_from_a_replica(self) -> None:
        cluster = start_cluster()
        for letter in "bc":
            cluster.group.members[f"db-{letter}"].lag = 0.4
        jobs = cluster.open_session(cluster.proxies[0], JOBS)
        for number in range(20):
            self.assertIsNone(cluster.send_and_wait(jobs, Write(f"j{number} done")).failure)
            self.assertEqual(("done",), cluster.send_and_wait(jobs, Read(f"j{number}")).rows)

    def test_commit_is_signed_and_makes_writes_visible_and_rollback_discards_them(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        self.assertEqual(TransactionState.OPEN, cluster.send_and_wait(caller, Begin(False)).state)
        cluster.send_and_wait(caller, Write("q1 oak"))
        self.assertEqual(("oak",), cluster.send_and_wait(caller, Read("q1")).rows)
        self.assertEqual(TransactionState.IDLE, cluster.send_and_wait(caller, Rollback()).state)
        self.assertEqual(("",), cluster.send_and_wait(caller, Read("q1")).rows)
        cluster.send_and_wait(caller, Begin(False))
        cluster.send_and_wait(caller, Write("q1 ash"))
        commit = cluster.send_and_wait(caller, Commit())
        self.assertNotEqual("-", commit.signature)
        self.assertEqual(("ash",), cluster.send_and_wait(caller, Read("q1")).rows)

    def test_commit_of_empty_transaction_is_signed_by_an_instance(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.send_and_wait(caller, Begin(True))
        commit = cluster.send_and_wait(caller, Commit())
        self.assertIsNone(commit.failure)
        self.assertNotEqual("-", commit.signature)

    def test_sessions_do_not_share_values_or_prepared_statements(self) -> None:
        cluster = start_cluster(proxies=1)
        callers = [cluster.open_session(cluster.proxies[0], QUOTES) for _ in range(8)]
        for number, caller in enumerate(callers):
            cluster.send_and_wait(caller, SetValue("user", str(number)))
            mode = AccessMode.WRITE if number % 2 else AccessMode.READ
            cluster.send_and_wait(caller, Prepare("s", PreparedStatement(mode, f"q{number}")))
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

    def test_unknown_database_or_statement_is_refused_without_execution(self) -> None:
        cluster = start_cluster()
        rejected = cluster.open_session(cluster.proxies[0], "nowhere")
        assert rejected.refusal is not None
        self.assertEqual(FailureCode.UNKNOWN_DATABASE, rejected.refusal.code)
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        self.assertEqual(
            FailureCode.UNKNOWN_NAME, failure_code(cluster.send_and_wait(caller, Execute("s", "k")))
        )
        self.assertEqual(
            FailureCode.MALFORMED, failure_code(cluster.send_and_wait(caller, Commit()))
        )
        self.assertEqual([], cluster.group.executions)


class TestUnresponsiveInstance(testtools.TestCase):
    def test_unresponsive_replica_is_avoided_until_it_responds_again(self) -> None:
        cluster = start_cluster()
        proxy = cluster.proxies[0]
        replica = next(
            n for n in "bc" if cluster.group.members[f"db-{n}"].directory_entry.zone == "zone-b"
        )
        name = f"db-{replica}"
        callers = [cluster.open_session(proxy, CATALOGUE) for _ in range(4)]
        cluster.simulator.cut_link(proxy.name, name)
        end = cluster.simulator.now + 4.0
        while cluster.simulator.now < end:
            for caller in callers:
                self.assertIsNone(cluster.send_and_wait(caller, Read("q1")).failure)
        self.assertTrue(proxy.gateway.cluster_state.pools[name].is_suspect)
        cluster.simulator.heal()
        cluster.run_for(3.0)
        self.assertFalse(proxy.gateway.cluster_state.pools[name].is_suspect)

    def test_read_succeeds_1600_ms_after_the_link_to_the_primary_was_cut(self) -> None:
        """The first statements must detect the cut, so that later ones do not time out too."""
        cluster = start_cluster()
        isolated = cluster.proxies[0]
        for proxy in cluster.proxies[1:]:
            keep_writing(cluster, cluster.open_session(proxy, QUOTES))
        cluster.simulator.cut_link(isolated.name, "db-a")
        cluster.simulator.cut_link("db-a", isolated.name)
        callers = [cluster.open_session(isolated, QUOTES) for _ in range(3)]
        for caller in callers:
            cluster.send_request(caller, Read("q1"))
        cluster.run_for(1.6)
        self.assertIsNone(cluster.send_and_wait(callers[0], Read("q1")).failure)


class TestLeases(testtools.TestCase):
    def test_isolated_proxy_acknowledges_nothing_after_a_new_term_has_begun(self) -> None:
        """A proxy isolated with the old primary must stop before another instance is promoted.

        Otherwise it acknowledges writes that the new primary does not have.
        """
        acknowledged_at, new_term_began_at = self._isolate_one_proxy()
        self.assertLess(max(acknowledged_at), new_term_began_at)

    def test_isolated_proxy_acknowledges_after_a_new_term_has_begun_if_releases_are_not_awaited(
        self,
    ) -> None:
        with mock.patch.object(
            _lease_release.LeaseReleaseCoordinator, "collect_releases", _collect_no_releases
        ):
            acknowledged_at, new_term_began_at = self._isolate_one_proxy()
        self.assertGreater(max(acknowledged_at), new_term_began_at)

    def _isolate_one_proxy(self) -> tuple[list[float], float]:
        """Isolate one proxy with the primary from all other nodes.

        Returns the times of its acknowledged writes, and when the next term began, in seconds.
        """
        cluster = start_cluster()
        isolated = cluster.proxies[0]
        caller = cluster.open_session(isolated, QUOTES)
        acknowledged_at: list[float] = []
        keep_writing(cluster, caller, lambda r: acknowledged_at.append(cluster.simulator.now))
        cluster.run_for(1.0)
        names = [STORE_NODE_NAME, *(proxy.name for proxy in cluster.proxies[1:])]
        for name in names:
            cluster.simulator.cut_link(isolated.name, name)
            cluster.simulator.cut_link(name, isolated.name)
        for proxy in cluster.proxies[1:]:
            for name in ("db-a",):
                cluster.simulator.cut_link(proxy.name, name)
                cluster.simulator.cut_link(name, proxy.name)
            proxy.dialer.break_connections("db-a")
        cluster.run_for(20.0)
        self.assertEqual([2], cluster.promoted_terms())
        return acknowledged_at, cluster.group.term_started_at[2]

    def test_request_is_refused_after_vm_suspension_outlasted_the_lease(self) -> None:
        """A resumed proxy whose lease expired must not read from a primary replaced meanwhile."""
        cluster = start_cluster()
        proxy = cluster.proxies[0]
        caller = cluster.open_session(proxy, QUOTES)
        self.assertIsNone(cluster.send_and_wait(caller, Read("q1")).failure)
        proxy.suspended_seconds += 12.0
        reply = cluster.send_and_wait(caller, Read("q1"))
        self.assertEqual(FailureCode.BUSY, failure_code(reply))

    def test_writes_succeed_during_a_store_outage_shorter_than_the_lease(self) -> None:
        cluster = start_cluster()
        cluster.store.refused_proxies.add("*")
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        end = cluster.simulator.now + 7.0
        while cluster.simulator.now < end:
            self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
            cluster.run_for(0.1)

    def test_proxy_refused_by_the_store_serves_from_views_of_other_proxies(self) -> None:
        cluster = start_cluster()
        rejected = cluster.proxies[0]
        cluster.store.refused_proxies.add(rejected.name)
        cluster.change_routes(*cluster.routes.routes.values())
        caller = cluster.open_session(rejected, QUOTES)
        end = cluster.simulator.now + 15.0
        while cluster.simulator.now < end:
            self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)
            cluster.run_for(0.2)
        self.assertEqual(2, rejected.gateway.cluster_state.routes.version)

    def test_request_is_refused_immediately_after_the_lease_expired(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.store.refused_proxies.add("*")
        cluster.run_for(13.0)
        sent_at = cluster.simulator.now
        self.assertEqual(
            FailureCode.BUSY, failure_code(cluster.send_and_wait(caller, Write("q1 oak")))
        )
        self.assertLess(cluster.simulator.now - sent_at, 0.05)


class TestUnknownOutcomes(testtools.TestCase):
    def test_write_with_lost_response_is_in_doubt_and_is_not_retried(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.group.members["db-a"].loses_answers = True
        reply = cluster.send_and_wait(caller, Write("q1 oak"))
        self.assertIn(failure_code(reply), {FailureCode.TIMEOUT, FailureCode.IN_DOUBT})
        cluster.run_for(3.0)
        self.assertEqual(1, len(cluster.group.executions))

    def test_transaction_on_a_broken_connection_is_reported_as_aborted(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.send_and_wait(caller, Begin(False))
        cluster.send_and_wait(caller, Write("q1 oak"))
        cluster.proxies[0].dialer.break_connections("db-a")
        self.assertEqual(
            FailureCode.ABORTED, failure_code(cluster.send_and_wait(caller, Write("q2 ash")))
        )
        self.assertEqual(FailureCode.ABORTED, failure_code(cluster.send_and_wait(caller, Commit())))
        self.assertEqual([], cluster.group.primary().log)

    def test_commit_with_lost_response_is_in_doubt(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.send_and_wait(caller, Begin(False))
        cluster.send_and_wait(caller, Write("q1 oak"))
        cluster.group.members["db-a"].loses_answers = True
        self.assertIn(
            failure_code(cluster.send_and_wait(caller, Commit())),
            {FailureCode.TIMEOUT, FailureCode.IN_DOUBT},
        )

    def test_write_refused_as_busy_is_not_executed(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.group.members["db-a"].is_full = True
        self.assertEqual(
            FailureCode.BUSY, failure_code(cluster.send_and_wait(caller, Write("q1 oak")))
        )
        self.assertEqual([], cluster.group.executions)


class TestConfiguration(testtools.TestCase):
    def test_statement_on_a_removed_route_is_refused(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        remaining_routes = [
            route for route in cluster.routes.routes.values() if route.database != QUOTES
        ]
        cluster.change_routes(*remaining_routes)
        cluster.run_for(1.0)
        self.assertEqual(
            FailureCode.UNKNOWN_DATABASE, failure_code(cluster.send_and_wait(caller, Read("q1")))
        )

    def test_configuration_change_arrives_in_time_after_history_compaction(self) -> None:
        cluster = start_cluster()
        cluster.store.compact_history()
        cluster.change_routes()
        cluster.run_for(1.0)
        for proxy in cluster.proxies:
            self.assertEqual(2, proxy.gateway.cluster_state.routes.version)


class TestIdleTransactions(testtools.TestCase):
    def test_transaction_that_exceeds_the_idle_limit_is_rolled_back(self) -> None:
        cluster = start_cluster()
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.send_and_wait(caller, Begin(False))
        cluster.send_and_wait(caller, Write("q1 oak"))
        cluster.run_for(5.0)
        self.assertEqual(
            FailureCode.ABORTED, failure_code(cluster.send_and_wait(caller, Write("q2 ash")))
        )
        self.assertEqual([], cluster.group.primary().log)


async def _collect_no_releases(*_: object) -> _lease_release.CollectedReleases:
    return _lease_release.CollectedReleases((), 0)


STORE_NODE_NAME = "store"


class TestStartup(testtools.TestCase):
    def _restart_all(self, cluster: GatewayCluster) -> None:
        for node in cluster.proxies:
            cluster.kill_proxy(node)
            cluster.start_proxy(node)

    def test_session_opened_before_the_configuration_becomes_ready_when_it_arrives(self) -> None:
        cluster = start_cluster()
        self._restart_all(cluster)
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        self.assertIsNone(caller.refusal)
        self.assertFalse(caller.has_received_ready)
        cluster.run_for(0.5)
        self.assertTrue(caller.has_received_ready)

    def test_early_session_of_an_unknown_database_is_refused_once_the_configuration_arrives(
        self,
    ) -> None:
        cluster = start_cluster()
        self._restart_all(cluster)
        caller = cluster.open_session(cluster.proxies[0], "nowhere")
        cluster.run_for(0.5)
        assert caller.refusal is not None
        self.assertEqual(FailureCode.UNKNOWN_DATABASE, caller.refusal.code)

    def test_statement_waits_for_the_first_listing_of_group_records(self) -> None:
        cluster = start_cluster()
        self._restart_all(cluster)
        node = cluster.proxies[0]
        while node.gateway.cluster_state.routes.version == 0:
            cluster.run_for(0.0005)
        self.assertIsNone(node.gateway.cluster_state.lease("books"))
        caller = cluster.open_session(node, QUOTES)
        self.assertIsNone(cluster.send_and_wait(caller, Write("q1 oak")).failure)

    def test_statement_waits_for_the_first_listing_of_instances(self) -> None:
        cluster = start_cluster()
        cluster.store.delay_by_kind["instances"] = 0.3
        self._restart_all(cluster)
        node = cluster.proxies[0]
        while node.gateway.cluster_state.lease("books") is None:
            cluster.run_for(0.001)
        self.assertEqual({}, node.gateway.cluster_state.pools)
        writer, reader = cluster.open_session(node, QUOTES), cluster.open_session(node, QUOTES)
        cluster.send_request(reader, Read("q1"))
        self.assertIsNone(cluster.send_and_wait(writer, Write("q1 oak")).failure)
        self.assertIsNone(reader.replies[0].failure)

    def test_early_session_is_refused_as_busy_within_2_s_if_the_store_is_unavailable(self) -> None:
        cluster = start_cluster()
        cluster.store.refused_proxies.add("*")
        self._restart_all(cluster)
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        cluster.run_for(2.0)
        assert caller.refusal is not None
        self.assertEqual(FailureCode.BUSY, caller.refusal.code)
