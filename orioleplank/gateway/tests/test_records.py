"""Tests of the parsing of the proxies' records."""

from __future__ import annotations

import testtools

from orioleplank.decision.group import GroupPhase, GroupRecord, SyncReplication
from orioleplank.decision.membership import ProxyRecord
from orioleplank.gateway import StoredRecord
from orioleplank.gateway._records import (
    dump_group_record,
    dump_proxy_record,
    parse_group_record,
    parse_proxy_record,
)

_PROXY = ProxyRecord("entry-1", "entry-1-0a", "10.0.0.1:7440", "akl-a")
_GROUP = GroupRecord("books", GroupPhase.STABLE, "i-1", 2, "entry-1", "entry-1-0a")


class TestProxyRecords(testtools.TestCase):
    def test_record_is_read_as_it_was_written(self) -> None:
        stored = StoredRecord("proxy.entry-1", 5, dump_proxy_record(_PROXY))
        self.assertEqual(_PROXY, parse_proxy_record(stored))

    # A record without a port ended the round of messages to all proxies.
    def test_record_without_a_usable_address_is_none(self) -> None:
        addresses = ("", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:99999", "a:80")
        for address in (*addresses, "10.0.0.1:7440\n"):
            content = {**dump_proxy_record(_PROXY), "address": address}
            stored = StoredRecord("proxy.entry-1", 5, content)
            self.assertIsNone(parse_proxy_record(stored), repr(address))


class TestGroupRecords(testtools.TestCase):
    def test_record_is_read_as_it_was_written(self) -> None:
        for sync in (SyncReplication(), SyncReplication(1, ("10.0.1.9:5432",), version=3)):
            record = GroupRecord(
                "books", GroupPhase.MOVING, "i-1", 2, "entry-1", "entry-1-0a", sync=sync
            )
            stored = StoredRecord("group.books", 5, dump_group_record(record))
            parsed = parse_group_record(stored)
            assert parsed is not None
            self.assertEqual(record, parsed.record)

    def test_defaults_are_not_stored(self) -> None:
        self.assertEqual(
            {"service", "phase", "primary", "term", "holder", "incarnation"},
            set(dump_group_record(_GROUP)),
        )
