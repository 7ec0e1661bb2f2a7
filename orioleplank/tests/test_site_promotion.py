"""Changes of primary, planned and not, on virtual time."""

from __future__ import annotations

from functools import partial

import testtools

from orioleplank.decision.group import LEASE_S
from orioleplank.decision.instances import DRAINING_MARGIN_S, DbRole
from orioleplank.decision.session import (
    Code,
    Read,
    Write,
)
from orioleplank.tests._site import DRAIN_S, QUOTES, Site
from orioleplank.tests._site_instances import PROMOTE_S
from orioleplank.tests._site_steps import find_code, keep_writing, start_site


class TestPromotion(testtools.TestCase):
    def test_dead_primary_is_replaced_and_served_again(self) -> None:
        site = start_site()
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
        site = start_site()
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
        site = start_site()
        for proxy in site.proxies:
            for _ in range(2):
                keep_writing(site, site.open(proxy, QUOTES))
        site.run(1.0)
        site.crash("db-a")
        crashed_at = site.fabric.now
        site.run(4.0)
        self.assertLess(site.group.began[2] - crashed_at, 1.0 + PROMOTE_S)

    def test_promotion_that_no_proxy_knows_of_is_found(self) -> None:
        site = start_site()
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
        site = start_site()
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
        site = start_site()
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
        site = start_site()
        site.run(2.0)
        site.fabric.freeze("entry-3", 6.0)
        site.run(8.0)
        self.assertFalse(site.proxies[0].gateway.beliefs.fleet.proxies["entry-3"].retired)
        caller = site.open(site.proxies[2], QUOTES)
        self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)

    def test_instance_that_was_replaced_with_its_lead_is_taken_as_primary(self) -> None:
        site = start_site()
        caller = site.open(site.proxies[0], QUOTES)
        site.ask(caller, Write("q1 oak"))
        site.replace_primary("db-a", "db-n")
        site.run(12.0)
        self.assertEqual(("oak",), site.ask(caller, Read("q1")).rows)

    def test_moves_of_a_fleet_that_died_are_finished_by_the_next(self) -> None:
        site = start_site()
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
        site = start_site()
        site.kill(site.proxies[2])
        site.run(0.2)
        site.start(site.proxies[2])
        site.crash("db-a")
        crashed_at = site.fabric.now
        site.run(6.0)
        self.assertEqual([2], site.promoted_terms())
        self.assertLess(site.group.began[2], crashed_at + 5.0)

    def test_primary_that_others_reach_is_not_replaced(self) -> None:
        site = start_site()
        cut = site.proxies[0]
        for proxy in site.proxies[1:]:
            caller = site.open(proxy, QUOTES)
            keep_writing(site, caller)
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
            site = start_site(seed)
            site.crash("db-a")
            site.fabric.after(0.8, partial(site.kill, site.proxies[0]))
            site.fabric.after(1.2, partial(site.start, site.proxies[0]))
            site.run(25.0)
            tokens = [token for _, token, _ in site.group.orders]
            self.assertEqual(sorted(tokens), tokens)
            holders = {token: holder for holder, token, _ in site.group.orders}
            self.assertEqual(len(holders), len({(h, t) for h, t, _ in site.group.orders}))

    def test_leaving_primary_is_replaced_without_loss(self) -> None:
        site = start_site()
        callers = [site.open(proxy, QUOTES) for proxy in site.proxies]
        for caller in callers:
            keep_writing(site, caller)
        site.run(1.0)
        site.drain("db-a")
        site.run(4.0)
        self.assertEqual([2], site.promoted_terms())
        acknowledged = sum(1 for c in callers for r in c.replies if r.failure is None)
        held = len([e for e in site.group.primary().log])
        self.assertGreaterEqual(held, acknowledged)


class TestPlannedMoveBesideASilentProxy(testtools.TestCase):
    def _write_for(self, site: Site, seconds: float) -> list[Code | None]:
        caller = site.open(site.proxies[0], QUOTES)
        codes: list[Code | None] = []
        end = site.fabric.now + seconds
        while site.fabric.now < end:
            codes.append(find_code(site.ask(caller, Write("q1 oak"))))
            site.run(0.05)
        return codes

    def test_primary_serves_on_while_leases_would_have_to_be_waited_out(self) -> None:
        site = start_site(proxies=4)
        site.fabric.freeze(site.proxies[3].name, 60.0)
        site.run(0.2)
        site.drain("db-a")
        self.assertEqual({None}, set(self._write_for(site, DRAIN_S - DRAINING_MARGIN_S - 1.0)))

    def test_primary_is_moved_once_the_proxy_answers(self) -> None:
        site = start_site(proxies=4)
        site.fabric.freeze(site.proxies[3].name, 1.5)
        site.run(0.2)
        site.drain("db-a")
        codes = self._write_for(site, 3.9)
        self.assertEqual(2, site.group.primary().term)
        self.assertEqual({None}, set(codes))

    def test_primary_is_moved_in_the_end_although_the_proxy_stays_silent(self) -> None:
        site = start_site(proxies=4)
        site.fabric.freeze(site.proxies[3].name, 60.0)
        site.run(0.2)
        site.drain("db-a")
        site.run(DRAIN_S + LEASE_S)
        self.assertEqual(2, site.group.primary().term)
