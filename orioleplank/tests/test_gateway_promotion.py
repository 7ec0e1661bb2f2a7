"""Changes of primary, planned and not, on virtual time."""

from __future__ import annotations

from functools import partial

import testtools

from orioleplank.decision.group import LEASE_DURATION_S
from orioleplank.decision.instances import DRAIN_CUTOFF_MARGIN_S, DbRole
from orioleplank.decision.session import (
    FailureCode,
    Read,
    Write,
)
from orioleplank.tests._gateway_cluster import DRAIN_PERIOD_S, QUOTES, GatewayCluster
from orioleplank.tests._gateway_helpers import failure_code, keep_writing, start_cluster
from orioleplank.tests._simulated_instances import PROMOTION_DELAY_S


class TestPromotion(testtools.TestCase):
    def test_dead_primary_is_replaced_and_served_again(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        site.send_and_wait(caller, Write("q1 oak"))
        site.run_for(0.5)
        site.crash_instance("db-a")
        crashed_at = site.simulator.now
        reply = site.send_and_wait(caller, Write("q2 ash"))
        while reply.failure is not None and site.simulator.now < crashed_at + 7.0:
            reply = site.send_and_wait(caller, Write("q2 ash"))
        self.assertIsNone(reply.failure)
        self.assertLess(site.simulator.now - crashed_at, 7.0)
        self.assertEqual(("oak",), site.send_and_wait(caller, Read("q1")).rows)
        self.assertEqual([2], site.promoted_terms())

    def test_dead_proxy_is_waited_out_before_a_promotion(self) -> None:
        site = start_cluster()
        site.run_for(2.0)
        silent = site.proxies[2]
        silent.paused = True
        site.crash_instance("db-a")
        crashed_at = site.simulator.now
        site.run_for(20.0)
        lease = silent.gateway.cluster_state.leases.listing_requested_at + LEASE_DURATION_S
        self.assertEqual([2], site.promoted_terms())
        self.assertGreater(site.group.term_started_at[2], lease)
        self.assertLess(site.group.term_started_at[2], crashed_at + 16.0)

    def test_dead_primary_is_noticed_within_a_second_of_its_first_failure(self) -> None:
        site = start_cluster()
        for proxy in site.proxies:
            for _ in range(2):
                keep_writing(site, site.open_session(proxy, QUOTES))
        site.run_for(1.0)
        site.crash_instance("db-a")
        crashed_at = site.simulator.now
        site.run_for(4.0)
        self.assertLess(site.group.term_started_at[2] - crashed_at, 1.0 + PROMOTION_DELAY_S)

    def test_promotion_that_no_proxy_knows_of_is_found(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)
        site.run_for(0.5)
        site.group.members["db-a"].role = DbRole.REPLICA
        site.group.promote("db-b", 2)
        site.send_and_wait(caller, Write("q2 ash"))
        site.run_for(1.0)
        self.assertIsNone(site.send_and_wait(caller, Write("q2 ash")).failure)
        self.assertEqual([2], site.promoted_terms())

    def test_proxy_that_died_long_before_is_not_waited_for(self) -> None:
        site = start_cluster()
        site.run_for(2.0)
        site.proxies[2].paused = True
        site.run_for(LEASE_DURATION_S + 5.0)
        self.assertNotIn("entry-3", site.proxies[0].gateway.cluster_state.fleet.proxies)
        site.crash_instance("db-a")
        crashed_at = site.simulator.now
        site.run_for(6.0)
        self.assertEqual([2], site.promoted_terms())
        self.assertLess(site.group.term_started_at[2], crashed_at + 5.0)

    def test_wait_for_a_dead_proxy_begins_when_it_is_retired(self) -> None:
        site = start_cluster()
        site.run_for(2.0)
        site.proxies[2].paused = True
        died_at = site.simulator.now
        site.run_for(6.0)
        self.assertTrue(site.proxies[0].gateway.cluster_state.fleet.proxies["entry-3"].retired)
        site.crash_instance("db-a")
        site.run_for(12.0)
        self.assertEqual([2], site.promoted_terms())
        self.assertGreater(site.group.term_started_at[2], died_at + LEASE_DURATION_S - 2.0)
        self.assertLess(site.group.term_started_at[2], died_at + LEASE_DURATION_S + 5.0)

    def test_proxy_that_wakes_up_registers_again_and_serves(self) -> None:
        site = start_cluster()
        site.run_for(2.0)
        site.simulator.pause("entry-3", 6.0)
        site.run_for(8.0)
        self.assertFalse(site.proxies[0].gateway.cluster_state.fleet.proxies["entry-3"].retired)
        caller = site.open_session(site.proxies[2], QUOTES)
        self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)

    def test_instance_that_was_replaced_with_its_lead_is_taken_as_primary(self) -> None:
        site = start_cluster()
        caller = site.open_session(site.proxies[0], QUOTES)
        site.send_and_wait(caller, Write("q1 oak"))
        site.replace_primary("db-a", "db-n")
        site.run_for(12.0)
        self.assertEqual(("oak",), site.send_and_wait(caller, Read("q1")).rows)

    def test_moves_of_a_fleet_that_died_are_finished_by_the_next(self) -> None:
        site = start_cluster()
        site.crash_instance("db-a")
        while site.proxies[0].gateway.cluster_state.leases.lease("books") is not None:
            site.run_for(0.05)
        for proxy in site.proxies:
            site.kill_proxy(proxy)
        site.run_for(0.5)
        for proxy in site.proxies:
            site.start_proxy(proxy)
        started_at = site.simulator.now
        site.run_for(8.0)
        caller = site.open_session(site.proxies[1], QUOTES)
        self.assertIsNone(site.send_and_wait(caller, Write("q1 oak")).failure)
        self.assertLess(max(site.group.term_started_at.values()), started_at + 6.0)

    def test_restarted_proxy_is_not_waited_for(self) -> None:
        site = start_cluster()
        site.kill_proxy(site.proxies[2])
        site.run_for(0.2)
        site.start_proxy(site.proxies[2])
        site.crash_instance("db-a")
        crashed_at = site.simulator.now
        site.run_for(6.0)
        self.assertEqual([2], site.promoted_terms())
        self.assertLess(site.group.term_started_at[2], crashed_at + 5.0)

    def test_primary_that_others_reach_is_not_replaced(self) -> None:
        site = start_cluster()
        cut = site.proxies[0]
        for proxy in site.proxies[1:]:
            caller = site.open_session(proxy, QUOTES)
            keep_writing(site, caller)
        site.simulator.cut_link(cut.name, "db-a")
        site.simulator.cut_link("db-a", cut.name)
        own = site.open_session(cut, QUOTES)
        site.run_for(3.0)
        self.assertIsNone(site.send_and_wait(own, Write("own x")).failure)
        site.run_for(8.0)
        self.assertIsNone(site.send_and_wait(own, Write("own x")).failure)
        self.assertEqual([], site.promoted_terms())

    def test_tokens_of_orders_only_move_up(self) -> None:
        for seed in range(5):
            site = start_cluster(seed)
            site.crash_instance("db-a")
            site.simulator.call_later(0.8, partial(site.kill_proxy, site.proxies[0]))
            site.simulator.call_later(1.2, partial(site.start_proxy, site.proxies[0]))
            site.run_for(25.0)
            tokens = [token for _, token, _ in site.group.promotion_orders]
            self.assertEqual(sorted(tokens), tokens)
            holders = {token: holder for holder, token, _ in site.group.promotion_orders}
            self.assertEqual(len(holders), len({(h, t) for h, t, _ in site.group.promotion_orders}))

    def test_leaving_primary_is_replaced_without_loss(self) -> None:
        site = start_cluster()
        callers = [site.open_session(proxy, QUOTES) for proxy in site.proxies]
        for caller in callers:
            keep_writing(site, caller)
        site.run_for(1.0)
        site.drain_instance("db-a")
        site.run_for(4.0)
        self.assertEqual([2], site.promoted_terms())
        acknowledged = sum(1 for c in callers for r in c.replies if r.failure is None)
        held = len([e for e in site.group.primary().log])
        self.assertGreaterEqual(held, acknowledged)


