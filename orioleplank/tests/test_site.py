"""Whole gateways on virtual time, against stand-ins of the platform."""

from __future__ import annotations

from unittest import mock

import testtools
from twisted.internet.defer import Deferred

from orioleplank.decision.session import (
    Begin,
    Code,
    Commit,
    Execute,
    Mode,
    Prepare,
    Read,
    Rollback,
    SetValue,
    Shape,
    TransactionState,
    Write,
)
from orioleplank.gateway import Topic, _release
from orioleplank.tests._site import CATALOGUE, JOBS, QUOTES, Site, SiteCaller
from orioleplank.tests._site_steps import find_code, keep_writing, start_site


class TestServing(testtools.TestCase):
    def test_write_then_read_on_every_route(self) -> None:
        site = start_site()
        quotes = site.open(site.proxies[0], QUOTES)
        self.assertIsNone(site.ask(quotes, Write("q1 oak")).failure)
        self.assertEqual(("oak",), site.ask(quotes, Read("q1")).rows)
        site.run(2.0)
        for database in (CATALOGUE, JOBS):
            caller = site.open(site.proxies[1], database)
            self.assertEqual(("oak",), site.ask(caller, Read("q1")).rows)

    def test_session_reads_its_own_writes_from_a_replica(self) -> None:
        site = start_site()
        for letter in "bc":
            site.group.members[f"db-{letter}"].lag = 0.4
        jobs = site.open(site.proxies[0], JOBS)
        for number in range(20):
            self.assertIsNone(site.ask(jobs, Write(f"j{number} done")).failure)
            self.assertEqual(("done",), site.ask(jobs, Read(f"j{number}")).rows)

    def test_transaction_commits_whole_or_not_at_all(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        self.assertEqual(TransactionState.OPEN, site.ask(caller, Begin(False)).state)
        site.ask(caller, Write("q1 oak"))
        self.assertEqual(("oak",), site.ask(caller, Read("q1")).rows)
        self.assertEqual(TransactionState.IDLE, site.ask(caller, Rollback()).state)
        self.assertEqual(("",), site.ask(caller, Read("q1")).rows)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 ash"))
        commit = site.ask(caller, Commit())
        self.assertNotEqual("-", commit.signature)
        self.assertEqual(("ash",), site.ask(caller, Read("q1")).rows)

    def test_empty_transaction_is_signed_by_an_instance(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Begin(True))
        commit = site.ask(caller, Commit())
        self.assertIsNone(commit.failure)
        self.assertNotEqual("-", commit.signature)

    def test_values_and_prepared_names_of_sessions_never_mix(self) -> None:
        site = start_site(proxies=1)
        callers = [site.open(site.proxies[0], QUOTES) for _ in range(8)]
        for number, caller in enumerate(callers):
            site.ask(caller, SetValue("user", str(number)))
            mode = Mode.WRITE if number % 2 else Mode.READ
            site.ask(caller, Prepare("s", Shape(mode, f"q{number}")))
        for turn in range(3):
            for number, caller in enumerate(callers):
                request = site.send(caller, Execute("s", f"k{number} v{turn}"))
                site.run(0.05)
                ran = [entry for entry in site.group.ran if entry.request == request]
                self.assertEqual({"user": str(number)}, ran[0].values)
                assert ran[0].shape is not None
                self.assertEqual(f"q{number}", ran[0].shape.text)

    def test_unknown_names_are_refused_and_nothing_runs(self) -> None:
        site = start_site()
        refused = site.open(site.proxies[0], "nowhere")
        assert refused.refusal is not None
        self.assertEqual(Code.UNKNOWN_DATABASE, refused.refusal.code)
        caller = site.open(site.proxies[0], QUOTES)
        self.assertEqual(Code.UNKNOWN_NAME, find_code(site.ask(caller, Execute("s", "k"))))
        self.assertEqual(Code.MALFORMED, find_code(site.ask(caller, Commit())))
        self.assertEqual([], site.group.ran)


class TestSilence(testtools.TestCase):
    def test_silent_replica_is_left_and_used_again_once_it_answers(self) -> None:
        site = start_site()
        proxy = site.proxies[0]
        replica = next(n for n in "bc" if site.group.members[f"db-{n}"].entry.zone == "zone-b")
        name = f"db-{replica}"
        callers = [site.open(proxy, CATALOGUE) for _ in range(4)]
        site.fabric.cut(proxy.name, name)
        end = site.fabric.now + 4.0
        while site.fabric.now < end:
            for caller in callers:
                self.assertIsNone(site.ask(caller, Read("q1")).failure)
        self.assertTrue(proxy.gateway.beliefs.pools[name].is_suspect)
        site.fabric.heal()
        site.run(3.0)
        self.assertFalse(proxy.gateway.beliefs.pools[name].is_suspect)

    def test_cut_primary_is_noticed_before_the_first_statement_times_out(self) -> None:
        site = start_site()
        cut = site.proxies[0]
        for proxy in site.proxies[1:]:
            keep_writing(site, site.open(proxy, QUOTES))
        site.fabric.cut(cut.name, "db-a")
        site.fabric.cut("db-a", cut.name)
        callers = [site.open(cut, QUOTES) for _ in range(3)]
        for caller in callers:
            site.send(caller, Read("q1"))
        site.run(1.6)
        self.assertIsNone(site.ask(callers[0], Read("q1")).failure)


class TestLeases(testtools.TestCase):
    def test_no_answer_of_an_old_primary_is_passed_on(self) -> None:
        """A proxy that is cut off from everybody acknowledges nothing after its lease."""
        answered, began = self._cut_one_proxy_off()
        self.assertLess(max(answered), began)

    def test_without_words_an_old_primary_would_be_believed(self) -> None:
        with mock.patch.object(_release.Releases, "gather", _gather_nothing):
            answered, began = self._cut_one_proxy_off()
        self.assertGreater(max(answered), began)

    def _cut_one_proxy_off(self) -> tuple[list[float], float]:
        """Cut one proxy off with the primary; return when it answered, and when another led."""
        site = start_site()
        cut = site.proxies[0]
        caller = site.open(cut, QUOTES)
        answered: list[float] = []
        keep_writing(site, caller, lambda r: answered.append(site.fabric.now))
        site.run(1.0)
        names = [STORE_NAME, *(proxy.name for proxy in site.proxies[1:])]
        for name in names:
            site.fabric.cut(cut.name, name)
            site.fabric.cut(name, cut.name)
        for proxy in site.proxies[1:]:
            for name in ("db-a",):
                site.fabric.cut(proxy.name, name)
                site.fabric.cut(name, proxy.name)
            proxy.dialer.lose_links("db-a")
        site.run(20.0)
        self.assertEqual([2], site.promoted_terms())
        return answered, site.group.began[2]

    def test_suspended_proxy_reads_nothing_from_an_old_primary(self) -> None:
        site = start_site()
        proxy = site.proxies[0]
        caller = site.open(proxy, QUOTES)
        self.assertIsNone(site.ask(caller, Read("q1")).failure)
        proxy.suspended += 12.0
        reply = site.ask(caller, Read("q1"))
        self.assertEqual(Code.BUSY, find_code(reply))

    def test_outage_of_the_store_does_not_stop_service(self) -> None:
        site = start_site()
        site.store.refused.add("*")
        caller = site.open(site.proxies[0], QUOTES)
        end = site.fabric.now + 7.0
        while site.fabric.now < end:
            self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)
            site.run(0.1)

    def test_proxy_that_the_store_refuses_lives_on_what_others_read(self) -> None:
        site = start_site()
        refused = site.proxies[0]
        site.store.refused.add(refused.name)
        site.change_routes(*site.routes.routes.values())
        caller = site.open(refused, QUOTES)
        end = site.fabric.now + 15.0
        while site.fabric.now < end:
            self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)
            site.run(0.2)
        self.assertEqual(2, refused.gateway.beliefs.routes.version)

    def test_after_the_lease_a_request_is_refused_at_once(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        site.store.refused.add("*")
        site.run(13.0)
        asked_at = site.fabric.now
        self.assertEqual(Code.BUSY, find_code(site.ask(caller, Write("q1 oak"))))
        self.assertLess(site.fabric.now - asked_at, 0.05)


class TestUnknownOutcomes(testtools.TestCase):
    def test_lost_answer_of_a_write_is_in_doubt_and_never_repeated(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        site.group.members["db-a"].loses_answers = True
        reply = site.ask(caller, Write("q1 oak"))
        self.assertIn(find_code(reply), {Code.TIMEOUT, Code.IN_DOUBT})
        site.run(3.0)
        self.assertEqual(1, len(site.group.ran))

    def test_broken_transaction_is_rolled_back_and_said_so(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 oak"))
        site.proxies[0].dialer.lose_links("db-a")
        self.assertEqual(Code.ABORTED, find_code(site.ask(caller, Write("q2 ash"))))
        self.assertEqual(Code.ABORTED, find_code(site.ask(caller, Commit())))
        self.assertEqual([], site.group.primary().log)

    def test_lost_commit_is_in_doubt(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 oak"))
        site.group.members["db-a"].loses_answers = True
        self.assertIn(find_code(site.ask(caller, Commit())), {Code.TIMEOUT, Code.IN_DOUBT})

    def test_busy_primary_refuses_truly(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        site.group.members["db-a"].is_full = True
        self.assertEqual(Code.BUSY, find_code(site.ask(caller, Write("q1 oak"))))
        self.assertEqual([], site.group.ran)


class TestConfiguration(testtools.TestCase):
    def test_dropped_route_is_refused_and_a_new_one_is_served(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        kept = [route for route in site.routes.routes.values() if route.database != QUOTES]
        site.change_routes(*kept)
        site.run(1.0)
        self.assertEqual(Code.UNKNOWN_DATABASE, find_code(site.ask(caller, Read("q1"))))

    def test_lost_history_and_a_silent_watch_delay_no_change(self) -> None:
        site = start_site()
        site.store.forget_history()
        site.change_routes()
        site.run(1.0)
        for proxy in site.proxies:
            self.assertEqual(2, proxy.gateway.beliefs.routes.version)


class TestStopping(testtools.TestCase):
    def test_stopping_proxy_answers_what_runs_and_closes_what_rests(self) -> None:
        site = start_site()
        proxy = site.proxies[0]
        resting = site.open(proxy, QUOTES)
        working = site.open(proxy, QUOTES)
        site.ask(working, Begin(False))
        Deferred.fromCoroutine(proxy.gateway.leave())
        self.assertFalse(proxy.gateway.is_ready)
        self.assertIsNone(site.ask(working, Write("q1 oak")).failure)
        self.assertIsNone(site.ask(working, Commit()).failure)
        site.run(3.0)
        self.assertTrue(resting.is_closed)
        self.assertTrue(working.is_closed)
        self.assertIn(Topic.STOPPED, [topic for topic, _ in proxy.journal.lines])

    def test_others_hear_that_a_proxy_is_stopping(self) -> None:
        site = start_site()
        leaving, other = site.proxies[:2]
        Deferred.fromCoroutine(leaving.gateway.leave())
        site.run(1.0)
        self.assertTrue(other.gateway.beliefs.fleet.proxies[leaving.name].stopping)
        topics = [topic for topic, _ in leaving.journal.lines]
        self.assertNotIn(Topic.ERROR, topics)


class TestLastCaller(testtools.TestCase):
    def test_caller_that_comes_as_the_port_is_closed_is_answered(self) -> None:
        site = start_site()
        gateway = site.proxies[0].gateway
        callers: list[SiteCaller] = []

        def come_last() -> None:
            callers.append(site.open(site.proxies[0], QUOTES))
            site.send(callers[0], Write("q1 oak"))

        gateway.stop_accepting = come_last
        left: list[bool] = []
        leaving = Deferred.fromCoroutine(gateway.leave())
        leaving.addCallback(lambda _: left.append(bool(callers[0].replies)))
        site.run(6.0)
        self.assertEqual([True], left)
        self.assertIsNone(callers[0].replies[0].failure)


class TestIdleTransactions(testtools.TestCase):
    def test_transaction_that_rests_too_long_is_rolled_back(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 oak"))
        site.run(5.0)
        self.assertEqual(Code.ABORTED, find_code(site.ask(caller, Write("q2 ash"))))
        self.assertEqual([], site.group.primary().log)


async def _gather_nothing(*_: object) -> tuple[()]:
    return ()


STORE_NAME = "store"


class TestStarting(testtools.TestCase):
    def _restart(self, site: Site) -> None:
        for node in site.proxies:
            site.kill(node)
            site.start(node)

    def test_session_that_comes_before_the_configuration_is_greeted_with_it(self) -> None:
        site = start_site()
        self._restart(site)
        caller = site.open(site.proxies[0], QUOTES)
        self.assertIsNone(caller.refusal)
        self.assertFalse(caller.is_greeted)
        site.run(0.5)
        self.assertTrue(caller.is_greeted)

    def test_unknown_database_of_an_early_session_is_refused_as_such(self) -> None:
        site = start_site()
        self._restart(site)
        caller = site.open(site.proxies[0], "nowhere")
        site.run(0.5)
        assert caller.refusal is not None
        self.assertEqual(Code.UNKNOWN_DATABASE, caller.refusal.code)

    def test_statement_waits_for_the_first_listing_of_leases(self) -> None:
        site = start_site()
        self._restart(site)
        node = site.proxies[0]
        while node.gateway.beliefs.routes.version == 0:
            site.run(0.0005)
        self.assertIsNone(node.gateway.beliefs.lease("books"))
        caller = site.open(node, QUOTES)
        self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)

    def test_statement_waits_for_the_first_listing_of_instances(self) -> None:
        site = start_site()
        site.store.late["instances"] = 0.3
        self._restart(site)
        node = site.proxies[0]
        while node.gateway.beliefs.lease("books") is None:
            site.run(0.001)
        self.assertEqual({}, node.gateway.beliefs.pools)
        writer, reader = site.open(node, QUOTES), site.open(node, QUOTES)
        site.send(reader, Read("q1"))
        self.assertIsNone(site.ask(writer, Write("q1 oak")).failure)
        self.assertIsNone(reader.replies[0].failure)

    def test_early_session_is_refused_in_time_when_the_store_is_away(self) -> None:
        site = start_site()
        site.store.refused.add("*")
        self._restart(site)
        caller = site.open(site.proxies[0], QUOTES)
        site.run(2.0)
        assert caller.refusal is not None
        self.assertEqual(Code.BUSY, caller.refusal.code)
