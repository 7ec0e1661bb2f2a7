"""Whole gateways on virtual time, against stand-ins of the platform."""

from __future__ import annotations

from unittest import mock

import testtools
from twisted.internet.defer import Deferred

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
from orioleplank.gateway import EventType, _lease_release
from orioleplank.tests._gateway_cluster import (
    CATALOGUE,
    JOBS,
    QUOTES,
    GatewayCluster,
    SimulatedCaller,
)
from orioleplank.tests._gateway_helpers import failure_code, keep_writing, start_cluster


class TestServing(testtools.TestCase):
    def test_write_then_read_on_every_route(self) -> None:
        site = start_cluster()
        quotes = site.open_session(site.proxies[0], QUOTES)
        self.assertIsNone(site.send_and_wait(quotes, Write("q1 oak")).failure)
        self.assertEqual(("oak",), site.send_and_wait(quotes, Read("q1")).rows)
        site.run_for(2.0)
        for database in (CATALOGUE, JOBS):
            caller = site.open_session(site.proxies[1], database)
            self.assertEqual(("oak",), site.send_and_wait(caller, Read("q1")).rows)

    def test_session_reads_its_own_writes_from_a_replica(self) -> None:
        site = start_cluster()
        for letter in "bc":
            site.group.members[f"db-{letter}"].lag = 0.4
        jobs = site.open_session(site.proxies[0], JOBS)
        for number in range(20):
            self.assertIsNone(site.send_and_wait(jobs, Write(f"j{number} done")).failure)
            self.assertEqual(("done",), site.send_and_wait(jobs, Read(f"j{number}")).rows)

    def test_transaction_commits_whole_or_not_at_all(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        self.assertEqual(TransactionState.OPEN, site.send_and_wait(caller, Begin(False)).state)
        site.send_and_wait(caller, Write("q1 oak"))
        self.assertEqual(("oak",), site.send_and_wait(caller, Read("q1")).rows)
        self.assertEqual(TransactionState.IDLE, site.send_and_wait(caller, Rollback()).state)
        self.assertEqual(("",), site.send_and_wait(caller, Read("q1")).rows)
        site.send_and_wait(caller, Begin(False))
        site.send_and_wait(caller, Write("q1 ash"))
        commit = site.send_and_wait(caller, Commit())
        self.assertNotEqual("-", commit.signature)
        self.assertEqual(("ash",), site.send_and_wait(caller, Read("q1")).rows)

    def test_empty_transaction_is_signed_by_an_instance(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        site.send_and_wait(caller, Begin(True))
        commit = site.send_and_wait(caller, Commit())
        self.assertIsNone(commit.failure)
        self.assertNotEqual("-", commit.signature)

    def test_values_and_prepared_names_of_sessions_never_mix(self) -> None:
        site = start_cluster(proxies=1)
        callers = [site.open_session(site.proxies[0], QUOTES) for _ in range(8)]
        for number, caller in enumerate(callers):
            site.send_and_wait(caller, SetValue("user", str(number)))
            mode = AccessMode.WRITE if number % 2 else AccessMode.READ
            site.send_and_wait(caller, Prepare("s", PreparedStatement(mode, f"q{number}")))
        for turn in range(3):
            for number, caller in enumerate(callers):
                request = site.send_request(caller, Execute("s", f"k{number} v{turn}"))
                site.run_for(0.05)
                ran = [entry for entry in site.group.executions if entry.request == request]
                self.assertEqual({"user": str(number)}, ran[0].values)
                assert ran[0].shape is not None
                self.assertEqual(f"q{number}", ran[0].shape.text)

    def test_unknown_names_are_refused_and_nothing_runs(self) -> None:
        site = start_cluster()
        refused = site.open_session(site.proxies[0], "nowhere")
        assert refused.refusal is not None
        self.assertEqual(FailureCode.UNKNOWN_DATABASE, refused.refusal.code)
        caller = site.open_session(site.proxies[0], QUOTES)
        self.assertEqual(
            FailureCode.UNKNOWN_NAME, failure_code(site.send_and_wait(caller, Execute("s", "k")))
        )
        self.assertEqual(FailureCode.MALFORMED, failure_code(site.send_and_wait(caller, Commit())))
        self.assertEqual([], site.group.executions)


class TestSilence(testtools.TestCase):
    def test_silent_replica_is_left_and_used_again_once_it_answers(self) -> None:
        site = start_cluster()
        proxy = site.proxies[0]
        replica = next(
            n for n in "bc" if site.group.members[f"db-{n}"].directory_entry.zone == "zone-b"
        )
        name = f"db-{replica}"
        callers = [site.open_session(proxy, CATALOGUE) for _ in range(4)]
        site.simulator.cut_link(proxy.name, name)
        end = site.simulator.now + 4.0
        while site.simulator.now < end:
            for caller in callers:
                self.assertIsNone(site.send_and_wait(caller, Read("q1")).failure)
        self.assertTrue(proxy.gateway.cluster_state.pools[name].is_suspect)
        site.simulator.heal()
        site.run_for(3.0)
        self.assertFalse(proxy.gateway.cluster_state.pools[name].is_suspect)

    def test_cut_primary_is_noticed_before_the_first_statement_times_out(self) -> None:
        site = start_cluster()
        cut = site.proxies[0]
        for proxy in site.proxies[1:]:
            keep_writing(site, site.open_session(proxy, QUOTES))
        site.simulator.cut_link(cut.name, "db-a")
        site.simulator.cut_link("db-a", cut.name)
        callers = [site.open_session(cut, QUOTES) for _ in range(3)]
        for caller in callers:
            site.send_request(caller, Read("q1"))
        site.run_for(1.6)
        self.assertIsNone(site.send_and_wait(callers[0], Read("q1")).failure)


class TestLeases(testtools.TestCase):
    def test_no_answer_of_an_old_primary_is_passed_on(self) -> None:
        """A proxy that is cut off from everybody acknowledges nothing after its lease."""
        answered, began = self._cut_one_proxy_off()
        self.assertLess(max(answered), began)

    def test_without_words_an_old_primary_would_be_believed(self) -> None:
        with mock.patch.object(
            _lease_release.LeaseReleaseCoordinator, "collect_releases", _gather_nothing
        ):
            answered, began = self._cut_one_proxy_off()
        self.assertGreater(max(answered), began)

    def _cut_one_proxy_off(self) -> tuple[list[float], float]:
        """Cut one proxy off with the primary; return when it answered, and when another led."""
        site = start_cluster()
        cut = site.proxies[0]
        caller = site.open_session(cut, QUOTES)
        answered: list[float] = []
        keep_writing(site, caller, lambda r: answered.append(site.simulator.now))
        site.run_for(1.0)
        names = [STORE_NAME, *(proxy.name for proxy in site.proxies[1:])]
        for name in names:
            site.simulator.cut_link(cut.name, name)
            site.simulator.cut_link(name, cut.name)
        for proxy in site.proxies[1:]:
            for name in ("db-a",):
                site.simulator.cut_link(proxy.name, name)
                site.simulator.cut_link(name, proxy.name)
            proxy.dialer.break_connections("db-a")
        site.run_for(20.0)
        self.assertEqual([2], site.promoted_terms())
        return answered, site.group.term_started_at[2]

    def test_suspended_proxy_reads_nothing_from_an_old_primary(self) -> None:
        site = start_cluster()
        proxy = site.proxies[0]
        caller = site.open_session(proxy, QUOTES)
        self.assertIsNone(site.send_and_wait(caller, Read("q1")).failure)
        proxy.suspended_seconds += 12.0
        reply = site.send_and_wait(caller, Read("q1"))
        self.assertEqual(FailureCode.BUSY, failure_code(reply))

    def test_outage_of_the_store_does_not_stop_service(self) -> None:
        site = start_cluster()
        site.store.refused_proxies.add("*")
        caller = site.open_session(site.proxies[0], QUOTES)
        end = site.simulator.now + 7.0
        while site.simulator.now < end:
            self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)
            site.run_for(0.1)

    def test_proxy_that_the_store_refuses_lives_on_what_others_read(self) -> None:
        site = start_cluster()
        refused = site.proxies[0]
        site.store.refused_proxies.add(refused.name)
        site.change_routes(*site.routes.routes.values())
        caller = site.open_session(refused, QUOTES)
        end = site.simulator.now + 15.0
        while site.simulator.now < end:
            self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)
            site.run_for(0.2)
        self.assertEqual(2, refused.gateway.cluster_state.routes.version)

    def test_after_the_lease_a_request_is_refused_at_once(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        site.store.refused_proxies.add("*")
        site.run_for(13.0)
        asked_at = site.simulator.now
        self.assertEqual(
            FailureCode.BUSY, failure_code(site.send_and_wait(caller, Write("q1 oak")))
        )
        self.assertLess(site.simulator.now - asked_at, 0.05)


class TestUnknownOutcomes(testtools.TestCase):
    def test_lost_answer_of_a_write_is_in_doubt_and_never_repeated(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        site.group.members["db-a"].loses_answers = True
        reply = site.send_and_wait(caller, Write("q1 oak"))
        self.assertIn(failure_code(reply), {FailureCode.TIMEOUT, FailureCode.IN_DOUBT})
        site.run_for(3.0)
        self.assertEqual(1, len(site.group.executions))

    def test_broken_transaction_is_rolled_back_and_said_so(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        site.send_and_wait(caller, Begin(False))
        site.send_and_wait(caller, Write("q1 oak"))
        site.proxies[0].dialer.break_connections("db-a")
        self.assertEqual(
            FailureCode.ABORTED, failure_code(site.send_and_wait(caller, Write("q2 ash")))
        )
        self.assertEqual(FailureCode.ABORTED, failure_code(site.send_and_wait(caller, Commit())))
        self.assertEqual([], site.group.primary().log)

    def test_lost_commit_is_in_doubt(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        site.send_and_wait(caller, Begin(False))
        site.send_and_wait(caller, Write("q1 oak"))
        site.group.members["db-a"].loses_answers = True
        self.assertIn(
            failure_code(site.send_and_wait(caller, Commit())),
            {FailureCode.TIMEOUT, FailureCode.IN_DOUBT},
        )

    def test_busy_primary_refuses_truly(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        site.group.members["db-a"].is_full = True
        self.assertEqual(
            FailureCode.BUSY, failure_code(site.send_and_wait(caller, Write("q1 oak")))
        )
        self.assertEqual([], site.group.executions)


class TestConfiguration(testtools.TestCase):
    def test_dropped_route_is_refused_and_a_new_one_is_served(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        kept = [route for route in site.routes.routes.values() if route.database != QUOTES]
        site.change_routes(*kept)
        site.run_for(1.0)
        self.assertEqual(
            FailureCode.UNKNOWN_DATABASE, failure_code(site.send_and_wait(caller, Read("q1")))
        )

    def test_lost_history_and_a_silent_watch_delay_no_change(self) -> None:
        site = start_cluster()
        site.store.compact_history()
        site.change_routes()
        site.run_for(1.0)
        for proxy in site.proxies:
            self.assertEqual(2, proxy.gateway.cluster_state.routes.version)


class TestStopping(testtools.TestCase):
    def test_stopping_proxy_answers_what_runs_and_closes_what_rests(self) -> None:
        site = start_cluster()
        proxy = site.proxies[0]
        resting = site.open_session(proxy, QUOTES)
        working = site.open_session(proxy, QUOTES)
        site.send_and_wait(working, Begin(False))
        Deferred.fromCoroutine(proxy.gateway.shut_down())
        self.assertFalse(proxy.gateway.is_ready)
        self.assertIsNone(site.send_and_wait(working, Write("q1 oak")).failure)
        self.assertIsNone(site.send_and_wait(working, Commit()).failure)
        site.run_for(3.0)
        self.assertTrue(resting.is_closed)
        self.assertTrue(working.is_closed)
        self.assertIn(EventType.STOPPED, [topic for topic, _ in proxy.journal.lines])

    def test_others_hear_that_a_proxy_is_stopping(self) -> None:
        site = start_cluster()
        leaving, other = site.proxies[:2]
        Deferred.fromCoroutine(leaving.gateway.shut_down())
        site.run_for(1.0)
        self.assertTrue(other.gateway.cluster_state.fleet.proxies[leaving.name].stopping)
        topics = [topic for topic, _ in leaving.journal.lines]
        self.assertNotIn(EventType.ERROR, topics)


class TestLastCaller(testtools.TestCase):
    def test_caller_that_comes_as_the_port_is_closed_is_answered(self) -> None:
        site = start_cluster()
        gateway = site.proxies[0].gateway
        callers: list[SimulatedCaller] = []

        def come_last() -> None:
            callers.append(site.open_session(site.proxies[0], QUOTES))
            site.send_request(callers[0], Write("q1 oak"))

        gateway.stop_accepting = come_last
        left: list[bool] = []
        leaving = Deferred.fromCoroutine(gateway.shut_down())
        leaving.addCallback(lambda _: left.append(bool(callers[0].replies)))
        site.run_for(6.0)
        self.assertEqual([True], left)
        self.assertIsNone(callers[0].replies[0].failure)


class TestIdleTransactions(testtools.TestCase):
    def test_transaction_that_rests_too_long_is_rolled_back(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        site.send_and_wait(caller, Begin(False))
        site.send_and_wait(caller, Write("q1 oak"))
        site.run_for(5.0)
        self.assertEqual(
            FailureCode.ABORTED, failure_code(site.send_and_wait(caller, Write("q2 ash")))
        )
        self.assertEqual([], site.group.primary().log)


async def _gather_nothing(*_: object) -> tuple[()]:
    return ()


STORE_NAME = "store"


class TestStarting(testtools.TestCase):
    def _restart(self, site: GatewayCluster) -> None:
        for node in site.proxies:
            site.kill_proxy(node)
            site.start_proxy(node)

    def test_session_that_comes_before_the_configuration_is_greeted_with_it(self) -> None:
        site = start_cluster()
        self._restart(site)
        caller = site.open_session(site.proxies[0], QUOTES)
        self.assertIsNone(caller.refusal)
        self.assertFalse(caller.is_greeted)
        site.run_for(0.5)
        self.assertTrue(caller.is_greeted)

    def test_unknown_database_of_an_early_session_is_refused_as_such(self) -> None:
        site = start_cluster()
        self._restart(site)
        caller = site.open_session(site.proxies[0], "nowhere")
        site.run_for(0.5)
        assert caller.refusal is not None
        self.assertEqual(FailureCode.UNKNOWN_DATABASE, caller.refusal.code)

    def test_statement_waits_for_the_first_listing_of_leases(self) -> None:
        site = start_cluster()
        self._restart(site)
        node = site.proxies[0]
        while node.gateway.cluster_state.routes.version == 0:
            site.run_for(0.0005)
        self.assertIsNone(node.gateway.cluster_state.lease("books"))
        caller = site.open_session(node, QUOTES)
        self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)

    def test_statement_waits_for_the_first_listing_of_instances(self) -> None:
        site = start_cluster()
        site.store.delay_by_kind["instances"] = 0.3
        self._restart(site)
        node = site.proxies[0]
        while node.gateway.cluster_state.lease("books") is None:
            site.run_for(0.001)
        self.assertEqual({}, node.gateway.cluster_state.pools)
        writer, reader = site.open_session(node, QUOTES), site.open_session(node, QUOTES)
        site.send_request(reader, Read("q1"))
        self.assertIsNone(site.send_and_wait(writer, Write("q1 oak")).failure)
        self.assertIsNone(reader.replies[0].failure)

    def test_early_session_is_refused_in_time_when_the_store_is_away(self) -> None:
        site = start_cluster()
        site.store.refused_proxies.add("*")
        self._restart(site)
        caller = site.open_session(site.proxies[0], QUOTES)
        site.run_for(2.0)
        assert caller.refusal is not None
        self.assertEqual(FailureCode.BUSY, caller.refusal.code)
