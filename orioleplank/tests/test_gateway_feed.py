"""Who reads the store, and how its news reach the others, on virtual time."""

from __future__ import annotations

from collections.abc import Iterable

import testtools

from orioleplank.decision import Position
from orioleplank.decision.membership import Fleet, PrimaryPosition, ProxyRecord, choose_view_source
from orioleplank.decision.session import Read, Write
from orioleplank.tests._gateway_cluster import (
    CATALOGUE,
    QUOTES,
    ROUTES,
    GatewayCluster,
    GatewayNode,
)
from orioleplank.tests._simulated_store import STORE_NODE

START_S = 4.0
# The platform's time for a new configuration, in seconds.
CONFIGURATION_S = 3.0
PROXIES = 9
ZONES = 3


def _started(seed: int = 1) -> GatewayCluster:
    site = GatewayCluster(seed, PROXIES)
    site.run_for(START_S)
    return site


def _find_readers(site: GatewayCluster) -> list[GatewayNode]:
    """Return the proxies that read the store themselves now."""
    site.store.call_counts.clear()
    site.run_for(5.0)
    return [node for node in site.proxies if site.store.call_counts[node.name] > 1]


def _versions(site: GatewayCluster) -> set[int]:
    return {p.gateway.cluster_state.routes.version for p in site.proxies if p.alive}


def _fleet(records: Iterable[ProxyRecord]) -> Fleet:
    return Fleet({record.name: record for record in records})


class TestSource(testtools.TestCase):
    def test_first_of_a_zone_has_none_and_the_others_have_it(self) -> None:
        records = [ProxyRecord(f"entry-{n}", "run", f"10.0.0.{n}:1", "a") for n in range(6)]
        found = {
            r.name: choose_view_source(r, _fleet(records), lambda name: False) for r in records
        }
        alone = [name for name, source in found.items() if source is None]
        self.assertEqual(1, len(alone))
        self.assertEqual({alone[0]}, {s.name for s in found.values() if s})

    def test_next_takes_the_place_of_one_that_is_avoided(self) -> None:
        records = [ProxyRecord(f"entry-{n}", "run", f"10.0.0.{n}:1", "a") for n in range(6)]
        first = next(
            r.name
            for r in records
            if choose_view_source(r, _fleet(records), lambda name: False) is None
        )
        found = [
            choose_view_source(r, _fleet(records), lambda name: name == first) for r in records
        ]
        names = {source.name for source in found if source}
        self.assertEqual(1, len(names))
        self.assertNotIn(first, names)

    def test_other_zones_are_no_source(self) -> None:
        me = ProxyRecord("entry-1", "run", "10.0.0.1:1", "a")
        other = ProxyRecord("entry-2", "run", "10.0.0.2:1", "b")
        self.assertIsNone(choose_view_source(me, _fleet([me, other]), lambda name: False))


