"""Tests of parsing objects of the store."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import testtools

from orioleplank.decision.accounts import ClientAccount, RateLimit
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


def _configuration(**fields: Any) -> dict[str, Any]:
    route = {"host": "quotes", "type": "primary", "service": "books"}
    services = [{"name": "books", "maxConns": 33}]
    return {"version": 7, "routes": [route], "services": services, **fields}


class TestAccounts(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reported: list[str] = []

    def _parse(self, accounts: list[Any]) -> Mapping[str, ClientAccount]:
        raw = RawObject("main", 9, _configuration(tenants=accounts))
        table = parse_routes(raw, self.reported.append)
        assert table is not None and table.accounts is not None
        return table.accounts.by_key

    def test_account_has_its_priority_and_limit_under_each_key(self) -> None:
        wire = {"name": "shop", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 5, "burst": 9}
        account = ClientAccount("shop", 1, RateLimit(5.0, 9.0))
        self.assertEqual({"k1": account, "k2": account}, self._parse([wire]))

    def test_account_without_a_rate_is_not_limited(self) -> None:
        by_key = self._parse([{"name": "shop", "apiKeys": ["k1"], "burst": 9}])
        self.assertIsNone(by_key["k1"].limit)

    def test_account_without_keys_identifies_nobody(self) -> None:
        self.assertEqual({}, self._parse([{"name": "shop", "apiKeys": []}]))

    # With either account a caller could run statements under the name of the other one.
    def test_key_of_two_accounts_belongs_to_none_and_is_reported(self) -> None:
        accounts = [
            {"name": "shop", "apiKeys": ["k1", "k1", "k2"]},
            {"name": "bank", "apiKeys": ["k2", "k3"]},
        ]
        by_key = self._parse(accounts)
        self.assertEqual({"k1": "shop", "k3": "bank"}, {k: a.name for k, a in by_key.items()})
        self.assertEqual(["accounts with a common key: bank, shop"], self.reported)

    # One odd account must not take the configuration of all others with it.
    def test_invalid_account_is_left_out_and_reported_without_its_keys(self) -> None:
        invalid: tuple[Any, ...] = (
            None,
            "text",
            {"name": "no-keys"},
            {"name": "two words", "apiKeys": ["secret"]},
            {"name": "line\r\nQUERY", "apiKeys": ["secret"]},
            {"name": "odd", "apiKeys": ["secret"], "ratePerS": -1},
            {"name": "odd", "apiKeys": ["secret"], "priority": "1"},
            {"name": "odd", "apiKeys": [7]},
        )
        for value in invalid:
            self.reported.clear()
            by_key = self._parse([value, {"name": "shop", "apiKeys": ["k1"]}])
            self.assertEqual(["k1"], list(by_key), str(value))
            self.assertEqual(1, len(self.reported))
            self.assertNotIn("secret", self.reported[0])


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

    def test_configuration_without_accounts_has_no_table_of_accounts(self) -> None:
        table = parse_routes(RawObject("main", 9, _configuration()))
        assert table is not None
        self.assertIsNone(table.accounts)
        self.assertFalse(table.routes["quotes"].is_public)

    def test_object_with_other_name_or_invalid_content_is_no_configuration(self) -> None:
        self.assertIsNone(parse_routes(RawObject("other", 9, {"version": 7})))
        self.assertIsNone(parse_routes(RawObject("main", 9, {"version": "7"})))
