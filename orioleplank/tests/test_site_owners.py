"""Owners of scarce connections: statements of a large fleet, on virtual time."""

from __future__ import annotations

import testtools
from twisted.internet.defer import Deferred

from orioleplank.decision.instances import DbRole, InstanceEntry, InstanceState
from orioleplank.decision.membership import ProxyRecord
from orioleplank.decision.routing import Direct, ThroughOwner, find_owners, find_way
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
    Write,
)
from orioleplank.gateway import Topic
from orioleplank.tests._site import JOBS, QUOTES, Site, SiteProxy

START_S = 4.0
PROXIES = 9
# Fewer than two for each proxy.
CONNECTIONS = 16


def _started(seed: int = 1) -> Site:
    site = Site(seed, PROXIES, CONNECTIONS)
    site.run(START_S)
    return site


def _owners(site: Site, instance: str) -> list[SiteProxy]:
    names = site.proxies[0].gateway.beliefs.owners(instance)
    return [node for name in names for node in site.proxies if node.name == name]


def _stranger(site: Site, instance: str) -> SiteProxy:
    """Return a proxy that owns no connections to an instance."""
    owners = _owners(site, instance)
    return next(node for node in site.proxies if node not in owners)


def _held(node: SiteProxy, instance: str) -> int:
    """Return the connections of a proxy to an instance."""
    return sum(link.is_open for name, link in node.dialer.links if name == instance)


def _code(reply: Reply) -> Code | None:
    return reply.failure.code if reply.failure else None


class TestOwnership(testtools.TestCase):
    instance = InstanceEntry(
        "i-1", "books", "10.0.0.9:1", "a", InstanceState.READY, DbRole.PRIMARY, 5
    )

    def _records(self, count: int) -> list[ProxyRecord]:
        return [
            ProxyRecord(f"entry-{n}", "run", f"10.0.0.{n}:1", "abc"[n % 3]) for n in range(count)
        ]

    def test_small_fleet_holds_connections_itself(self) -> None:
        self.assertEqual((), find_owners(self.instance, 33, self._records(7)))
        self.assertEqual(Direct(4), find_way("entry-1", self.instance, 33, self._records(7)))

    def test_owners_are_in_the_zone_of_the_instance(self) -> None:
        records = self._records(66)
        owners = find_owners(self.instance, 60, records)
        zones = {record.name: record.zone for record in records}
        self.assertEqual({"a"}, {zones[name] for name in owners})

    def test_sum_of_all_shares_stays_within_the_limit(self) -> None:
        for count in (3, 7, 20, 66, 300):
            for limit in (4, 33, 60, 186):
                records = self._records(count)
                ways = [find_way(r.name, self.instance, limit, records) for r in records]
                held = sum(way.connections for way in ways if isinstance(way, Direct))
                self.assertLessEqual(held, limit)

    def test_loss_of_a_stranger_changes_no_owner(self) -> None:
        records = self._records(66)
        owners = find_owners(self.instance, 60, records)
        left = [r for r in records if r.name in owners] + [
            r for r in records if r.name not in owners
        ][10:]
        self.assertEqual(owners, find_owners(self.instance, 60, left))

    def test_strangers_ask_different_owners_first(self) -> None:
        records = self._records(66)
        ways = [find_way(r.name, self.instance, 60, records) for r in records]
        firsts = {way.owners[0].name for way in ways if isinstance(way, ThroughOwner)}
        self.assertEqual(2, len(firsts))


class TestStatements(testtools.TestCase):
    def test_statements_of_a_stranger_are_served(self) -> None:
        site = _started()
        caller = site.open(_stranger(site, "db-a"), QUOTES)
        self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)
        self.assertEqual(("oak",), site.ask(caller, Read("q1")).rows)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 ash"))
        self.assertEqual(("ash",), site.ask(caller, Read("q1")).rows)
        self.assertIsNone(site.ask(caller, Commit()).failure)
        self.assertEqual(("ash",), site.ask(caller, Read("q1")).rows)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 elm"))
        site.ask(caller, Rollback())
        self.assertEqual(("ash",), site.ask(caller, Read("q1")).rows)

    def test_only_owners_hold_connections_and_never_more_than_allowed(self) -> None:
        site = _started()
        callers = [
            site.open(node, database) for node in site.proxies for database in (QUOTES, JOBS)
        ]
        for turn in range(30):
            for number, caller in enumerate(callers):
                site.send(caller, Write(f"k{number} v{turn}"))
            site.run(0.2)
        for instance in ("db-a", "db-b", "db-c"):
            held = {node.name: _held(node, instance) for node in site.proxies}
            owners = {node.name for node in _owners(site, instance)}
            self.assertEqual(set(), {name for name, count in held.items() if count} - owners)
            self.assertLessEqual(sum(held.values()), CONNECTIONS)

    def test_values_and_prepared_names_go_along(self) -> None:
        site = _started()
        callers = [site.open(_stranger(site, "db-a"), QUOTES) for _ in range(6)]
        for number, caller in enumerate(callers):
            site.ask(caller, SetValue("user", str(number)))
            site.ask(caller, Prepare("s", Shape(Mode.WRITE, f"q{number}")))
        for turn in range(3):
            for number, caller in enumerate(callers):
                request = site.send(caller, Execute("s", f"k{number} v{turn}"))
                site.run(0.05)
                ran = [entry for entry in site.group.ran if entry.request == request]
                self.assertEqual({"user": str(number)}, ran[0].values)
                assert ran[0].shape is not None
                self.assertEqual(f"q{number}", ran[0].shape.text)

    def test_value_set_in_a_transaction_that_is_rolled_back_reaches_nobody_else(self) -> None:
        site = _started()
        node = _stranger(site, "db-a")
        first, second = site.open(node, QUOTES), site.open(node, QUOTES)
        site.ask(first, Begin(False))
        site.ask(first, SetValue("user", "ana"))
        site.ask(first, Write("q1 oak"))
        site.ask(first, Rollback())
        request = site.send(second, Write("q2 ash"))
        site.run(0.2)
        ran = next(entry for entry in site.group.ran if entry.request == request)
        self.assertEqual({}, ran.values)


