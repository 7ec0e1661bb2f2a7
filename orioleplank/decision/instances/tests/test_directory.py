"""Tests of the instance directory and the route table."""

from __future__ import annotations

import testtools
from msgspec.structs import replace

from orioleplank.decision.instances import (
    MISSING_GRACE_S,
    DbRole,
    InstanceDirectory,
    InstanceEntry,
    InstanceState,
    RouteTable,
)


def _entry(name: str, state: InstanceState = InstanceState.READY) -> InstanceEntry:
    return InstanceEntry(name, "books", "10.0.0.1:1", "akl-a", state, DbRole.REPLICA, 5)


class TestDirectory(testtools.TestCase):
    def test_missing_entry_is_kept_for_its_grace_period(self) -> None:
        directory = InstanceDirectory().upsert(_entry("db-a"), 1.0).apply_listing([], 10.0)
        kept = directory.expire(10.0 + MISSING_GRACE_S - 0.1, float("-inf"))
        self.assertIsNotNone(kept.entry("db-a"))
        self.assertIsNone(kept.expire(10.0 + MISSING_GRACE_S, float("-inf")).entry("db-a"))

    def test_grace_period_starts_when_the_store_is_reachable_again(self) -> None:
        directory = InstanceDirectory().upsert(_entry("db-a"), 1.0).mark_missing("db-a", 2.0)
        kept = directory.expire(20.0, store_reconnected_at=19.0)
        self.assertIsNotNone(kept.entry("db-a"))
        self.assertIsNone(kept.expire(21.0, store_reconnected_at=19.0).entry("db-a"))

    def test_entry_that_is_listed_again_is_not_missing(self) -> None:
        directory = InstanceDirectory().upsert(_entry("db-a"), 1.0).mark_missing("db-a", 2.0)
        directory = directory.upsert(_entry("db-a"), 3.0)
        self.assertIsNotNone(directory.expire(30.0, float("-inf")).entry("db-a"))

    def test_draining_instance_accepts_no_new_work(self) -> None:
        directory = InstanceDirectory().upsert(_entry("db-a", InstanceState.DRAINING), 1.0)
        self.assertFalse(directory.accepts_work("db-a"))

    def test_draining_primary_accepts_work_until_the_cutoff(self) -> None:
        directory = InstanceDirectory().upsert(_entry("db-a", InstanceState.DRAINING), 1.0)
        directory = directory.upsert(_entry("db-a", InstanceState.DRAINING), 4.0)
        self.assertTrue(directory.accepts_work_as_primary("db-a", 4.5, 7.0))
        self.assertFalse(directory.accepts_work_as_primary("db-a", 5.0, 7.0))

    def test_new_life_of_a_draining_instance_drains_from_its_own_start(self) -> None:
        draining = replace(_entry("db-a", InstanceState.DRAINING), born=1)
        directory = InstanceDirectory().upsert(draining, 1.0)
        directory = directory.upsert(replace(draining, born=2), 6.0)
        self.assertTrue(directory.accepts_work_as_primary("db-a", 7.0, 7.0))

    def test_draining_instance_is_not_ready_again_in_the_same_life(self) -> None:
        ready = replace(_entry("db-a"), born=1)
        draining = replace(ready, state=InstanceState.DRAINING)
        directory = InstanceDirectory().upsert(draining, 1.0).apply_listing([ready], 3.0)
        self.assertFalse(directory.accepts_work("db-a"))
        self.assertTrue(directory.accepts_work_as_primary("db-a", 4.5, 7.0))
        self.assertFalse(directory.accepts_work_as_primary("db-a", 5.0, 7.0))
        directory = directory.upsert(replace(ready, born=2), 6.0)
        self.assertTrue(directory.accepts_work("db-a"))


class TestRouteTable(testtools.TestCase):
    def test_newer_version_is_kept(self) -> None:
        newer, older = RouteTable(7), RouteTable(5)
        self.assertIs(newer, newer.select_newer(older))
        self.assertIs(newer, older.select_newer(newer))
