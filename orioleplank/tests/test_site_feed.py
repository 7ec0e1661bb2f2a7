"""Who reads the store, and how its news reach the others, on virtual time."""

from __future__ import annotations

from collections.abc import Iterable

import testtools

from orioleplank.decision import Position
from orioleplank.decision.membership import Fleet, PositionNote, ProxyRecord, choose_source
from orioleplank.decision.session import Read, Write
from orioleplank.tests._site import CATALOGUE, QUOTES, ROUTES, Site, SiteProxy
from orioleplank.tests._site_store import STORE

START_S = 4.0
# The platform's time for a new configuration, in seconds.
CONFIGURATION_S = 3.0
PROXIES = 9
ZONES = 3


def _started(seed: int = 1) -> Site:
    site = Site(seed, PROXIES)
    site.run(START_S)
    return site


def _find_readers(site: Site) -> list[SiteProxy]:
    """Return the proxies that read the store themselves now."""
    site.store.calls.clear()
    site.run(5.0)
    return [node for node in site.proxies if site.store.calls[node.name] > 1]


def _versions(site: Site) -> set[int]:
    return {p.gateway.beliefs.routes.version for p in site.proxies if p.alive}


def _fleet(records: Iterable[ProxyRecord]) -> Fleet:
    return Fleet({record.name: record for record in records})


class TestSource(testtools.TestCase):
    def test_first_of_a_zone_has_none_and_the_others_have_it(self) -> None:
        records = [ProxyRecord(f"entry-{n}", "run", f"10.0.0.{n}:1", "a") for n in range(6)]
        found = {r.name: choose_source(r, _fleet(records), lambda name: False) for r in records}
        alone = [name for name, source in found.items() if source is None]
        self.assertEqual(1, len(alone))
        self.assertEqual({alone[0]}, {s.name for s in found.values() if s})

    def test_next_takes_the_place_of_one_that_is_avoided(self) -> None:
        records = [ProxyRecord(f"entry-{n}", "run", f"10.0.0.{n}:1", "a") for n in range(6)]
        first = next(
            r.name for r in records if choose_source(r, _fleet(records), lambda name: False) is None
        )
        found = [choose_source(r, _fleet(records), lambda name: name == first) for r in records]
        names = {source.name for source in found if source}
        self.assertEqual(1, len(names))
        self.assertNotIn(first, names)

    def test_other_zones_are_no_source(self) -> None:
        me = ProxyRecord("entry-1", "run", "10.0.0.1:1", "a")
        other = ProxyRecord("entry-2", "run", "10.0.0.2:1", "b")
        self.assertIsNone(choose_source(me, _fleet([me, other]), lambda name: False))