class TestPlannedMoveBesideASilentProxy(testtools.TestCase):
    def _write_for(self, site: GatewayCluster, seconds: float) -> list[FailureCode | None]:
        caller = site.open_session(site.proxies[0], QUOTES)
        codes: list[FailureCode | None] = []
        end = site.simulator.now + seconds
        while site.simulator.now < end:
            codes.append(failure_code(site.send_and_wait(caller, Write("q1 oak"))))
            site.run_for(0.05)
        return codes

    def test_primary_serves_on_while_leases_would_have_to_be_waited_out(self) -> None:
        site = start_cluster(proxies=4)
        site.simulator.pause(site.proxies[3].name, 60.0)
        site.run_for(0.2)
        site.drain_instance("db-a")
        self.assertEqual(
            {None}, set(self._write_for(site, DRAIN_PERIOD_S - DRAIN_CUTOFF_MARGIN_S - 1.0))
        )

    def test_primary_is_moved_once_the_proxy_answers(self) -> None:
        site = start_cluster(proxies=4)
        site.simulator.pause(site.proxies[3].name, 1.5)
        site.run_for(0.2)
        site.drain_instance("db-a")
        codes = self._write_for(site, 3.9)
        self.assertEqual(2, site.group.primary().term)
        self.assertEqual({None}, set(codes))

    def test_primary_is_moved_in_the_end_although_the_proxy_stays_silent(self) -> None:
        site = start_cluster(proxies=4)
        site.simulator.pause(site.proxies[3].name, 60.0)
        site.run_for(0.2)
        site.drain_instance("db-a")
        site.run_for(DRAIN_PERIOD_S + LEASE_DURATION_S)
        self.assertEqual(2, site.group.primary().term)
