"""Whole gateways on virtual time, against stand-ins of the platform."""

from __future__ import annotations

from functools import partial
from unittest import mock

import testtools
from twisted.internet.defer import Deferred

from orioleplank.decision.group import LEASE_S
from orioleplank.decision.instances import DRAINING_MARGIN_S, DbRole
from orioleplank.decision.session import (
    Begin,
    Code,
    Commit,
    Execute,
    Mode,
    Prepare,
    Read,
    Reply,
    Rollback,
    SetValue,
    Shape,
    TransactionState,
    Write,
)
from orioleplank.gateway import Topic, _release
from orioleplank.tests._site import CATALOGUE, DRAIN_S, JOBS, QUOTES, Site, SiteCaller
from orioleplank.tests._site_instances import PROMOTE_S

START_S = 3.0


def _started(seed: int = 1, proxies: int = 3) -> Site:
    site = Site(seed, proxies)
    site.run(START_S)
    return site


def _code(reply: Reply) -> Code | None:
    return reply.failure.code if reply.failure else None


class TestServing(testtools.TestCase):
    def test_write_then_read_on_every_route(self) -> None:
        site = _started()
        quotes = site.open(site.proxies[0], QUOTES)
        self.assertIsNone(site.ask(quotes, Write("q1 oak")).failure)
        self.assertEqual(("oak",), site.ask(quotes, Read("q1")).rows)
        site.run(2.0)
        for database in (CATALOGUE, JOBS):
            caller = site.open(site.proxies[1], database)
            self.assertEqual(("oak",), site.ask(caller, Read("q1")).rows)

    def test_session_reads_its_own_writes_from_a_replica(self) -> None:
        site = _started()
        for letter in "bc":
            site.group.members[f"db-{letter}"].lag = 0.4
        jobs = site.open(site.proxies[0], JOBS)
        for number in range(20):
            self.assertIsNone(site.ask(jobs, Write(f"j{number} done")).failure)
            self.assertEqual(("done",), site.ask(jobs, Read(f"j{number}")).rows)

    def test_transaction_commits_whole_or_not_at_all(self) -> None:
        site = _started()
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
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Begin(True))
        commit = site.ask(caller, Commit())
        self.assertIsNone(commit.failure)
        self.assertNotEqual("-", commit.signature)

    def test_values_and_prepared_names_of_sessions_never_mix(self) -> None:
        site = _started(proxies=1)
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
        site = _started()
        refused = site.open(site.proxies[0], "nowhere")
        assert refused.refusal is not None
        self.assertEqual(Code.UNKNOWN_DATABASE, refused.refusal.code)
        caller = site.open(site.proxies[0], QUOTES)
        self.assertEqual(Code.UNKNOWN_NAME, _code(site.ask(caller, Execute("s", "k"))))
        self.assertEqual(Code.MALFORMED, _code(site.ask(caller, Commit())))
        self.assertEqual([], site.group.ran)