class TestFeed(testtools.TestCase):
    def test_one_proxy_a_zone_reads_the_store(self) -> None:
        site = _started()
        readers = _find_readers(site)
        self.assertEqual(ZONES, len(readers))
        self.assertEqual(ZONES, len({node.gateway.zone for node in readers}))

    def test_everybody_keeps_a_lease(self) -> None:
        site = _started()
        for _ in range(40):
            site.run(0.5)
            ages = [site.fabric.now - p.gateway.beliefs.leases.asked_at for p in site.proxies]
            self.assertLess(max(ages), CONFIGURATION_S)

    def test_configuration_reaches_everybody_although_readers_died_just_before(self) -> None:
        site = _started()
        for node in _find_readers(site):
            site.fabric.freeze(node.name, 60.0)
        site.change_routes(*ROUTES)
        site.run(CONFIGURATION_S)
        served = {p.gateway.beliefs.routes.version for p in site.proxies if not p.frozen}
        self.assertEqual({site.routes.version}, served)

    def test_configuration_reaches_everybody_although_the_store_answers_no_reader(self) -> None:
        for one_way in (False, True):
            site = _started()
            readers = _find_readers(site)
            for node in readers:
                site.fabric.cut(STORE, node.name)
                if not one_way:
                    site.fabric.cut(node.name, STORE)
            site.change_routes(*ROUTES)
            site.run(CONFIGURATION_S)
            others = [p for p in site.proxies if p not in readers]
            versions = {p.gateway.beliefs.routes.version for p in others}
            self.assertEqual({site.routes.version}, versions)

    def test_change_of_primary_reaches_everybody_at_once(self) -> None:
        site = _started()
        site.crash("db-a")
        caller = site.open(site.proxies[0], QUOTES)
        while site.ask(caller, Write("q1 oak")).failure is not None:
            self.assertLess(site.fabric.now, 15.0)
            site.run(0.1)
        site.run(0.1)
        leading = {p.gateway.beliefs.leases.seen["books"].record.primary for p in site.proxies}
        self.assertEqual(1, len(leading))
        self.assertNotIn("db-a", leading)

    def test_new_instances_and_gone_ones_reach_everybody(self) -> None:
        site = _started()
        site.store.delete("instances", "db-c")
        site.run(0.2)
        missing = [p for p in site.proxies if p.gateway.beliefs.directory.takes_work("db-c")]
        self.assertEqual([], missing)
        site.group.publish("db-c")
        site.run(0.2)
        self.assertTrue(all(p.gateway.beliefs.directory.takes_work("db-c") for p in site.proxies))

    def test_retired_proxy_that_follows_registers_again(self) -> None:
        site = _started()
        follower = next(p for p in site.proxies if p not in _find_readers(site))
        site.fabric.freeze(follower.name, 6.0)
        site.run(20.0)
        record = site.proxies[0].gateway.beliefs.fleet.proxies[follower.name]
        self.assertFalse(record.retired)
        lease = follower.gateway.beliefs.lease("books")
        assert lease is not None
        self.assertTrue(lease.covers(site.fabric.now))

    def test_answer_to_a_question_of_an_earlier_run_renews_nothing(self) -> None:
        site = _started()
        node = next(p for p in site.proxies if p not in _find_readers(site))
        first = node.gateway._feed._number
        site.kill(node)
        site.start(node)
        site.run(3.0)
        self.assertGreater(abs(node.gateway._feed._number - first), 1000)

    def test_fleet_does_not_besiege_a_store_that_is_away(self) -> None:
        site = _started()
        site.store.refused.add("*")
        site.run(3.0)
        site.store.calls.clear()
        site.run(6.0)
        calls = sum(site.store.calls.values()) / 6.0 / PROXIES
        self.assertLessEqual(calls, 2.0)
        site.store.refused.clear()
        site.change_routes(*ROUTES)
        site.run(CONFIGURATION_S)
        self.assertEqual({site.routes.version}, _versions(site))


class TestPositions(testtools.TestCase):
    def test_reads_go_to_replicas_although_this_proxy_asks_the_primary_seldom(self) -> None:
        site = _started()
        busy, other = site.proxies[0], site.proxies[ZONES]
        self.assertEqual(busy.gateway.zone, other.gateway.zone)
        writer, reader = site.open(busy, QUOTES), site.open(other, CATALOGUE)
        at_replicas = 0
        for number in range(40):
            site.ask(writer, Write(f"q1 v{number}"))
            site.run(0.1)
            if number % 10 == 9:
                request = site.send(reader, Read("q1"))
                site.run(0.1)
                ran = next(entry for entry in site.group.ran if entry.request == request)
                at_replicas += ran.instance != "db-a"
        self.assertGreaterEqual(at_replicas, 3)

    def test_position_under_another_record_is_not_taken(self) -> None:
        site = _started()
        beliefs = site.proxies[0].gateway.beliefs
        lease = beliefs.lease("books")
        assert lease is not None
        note = PositionNote("books", lease.revision + 1, 0.1, Position(1, 99))
        beliefs.take_position(note, site.fabric.now)
        self.assertNotEqual(Position(1, 99), beliefs.find_position("books", site.fabric.now - 1.0))
