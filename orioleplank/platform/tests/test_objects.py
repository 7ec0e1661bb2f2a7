"""Tests of parsing objects of the store."""

from __future__ import annotations

from typing import Any

import testtools

from orioleplank.decision.instances import Consistency, DbRole, InstanceState
from orioleplank.platform._objects import RawObject, parse_instance, parse_record, parse_routes

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
_INVALID_CHANGES: tuple[dict[str, Any], ...] = (
    {"state": "sleeping"},
    {"dbRole": "boss"},
    {"capacity": "5"},
    {"address": "nowhere"},
    {"service": None},
    {"service": "two words"},
    {"service": "books\r\nQUERY"},
    {"service": "books\n"},
    {"service": "\ud800"},
    {"zone": "\ud800"},
    {"capacity": 10**30},
    {"born": 10**30},
    {"address": "10.0.0.9:99999"},
    {"address": "10.0.0.9:0"},
    {"address": "10.0.0.9:"},
    {"address": "10.0.0.9:-1"},
    {"address": "10.0.0.9:" + "1" * 6000},
    {"address": "999.1.1.1:80"},
    {"address": "....:80"},
    {"address": "0.0.0.0:80"},
    {"address": "224.0.0.1:80"},
)
_INVALID_NAMES = ("", "i-1\n", "two words", "i-1\r\nQUERY", "\ud800", "x" * 201)


class TestInstanceEntries(testtools.TestCase):
    def test_valid_entry_is_parsed(self) -> None:
        entry = parse_instance(RawObject("i-1", 4, {**_ENTRY, "born": 17}))
        assert entry is not None
        self.assertEqual(
            ("i-1", "books", 5, 17), (entry.id, entry.service, entry.slots, entry.born)
        )
        self.assertEqual((InstanceState.READY, DbRole.REPLICA), (entry.state, entry.role))

    def test_invalid_entry_is_none(self) -> None:
        for change in _INVALID_CHANGES:
            self.assertIsNone(
                parse_instance(RawObject("i-1", 4, {**_ENTRY, **change})), str(change)
            )
        specs: tuple[object, ...] = (None, "text", 7, [], {})
        for spec in specs:
            self.assertIsNone(parse_instance(RawObject("i-1", 4, spec)))

    def test_entry_with_an_invalid_name_is_none(self) -> None:
        for name in _INVALID_NAMES:
            self.assertIsNone(parse_instance(RawObject(name, 4, _ENTRY)), repr(name))

    # An entry with a number too large was taken, and could not be passed on to other proxies.
    def test_record_that_cannot_be_passed_on_is_none(self) -> None:
        for content in ({"term": 10**30}, {"name": "\ud800"}, {"a": -(2**70)}):
            self.assertIsNone(parse_record(RawObject("proxy.x", 4, content)), str(content))
        self.assertIsNotNone(parse_record(RawObject("proxy.x", 4, {"term": 1})))

    def test_object_without_name_or_revision_is_none(self) -> None:
        for value in (None, 7, {}, {"meta": 3}, {"meta": {"name": "x"}}):
            self.assertIsNone(RawObject.parse(value, 1))


class TestRoutes(testtools.TestCase):
    def test_routes_are_parsed_and_times_converted_to_seconds(self) -> None:
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

    def test_object_with_other_name_or_invalid_content_is_no_configuration(self) -> None:
        self.assertIsNone(parse_routes(RawObject("other", 9, {"version": 7})))
        self.assertIsNone(parse_routes(RawObject("main", 9, {"version": "7"})))