class TestPromotion(testtools.TestCase):
    def test_dead_primary_is_replaced_and_served_again(self) -> None:
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Write("q1 oak"))
        site.run(0.5)
        site.crash("db-a")
        crashed_at = site.fabric.now
        reply = site.ask(caller, Write("q2 ash"))
        while reply.failure is not None and site.fabric.now < crashed_at + 7.0:
            reply = site.ask(caller, Write("q2 ash"))
        self.assertIsNone(reply.failure)
        self.assertLess(site.fabric.now - crashed_at, 7.0)
        self.assertEqual(("oak",), site.ask(caller, Read("q1")).rows)
        self.assertEqual([2], site.promoted_terms())

    def test_dead_proxy_is_waited_out_before_a_promotion(self) -> None:
        site = _started()
        site.run(2.0)
        silent = site.proxies[2]
        silent.frozen = True
        site.crash("db-a")
        crashed_at = site.fabric.now
        site.run(20.0)
        lease = silent.gateway.beliefs.leases.asked_at + LEASE_S
        self.assertEqual([2], site.promoted_terms())
        self.assertGreater(site.group.began[2], lease)
        self.assertLess(site.group.began[2], crashed_at + 16.0)

    def test_dead_primary_is_noticed_within_a_second_of_its_first_failure(self) -> None:
        site = _started()
        for proxy in site.proxies:
            for _ in range(2):
                _keep_writing(site, site.open(proxy, QUOTES))
        site.run(1.0)
        site.crash("db-a")
        crashed_at = site.fabric.now
        site.run(4.0)
        self.assertLess(site.group.began[2] - crashed_at, 1.0 + PROMOTE_S)

    def test_promotion_that_no_proxy_knows_of_is_found(self) -> None:
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)
        site.run(0.5)
        site.group.members["db-a"].role = DbRole.REPLICA
        site.group.promote("db-b", 2)
        site.ask(caller, Write("q2 ash"))
        site.run(1.0)
        self.assertIsNone(site.ask(caller, Write("q2 ash")).failure)
        self.assertEqual([2], site.promoted_terms())

    def test_proxy_that_died_long_before_is_not_waited_for(self) -> None:
        site = _started()
        site.run(2.0)
        site.proxies[2].frozen = True
        site.run(LEASE_S + 5.0)
        self.assertNotIn("entry-3", site.proxies[0].gateway.beliefs.fleet.proxies)
        site.crash("db-a")
        crashed_at = site.fabric.now
        site.run(6.0)
        self.assertEqual([2], site.promoted_terms())
        self.assertLess(site.group.began[2], crashed_at + 5.0)

    def test_wait_for_a_dead_proxy_begins_when_it_is_retired(self) -> None:
        site = _started()
        site.run(2.0)
        site.proxies[2].frozen = True
        died_at = site.fabric.now
        site.run(6.0)
        self.assertTrue(site.proxies[0].gateway.beliefs.fleet.proxies["entry-3"].retired)
        site.crash("db-a")
        site.run(12.0)
        self.assertEqual([2], site.promoted_terms())
        self.assertGreater(site.group.began[2], died_at + LEASE_S - 2.0)
        self.assertLess(site.group.began[2], died_at + LEASE_S + 5.0)

    def test_proxy_that_wakes_up_registers_again_and_serves(self) -> None:
        site = _started()
        site.run(2.0)
        site.fabric.freeze("entry-3", 6.0)
        site.run(8.0)
        self.assertFalse(site.proxies[0].gateway.beliefs.fleet.proxies["entry-3"].retired)
        caller = site.open(site.proxies[2], QUOTES)
        self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)

    def test_instance_that_was_replaced_with_its_lead_is_taken_as_primary(self) -> None:
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Write("q1 oak"))
        site.replace_primary("db-a", "db-n")
        site.run(12.0)
        self.assertEqual(("oak",), site.ask(caller, Read("q1")).rows)

    def test_moves_of_a_fleet_that_died_are_finished_by_the_next(self) -> None:
        site = _started()
        site.crash("db-a")
        while site.proxies[0].gateway.beliefs.leases.lease("books") is not None:
            site.run(0.05)
        for proxy in site.proxies:
            site.kill(proxy)
        site.run(0.5)
        for proxy in site.proxies:
            site.start(proxy)
        started_at = site.fabric.now
        site.run(8.0)
        caller = site.open(site.proxies[1], QUOTES)
        self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)
        self.assertLess(max(site.group.began.values()), started_at + 6.0)

    def test_restarted_proxy_is_not_waited_for(self) -> None:
        site = _started()
        site.kill(site.proxies[2])
        site.run(0.2)
        site.start(site.proxies[2])
        site.crash("db-a")
        crashed_at = site.fabric.now
        site.run(6.0)
        self.assertEqual([2], site.promoted_terms())
        self.assertLess(site.group.began[2], crashed_at + 5.0)

    def test_primary_that_others_reach_is_not_replaced(self) -> None:
        site = _started()
        cut = site.proxies[0]
        for proxy in site.proxies[1:]:
            caller = site.open(proxy, QUOTES)
            _keep_writing(site, caller)
        site.fabric.cut(cut.name, "db-a")
        site.fabric.cut("db-a", cut.name)
        own = site.open(cut, QUOTES)
        site.run(3.0)
        self.assertIsNone(site.ask(own, Write("own x")).failure)
        site.run(8.0)
        self.assertIsNone(site.ask(own, Write("own x")).failure)
        self.assertEqual([], site.promoted_terms())

    def test_tokens_of_orders_only_move_up(self) -> None:
        for seed in range(5):
            site = _started(seed)
            site.crash("db-a")
            site.fabric.after(0.8, partial(site.kill, site.proxies[0]))
            site.fabric.after(1.2, partial(site.start, site.proxies[0]))
            site.run(25.0)
            tokens = [token for _, token, _ in site.group.orders]
            self.assertEqual(sorted(tokens), tokens)
            holders = {token: holder for holder, token, _ in site.group.orders}
            self.assertEqual(len(holders), len({(h, t) for h, t, _ in site.group.orders}))

    def test_leaving_primary_is_replaced_without_loss(self) -> None:
        site = _started()
        callers = [site.open(proxy, QUOTES) for proxy in site.proxies]
        for caller in callers:
            _keep_writing(site, caller)
        site.run(1.0)
        site.drain("db-a")
        site.run(4.0)
        self.assertEqual([2], site.promoted_terms())
        acknowledged = sum(1 for c in callers for r in c.replies if r.failure is None)
        held = len([e for e in site.group.primary().log])
        self.assertGreaterEqual(held, acknowledged)