class TestFeed(testtools.TestCase):
    def test_one_proxy_a_zone_reads_the_store(self) -> None:
        site = _started()
        readers = _find_readers(site)
        self.assertEqual(ZONES, len(readers))
        self.assertEqual(ZONES, len({node.gateway.zone for node in readers}))

    def test_everybody_keeps_a_lease(self) -> None:
        site = _started()
        for _ in range(40):
            site.run_for(0.5)
            ages = [
                site.simulator.now - p.gateway.cluster_state.leases.listing_requested_at
                for p in site.proxies
            ]
            self.assertLess(max(ages), CONFIGURATION_S)

    def test_configuration_reaches_everybody_although_readers_died_just_before(self) -> None:
        site = _started()
        for node in _find_readers(site):
            site.simulator.pause(node.name, 60.0)
        site.change_routes(*ROUTES)
        site.run_for(CONFIGURATION_S)
        served = {p.gateway.cluster_state.routes.version for p in site.proxies if not p.paused}
        self.assertEqual({site.routes.version}, served)

    def test_configuration_reaches_everybody_although_the_store_answers_no_reader(self) -> None:
        for one_way in (False, True):
            site = _started()
            readers = _find_readers(site)
            for node in readers:
                site.simulator.cut_link(STORE_NODE, node.name)
                if not one_way:
                    site.simulator.cut_link(node.name, STORE_NODE)
            site.change_routes(*ROUTES)
            site.run_for(CONFIGURATION_S)
            others = [p for p in site.proxies if p not in readers]
            versions = {p.gateway.cluster_state.routes.version for p in others}
            self.assertEqual({site.routes.version}, versions)

    def test_change_of_primary_reaches_everybody_at_once(self) -> None:
        site = _started()
        site.crash_instance("db-a")
        caller = site.open_session(site.proxies[0], QUOTES)
        while site.send_and_wait(caller, Write("q1 oak")).failure is not None:
            self.assertLess(site.simulator.now, 15.0)
            site.run_for(0.1)
        site.run_for(0.1)
        leading = {
            p.gateway.cluster_state.leases.group_records["books"].record.primary
            for p in site.proxies
        }
        self.assertEqual(1, len(leading))
        self.assertNotIn("db-a", leading)

    def test_new_instances_and_gone_ones_reach_everybody(self) -> None:
        site = _started()
        site.store.delete("instances", "db-c")
        site.run_for(0.2)
        missing = [
            p for p in site.proxies if p.gateway.cluster_state.directory.accepts_work("db-c")
        ]
        self.assertEqual([], missing)
        site.group.publish("db-c")
        site.run_for(0.2)
        self.assertTrue(
            all(p.gateway.cluster_state.directory.accepts_work("db-c") for p in site.proxies)
        )

    def test_retired_proxy_that_follows_registers_again(self) -> None:
        site = _started()
        follower = next(p for p in site.proxies if p not in _find_readers(site))
        site.simulator.pause(follower.name, 6.0)
        site.run_for(20.0)
        record = site.proxies[0].gateway.cluster_state.fleet.proxies[follower.name]
        self.assertFalse(record.retired)
        lease = follower.gateway.cluster_state.lease("books")
        assert lease is not None
        self.assertTrue(lease.is_valid_at(site.simulator.now))

    def test_answer_to_a_question_of_an_earlier_run_renews_nothing(self) -> None:
        site = _started()
        node = next(p for p in site.proxies if p not in _find_readers(site))
        first = node.gateway._view_subscriber._request_number
        site.kill_proxy(node)
        site.start_proxy(node)
        site.run_for(3.0)
        self.assertGreater(abs(node.gateway._view_subscriber._request_number - first), 1000)

    def test_fleet_does_not_besiege_a_store_that_is_away(self) -> None:
        site = _started()
        site.store.refused_proxies.add("*")
        site.run_for(3.0)
        site.store.call_counts.clear()
        site.run_for(6.0)
        calls = sum(site.store.call_counts.values()) / 6.0 / PROXIES
        self.assertLessEqual(calls, 2.0)
        site.store.refused_proxies.clear()
        site.change_routes(*ROUTES)
        site.run_for(CONFIGURATION_S)
        self.assertEqual({site.routes.version}, _versions(site))


class TestPositions(testtools.TestCase):
    def test_reads_go_to_replicas_although_this_proxy_asks_the_primary_seldom(self) -> None:
        site = _started()
        busy, other = site.proxies[0], site.proxies[ZONES]
        self.assertEqual(busy.gateway.zone, other.gateway.zone)
        writer, reader = site.open_session(busy, QUOTES), site.open_session(other, CATALOGUE)
        at_replicas = 0
        for number in range(40):
            site.send_and_wait(writer, Write(f"q1 v{number}"))
            site.run_for(0.1)
            if number % 10 == 9:
                request = site.send_request(reader, Read("q1"))
                site.run_for(0.1)
                ran = next(entry for entry in site.group.executions if entry.request == request)
                at_replicas += ran.instance != "db-a"
        self.assertGreaterEqual(at_replicas, 3)

    def test_position_under_another_record_is_not_taken(self) -> None:
        site = _started()
        beliefs = site.proxies[0].gateway.cluster_state
        lease = beliefs.lease("books")
        assert lease is not None
        note = PrimaryPosition("books", lease.revision + 1, 0.1, Position(1, 99))
        beliefs.record_peer_position(note, site.simulator.now)
        self.assertNotEqual(
            Position(1, 99), beliefs.find_min_position("books", site.simulator.now - 1.0)
        )
