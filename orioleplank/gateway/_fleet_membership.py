"""Keeps this proxy registered, its leases renewed, and its view of the fleet current."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from orioleplank.decision.group import VersionedGroupRecord
from orioleplank.decision.membership import Fleet, ProxyRecord
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._interfaces import (
    Changes,
    Listing,
    RecordCollection,
    RemovedObject,
    StoreConflictError,
    StoredRecord,
    StoreUnavailableError,
    WatchHistoryExpiredError,
)
from orioleplank.gateway._list_watcher import ListWatcher, WatchHandler
from orioleplank.gateway._notifier import sleep
from orioleplank.gateway._records import (
    PROXY_PREFIX,
    dump_proxy_record,
    parse_group_record,
    parse_proxy_record,
    proxy_record_name,
)
from orioleplank.gateway._store_read_gate import StoreReadGate
from orioleplank.gateway._store_view import StoreView

# Seconds between renewals of the leases: short enough that a proxy which has the store's news from
# this one never counts them as stale (see `STALE_S` of the feed).
RENEW_S = 1.2
# Longest wait of a watch, in seconds.
WATCH_S = 10.0
# Pause before a registration that failed is tried again, in seconds.
REGISTER_AGAIN_S = 0.3


class FleetMembership:
    """This proxy's part in the fleet."""

    def __init__(
        self,
        reactor: Any,
        records: RecordCollection,
        beliefs: ClusterState,
        journal: EventLog,
        me: ProxyRecord,
        on_contact: Callable[[str], None],
        random: Random,
        gate: StoreReadGate,
    ) -> None:
        self._reactor = reactor
        self._records = records
        self._beliefs = beliefs
        self._journal = journal
        self._me = me
        self._random = random
        self._gate = gate
        # Revisions of the proxies' records, by the proxies' names.
        self.proxy_revisions: dict[str, int] = {}
        # Revision of this run's own record as it was written last; 0 before.
        self._registered_at = 0
        self._is_registering = False
        self._is_stopped = False
        listener: WatchHandler[StoredRecord] = WatchHandler(
            self._take_listing, self._take_changes, on_contact
        )
        self._follower = ListWatcher(
            reactor,
            records,
            listener,
            beliefs.lease_clock,
            WATCH_S,
            random,
            gate,
            probes_unreachable_store=True,
        )

    @property
    def is_registered(self) -> bool:
        """True when the store shows this run as registered."""
        seen = self._beliefs.fleet.proxies.get(self._me.name)
        return seen is not None and seen.incarnation == self._me.incarnation and not seen.retired

    def proxy_revision(self, proxy: str) -> int | None:
        """Return the revision of a proxy's record; None when there is none."""
        return self.proxy_revisions.get(proxy)

    async def run(self) -> None:
        """Register, then follow the records."""
        await self.register()
        await self._follower.run()

    async def renew_leases(self) -> None:
        """Renew the leases over and over."""
        while not self._is_stopped:
            await sleep(self._reactor, RENEW_S * (0.9 + 0.2 * self._random.random()))
            # While calls fail the follower lists again and again by itself.
            if self._gate.is_open and not self._follower.is_failing:
                await self.renew_now()

    async def renew_now(self) -> None:
        """Read all records once, which renews the leases."""
        try:
            await self._follower.list_now()
        except (StoreUnavailableError, WatchHistoryExpiredError, StoreConflictError) as error:
            self._journal.log_event(EventType.LEASE, outcome="not renewed", why=str(error))

    async def register(self) -> None:
        """Write this run's record until the store has it."""
        if self._is_registering:
            return
        self._is_registering = True
        while not self._is_stopped:
            try:
                await self._write_record(self._me)
                self._journal.log_event(
                    EventType.FLEET, outcome="registered", incarnation=self._me.incarnation
                )
                break
            except (StoreUnavailableError, StoreConflictError) as error:
                self._journal.log_event(EventType.FLEET, outcome="not registered", why=str(error))
                await sleep(self._reactor, REGISTER_AGAIN_S * (0.5 + self._random.random()))
        self._is_registering = False

    async def mark_stopping(self) -> None:
        """Tell the others that this proxy takes no duties any more."""
        self._me = replace(self._me, stopping=True)
        try:
            await self._write_record(self._me)
        except (StoreUnavailableError, StoreConflictError) as error:
            self._journal.log_event(
                EventType.FLEET, outcome="not marked as stopping", why=str(error)
            )

    async def deregister(self) -> None:
        """Remove this run's record; only once it serves nothing any more."""
        self._is_stopped = self._follower.is_stopped = True
        revision = self.proxy_revisions.get(self._me.name)
        if revision is None:
            return
        try:
            await self._records.remove(proxy_record_name(self._me.name), revision)
        except (StoreUnavailableError, StoreConflictError) as error:
            self._journal.log_event(EventType.FLEET, outcome="not removed", why=str(error))

    async def _write_record(self, record: ProxyRecord) -> None:
        name, content = proxy_record_name(record.name), dump_proxy_record(record)
        revision = self.proxy_revisions.get(record.name)
        if revision is None:
            listing = await self._records.list()
            found = [item.revision for item in listing.items if item.name == name]
            revision = found[0] if found else None
        try:
            if revision is None:
                written = await self._records.create(name, content)
            else:
                written = await self._records.replace(name, content, revision)
        except StoreConflictError:
            self.proxy_revisions.pop(record.name, None)
            raise
        self.proxy_revisions[record.name] = self._registered_at = written

    # What the store says.

    def _take_listing(self, listing: Listing[StoredRecord], asked_at: float) -> None:
        groups = [seen for item in listing.items if (seen := parse_group_record(item)) is not None]
        # What another proxy has told meanwhile may be newer than a listing that was on its way.
        if listing.revision >= self._beliefs.records_revision:
            self._beliefs.records_revision = listing.revision
            self._take_proxies(listing.items)
        self.apply_group_records(groups, asked_at)
        self._register_again_if_needed()

    def _take_proxies(self, items: Iterable[StoredRecord]) -> None:
        known = [(item.revision, record) for item in items if (record := parse_proxy_record(item))]
        self.proxy_revisions = {record.name: revision for revision, record in known}
        self._beliefs.update_fleet(Fleet({record.name: record for _, record in known}))

    def apply_view(self, view: StoreView, asked_at: float) -> None:
        """Take what another proxy knows; its listing was asked for at `asked_at`."""
        if view.versions.records >= self._beliefs.records_revision:
            self._beliefs.records_revision = view.versions.records
            self._merge_proxies(view)
        self.apply_group_records(view.groups, asked_at)
        self._register_again_if_needed()

    def _merge_proxies(self, view: StoreView) -> None:
        """Take the proxies that changed, and drop those that are gone."""
        revisions = {
            name: self.proxy_revisions[name] for name in view.names if name in self.proxy_revisions
        }
        proxies = {n: r for n, r in self._beliefs.fleet.proxies.items() if n in view.names}
        for seen in view.proxies:
            if seen.revision >= revisions.get(seen.record.name, 0):
                revisions[seen.record.name] = seen.revision
                proxies[seen.record.name] = seen.record
        self.proxy_revisions = revisions
        self._beliefs.update_fleet(Fleet(proxies))

    def apply_group_records(self, groups: Iterable[VersionedGroupRecord], asked_at: float) -> None:
        """Take groups' records as new as a listing asked for at `asked_at`, or newer.

        `asked_at` is on the clock of leases; it renews the leases.
        """
        records = {seen.record.service: seen for seen in groups}
        book = self._beliefs.leases.apply_listing(asked_at, records, self.is_registered)
        self._beliefs.update_leases(book)

    def _take_changes(self, changes: Changes[StoredRecord]) -> None:
        """Take changes; the fleet is worked out once for all of them."""
        self._beliefs.records_revision = max(self._beliefs.records_revision, changes.revision)
        proxies = dict(self._beliefs.fleet.proxies)
        for item in changes.items:
            if isinstance(item, RemovedObject):
                self._take_removal(item.name, proxies)
            else:
                self._take_record(item, proxies)
        self._beliefs.update_fleet(Fleet(proxies))
        self._register_again_if_needed()

    def _take_record(self, item: StoredRecord, proxies: dict[str, ProxyRecord]) -> None:
        """Take a record; one of a proxy goes into `proxies`."""
        seen = parse_group_record(item)
        if seen is not None:
            self._beliefs.update_leases(self._beliefs.leases.apply_change(seen))
        record = parse_proxy_record(item)
        if record is not None and item.revision > self.proxy_revisions.get(record.name, 0):
            self.proxy_revisions[record.name] = item.revision
            proxies[record.name] = record

    def _take_removal(self, name: str, proxies: dict[str, ProxyRecord]) -> None:
        """Take the end of a record; that of a proxy leaves `proxies`."""
        if not name.startswith(PROXY_PREFIX):
            return
        proxy = name.removeprefix(PROXY_PREFIX)
        self.proxy_revisions.pop(proxy, None)
        proxies.pop(proxy, None)

    def _register_again_if_needed(self) -> None:
        if self.is_registered or self._is_stopped or self._is_registering:
            return
        if self._registered_at > self._beliefs.records_revision:
            return
        Deferred.fromCoroutine(self.register()).addErrback(self._fail)

    def _fail(self, failure: object) -> None:
        self._journal.log_event(EventType.ERROR, step="register", detail=str(failure))