class TestSilence(testtools.TestCase):
    def test_silent_replica_is_left_and_used_again_once_it_answers(self) -> None:
        site = _started()
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
        site = _started()
        cut = site.proxies[0]
        for proxy in site.proxies[1:]:
            _keep_writing(site, site.open(proxy, QUOTES))
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
        site = _started()
        cut = site.proxies[0]
        caller = site.open(cut, QUOTES)
        answered: list[float] = []
        _keep_writing(site, caller, lambda r: answered.append(site.fabric.now))
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
        site = _started()
        proxy = site.proxies[0]
        caller = site.open(proxy, QUOTES)
        self.assertIsNone(site.ask(caller, Read("q1")).failure)
        proxy.suspended += 12.0
        reply = site.ask(caller, Read("q1"))
        self.assertEqual(Code.BUSY, _code(reply))

    def test_outage_of_the_store_does_not_stop_service(self) -> None:
        site = _started()
        site.store.refused.add("*")
        caller = site.open(site.proxies[0], QUOTES)
        end = site.fabric.now + 7.0
        while site.fabric.now < end:
            self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)
            site.run(0.1)

    def test_proxy_that_the_store_refuses_lives_on_what_others_read(self) -> None:
        site = _started()
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
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        site.store.refused.add("*")
        site.run(13.0)
        asked_at = site.fabric.now
        self.assertEqual(Code.BUSY, _code(site.ask(caller, Write("q1 oak"))))
        self.assertLess(site.fabric.now - asked_at, 0.05)


class TestUnknownOutcomes(testtools.TestCase):
    def test_lost_answer_of_a_write_is_in_doubt_and_never_repeated(self) -> None:
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        site.group.members["db-a"].loses_answers = True
        reply = site.ask(caller, Write("q1 oak"))
        self.assertIn(_code(reply), {Code.TIMEOUT, Code.IN_DOUBT})
        site.run(3.0)
        self.assertEqual(1, len(site.group.ran))

    def test_broken_transaction_is_rolled_back_and_said_so(self) -> None:
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 oak"))
        site.proxies[0].dialer.lose_links("db-a")
        self.assertEqual(Code.ABORTED, _code(site.ask(caller, Write("q2 ash"))))
        self.assertEqual(Code.ABORTED, _code(site.ask(caller, Commit())))
        self.assertEqual([], site.group.primary().log)

    def test_lost_commit_is_in_doubt(self) -> None:
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 oak"))
        site.group.members["db-a"].loses_answers = True
        self.assertIn(_code(site.ask(caller, Commit())), {Code.TIMEOUT, Code.IN_DOUBT})

    def test_busy_primary_refuses_truly(self) -> None:
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        site.group.members["db-a"].is_full = True
        self.assertEqual(Code.BUSY, _code(site.ask(caller, Write("q1 oak"))))
        self.assertEqual([], site.group.ran)


class TestConfiguration(testtools.TestCase):
    def test_dropped_route_is_refused_and_a_new_one_is_served(self) -> None:
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        kept = [route for route in site.routes.routes.values() if route.database != QUOTES]
        site.change_routes(*kept)
        site.run(1.0)
        self.assertEqual(Code.UNKNOWN_DATABASE, _code(site.ask(caller, Read("q1"))))

    def test_lost_history_and_a_silent_watch_delay_no_change(self) -> None:
        site = _started()
        site.store.forget_history()
        site.change_routes()
        site.run(1.0)
        for proxy in site.proxies:
            self.assertEqual(2, proxy.gateway.beliefs.routes.version)