class TestLossOfAnOwner(testtools.TestCase):
    def test_open_transaction_of_a_lost_owner_is_aborted_and_nothing_is_kept(self) -> None:
        site = _started()
        caller = site.open(_stranger(site, "db-a"), QUOTES)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 oak"))
        for owner in _owners(site, "db-a"):
            if _held(owner, "db-a"):
                site.kill(owner)
        site.run(0.1)
        reply = site.ask(caller, Write("q2 ash"))
        self.assertIn(_code(reply), (Code.ABORTED, Code.BUSY))
        self.assertEqual([], [entry for entry in site.group.primary().log if entry.writes])

    def test_another_owner_serves_at_once(self) -> None:
        site = _started()
        caller = site.open(_stranger(site, "db-a"), QUOTES)
        self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)
        for owner in _owners(site, "db-a")[:2]:
            if _held(owner, "db-a"):
                site.kill(owner)
                break
        site.run(0.05)
        began = site.fabric.now
        self.assertIsNone(site.ask(caller, Write("q2 ash")).failure)
        self.assertLess(site.fabric.now - began, 1.0)

    def test_write_under_way_when_an_owner_dies_is_in_doubt(self) -> None:
        site = _started()
        caller = site.open(_stranger(site, "db-a"), QUOTES)
        site.ask(caller, Write("q1 oak"))
        site.group.members["db-a"].loses_answers = True
        site.send(caller, Write("q2 ash"))
        site.run(0.1)
        for owner in _owners(site, "db-a"):
            site.kill(owner)
        site.run(1.0)
        self.assertEqual(Code.IN_DOUBT, _code(caller.replies[-1]))

    def test_dead_primary_is_replaced_and_strangers_are_served_again(self) -> None:
        site = _started()
        caller = site.open(_stranger(site, "db-a"), QUOTES)
        site.ask(caller, Write("q1 oak"))
        site.run(0.5)
        site.crash("db-a")
        crashed = site.fabric.now
        while site.ask(caller, Write("q2 ash")).failure is not None:
            self.assertLess(site.fabric.now - crashed, 7.0)
            site.run(0.1)
        self.assertEqual(("oak",), site.ask(caller, Read("q1")).rows)

    def test_no_error_is_logged(self) -> None:
        site = _started()
        callers = [site.open(node, QUOTES) for node in site.proxies]
        for turn in range(5):
            for caller in callers:
                site.send(caller, Write(f"q{turn} oak"))
            site.run(0.3)
        site.kill(_owners(site, "db-a")[0])
        site.run(3.0)
        noted = [line for node in site.proxies for line in node.journal.lines]
        self.assertEqual([], [fields for topic, fields in noted if topic is Topic.ERROR])

    def test_proxy_that_reaches_no_owner_stands_in_for_them(self) -> None:
        site = _started()
        node = _stranger(site, "db-a")
        caller = site.open(node, QUOTES)
        self.assertIsNone(site.ask(caller, Write("q1 oak")).failure)
        for owner in _owners(site, "db-a"):
            site.fabric.cut(owner.name, node.name)
            site.fabric.cut(node.name, owner.name)
        site.run(3.5)
        began = site.fabric.now
        while site.ask(caller, Write("q2 ash")).failure is not None:
            self.assertLess(site.fabric.now - began, 3.0)
            site.run(0.1)
        self.assertLessEqual(_held(node, "db-a"), 1)
        site.fabric.heal()
        site.run(10.0)
        self.assertEqual(0, _held(node, "db-a"))

    def test_channel_to_a_proxy_that_is_gone_is_forgotten(self) -> None:
        site = _started()
        node = _stranger(site, "db-a")
        caller = site.open(node, QUOTES)
        site.ask(caller, Write("q1 oak"))
        forwarding = node.gateway.forwarding
        before = forwarding.addresses
        self.assertNotEqual(set(), before)
        for owner in _owners(site, "db-a"):
            site.kill(owner)
        site.run(30.0)
        self.assertEqual(set(), before & forwarding.addresses)

    def test_owner_that_is_asked_to_end_lets_transactions_of_others_finish(self) -> None:
        site = _started()
        caller = site.open(_stranger(site, "db-a"), QUOTES)
        site.ask(caller, Begin(False))
        site.ask(caller, Write("q1 oak"))
        owner = next(o for o in _owners(site, "db-a") if o.gateway.carrier.in_use)
        left: list[float] = []
        leaving = Deferred.fromCoroutine(owner.gateway.leave())
        leaving.addCallback(lambda _: left.append(site.fabric.now))
        site.run(2.6)
        self.assertEqual([], left)
        self.assertIsNone(site.ask(caller, Commit()).failure)
        site.run(0.5)
        self.assertEqual(1, len(left))
