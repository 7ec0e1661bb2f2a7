"""Tests of the store's objects."""

from __future__ import annotations

from typing import Any

import testtools

from orioleplank.decision.instances import Consistency, DbRole, InstanceState
from orioleplank.platform._objects import RawObject, parse_instance, parse_routes

_ENTRY: dict[str, Any] = {
    "service": "books",
    "address": "10.128.0.9:8080",
    "zone": "akl-a",
    "version": "v1",
    "capacity": 5,
    "state": "ready",
    "warmupLeftMs": 0,
    "dbRole": "replica",
    "sequence": 4,
}
_BAD: tuple[dict[str, Any], ...] = (
    {"state": "sleeping"},
    {"dbRole": "boss"},
    {"capacity": "5"},
    {"address": "nowhere"},
    {"service": None},
)


class TestInstanceEntries(testtools.TestCase):
    def test_reads_an_entry(self) -> None:
        entry = parse_instance(RawObject("i-1", 4, {**_ENTRY, "born": 17}))
        assert entry is not None
        self.assertEqual(
            ("i-1", "books", 5, 17), (entry.id, entry.service, entry.slots, entry.born)
        )
        self.assertEqual((InstanceState.READY, DbRole.REPLICA), (entry.state, entry.role))

    def test_entry_of_another_writer_names_nobody(self) -> None:
        for change in _BAD:
            self.assertIsNone(
                parse_instance(RawObject("i-1", 4, {**_ENTRY, **change})), str(change)
            )
        specs: tuple[object, ...] = (None, "text", 7, [], {})
        for spec in specs:
            self.assertIsNone(parse_instance(RawObject("i-1", 4, spec)))

    def test_object_without_name_or_revision_is_none(self) -> None:
        for value in (None, 7, {}, {"meta": 3}, {"meta": {"name": "x"}}):
            self.assertIsNone(RawObject.parse(value))


class TestRoutes(testtools.TestCase):
    def test_reads_routes_with_their_units(self) -> None:
        route = {
            "name": "r-1",
            "host": "quotes",
            "type": "bounded_staleness",
            "timeoutMs": 3000,
            "service": "books",
            "maxStalenessMs": 1500,
        }
        spec = {
            "version": 7,
            "routes": [route],
            "services": [{"name": "books", "maxConns": 33}],
            "limits": {"txIdleMs": 3000},
        }
        table = parse_routes(RawObject("main", 9, spec))
        assert table is not None
        found = table.routes["quotes"]
        self.assertEqual(
            (Consistency.BOUNDED_STALENESS, 3.0, 1.5),
            (found.consistency, found.timeout, found.max_age),
        )
        self.assertEqual(
            (33, 3.0), (table.services["books"].max_connections, table.transaction_idle)
        )

    def test_other_objects_are_no_configuration(self) -> None:
        self.assertIsNone(parse_routes(RawObject("other", 9, {"version": 7})))
        self.assertIsNone(parse_routes(RawObject("main", 9, {"version": "7"})))