class TestStopping(testtools.TestCase):
    def test_stopping_proxy_answers_what_runs_and_closes_what_rests(self) -> None:
        site = _started()
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


class TestIdleTransactions(testtools.TestCase):
    def test_transaction_that_rests_too_long_is_rolled_back(self) -> None:
        site = _started()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 oak"))
        site.run(5.0)
        self.assertEqual(Code.ABORTED, _code(site.ask(caller, Write("q2 ash"))))
        self.assertEqual([], site.group.primary().log)


async def _gather_nothing(*_: object) -> tuple[()]:
    return ()


STORE_NAME = "store"


def _keep_writing(
    site: Site, caller: SiteCaller, on_success: object = None, gap: float = 0.05
) -> None:
    """Let a caller write again and again, each after the answer before."""

    def take(reply: Reply) -> None:
        if reply.failure is None and callable(on_success):
            on_success(reply)
        site.fabric.after(gap, again)

    def again() -> None:
        if not caller.is_closed:
            site.send(caller, Write(f"w{len(caller.replies)} x"))

    caller.on_reply = take
    again()


class TestStarting(testtools.TestCase):
    def _restart(self, site: Site) -> None:
        for node in site.proxies:
            site.kill(node)
            site.start(node)

    def test_session_that_comes_before_the_configuration_is_greeted_with_it(self) -> None:
        site = _started()
        self._restart(site)
        caller = site.open(site.proxies[0], QUOTES)
        self.assertIsNone(caller.refusal)
        self.assertFalse(caller.is_greeted)
        site.run(0.5)
        self.assertTrue(caller.is_greeted)

    def test_unknown_database_of_an_early_session_is_refused_as_such(self) -> None:
        site = _started()
        self._restart(site)
        caller = site.open(site.proxies[0], "nowhere")
        site.run(0.5)
        assert caller.refusal is not None
        self.assertEqual(Code.UNKNOWN_DATABASE, caller.refusal.code)

    def test_statement_waits_for_the_first_listing_of_leases(self) -> None:
        site = _started()
        self._restart(site)
        node = site.proxies[0]
        while node.gateway.beliefs.routes.version == 0:
            site.run(0.0005)
        self.assertIsNone(node.gateway.beliefs.lease("books"))
        caller = site.open(node, QUOTES)
        self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)

    def test_early_session_is_refused_in_time_when_the_store_is_away(self) -> None:
        site = _started()
        site.store.refused.add("*")
        self._restart(site)
        caller = site.open(site.proxies[0], QUOTES)
        site.run(2.0)
        assert caller.refusal is not None
        self.assertEqual(Code.BUSY, caller.refusal.code)


class TestPlannedMoveBesideASilentProxy(testtools.TestCase):
    def _write_for(self, site: Site, seconds: float) -> list[Code | None]:
        caller = site.open(site.proxies[0], QUOTES)
        codes: list[Code | None] = []
        end = site.fabric.now + seconds
        while site.fabric.now < end:
            codes.append(_code(site.ask(caller, Write("q1 oak"))))
            site.run(0.05)
        return codes

    def test_primary_serves_on_while_leases_would_have_to_be_waited_out(self) -> None:
        site = _started(proxies=4)
        site.fabric.freeze(site.proxies[3].name, 60.0)
        site.run(0.2)
        site.drain("db-a")
        self.assertEqual({None}, set(self._write_for(site, DRAIN_S - DRAINING_MARGIN_S - 1.0)))

    def test_primary_is_moved_once_the_proxy_answers(self) -> None:
        site = _started(proxies=4)
        site.fabric.freeze(site.proxies[3].name, 1.5)
        site.run(0.2)
        site.drain("db-a")
        codes = self._write_for(site, 3.9)
        self.assertEqual(2, site.group.primary().term)
        self.assertEqual({None}, set(codes))

    def test_primary_is_moved_in_the_end_although_the_proxy_stays_silent(self) -> None:
        site = _started(proxies=4)
        site.fabric.freeze(site.proxies[3].name, 60.0)
        site.run(0.2)
        site.drain("db-a")
        site.run(DRAIN_S + LEASE_S)
        self.assertEqual(2, site.group.primary().term)
