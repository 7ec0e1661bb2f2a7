"""Membership of this proxy in the fleet: registration, lease renewal and the known fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from msgspec.structs import replace
from twisted.internet.defer import Deferred

from orioleplank.decision import era_of
from orioleplank.decision.group import VersionedGroupRecord
from orioleplank.decision.membership import ProxyRecord
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

# Interval at which the leases are renewed: short enough that a proxy which receives the store's
# contents from this one never finds them stale (see `MAX_VIEW_AGE_S` in `_view_subscriber`).
LEASE_RENEWAL_INTERVAL_S = 1.2
# Longest duration of one watch call.
WATCH_TIMEOUT_S = 10.0
# Mean pause before a failed registration is retried.
REGISTRATION_RETRY_DELAY_S = 0.3
# Every way in which a call to the store may fail.
STORE_ERRORS = (StoreUnavailableError, StoreConflictError, WatchHistoryExpiredError)


class FleetMembership:
    """Registers this proxy, and keeps the known fleet, group records and leases up to date.

    Proxy and group records are read from the store, or taken from another proxy's view by
    `apply_view`. Each complete listing renews the leases.
    """

    def __init__(
        self,
        reactor: Any,
        records: RecordCollection,
        cluster_state: ClusterState,
        event_log: EventLog,
        own_record: ProxyRecord,
        on_call_finished: Callable[[str], None],
        random: Random,
        gate: StoreReadGate,
    ) -> None:
        self._reactor = reactor
        self._records = records
        self._cluster_state = cluster_state
        self._event_log = event_log
        self._own_record = own_record
        self._random = random
        self._gate = gate
        # Store revisions of the proxy records, by proxy.
        self.proxy_revisions: dict[str, int] = {}
        # Store revision up to which the last removal of a proxy was found, or at which this proxy
        # first knew the fleet.
        self.removal_revision = 0
        # Store revision of the latest write of this incarnation's record; 0 before the first.
        self._written_revision = 0
        self._is_registering = False
        self._is_stopped = False
        handler: WatchHandler[StoredRecord] = WatchHandler(
            self._apply_listing, self._apply_changes, on_call_finished
        )
        self._watcher = ListWatcher(
            reactor,
            records,
            handler,
            cluster_state.lease_clock,
            WATCH_TIMEOUT_S,
            random,
            gate,
            probes_unreachable_store=True,
        )

    @property
    def is_registered(self) -> bool:
        """True when the store lists this incarnation as registered and not retired.

        A registration from before a restore of the store does not count.
        """
        record = self._cluster_state.fleet.proxies.get(self._own_record.name)
        return (
            record is not None
            and record.incarnation == self._own_record.incarnation
            and record.era == era_of(self._cluster_state.records_revision)
            and not record.retired
        )

    def proxy_revision(self, proxy: str) -> int | None:
        """Return the store revision of a proxy's record; None when it is not known."""
        return self.proxy_revisions.get(proxy)

    async def run(self) -> None:
        """Register, then list and watch the records until stopped."""
        await self.register()
        await self._watcher.run()

    async def renew_leases(self) -> None:
        """Renew the leases at intervals while this proxy reads the store itself, until stopped."""
        while not self._is_stopped:
            await sleep(
                self._reactor, LEASE_RENEWAL_INTERVAL_S * (0.9 + 0.2 * self._random.random())
            )
            # While calls fail, the watcher retries the listing by itself.
            if self._gate.is_open and not self._watcher.is_failing:
                await self.renew_now()

    async def renew_now(self) -> None:
        """List all records once, which renews the leases; a failure is logged."""
        try:
            await self._watcher.list_now()
        except STORE_ERRORS as error:
            self._event_log.log_event(EventType.LEASE, outcome="not renewed", why=str(error))

    async def register(self) -> None:
        """Write this incarnation's record to the store; retry until it succeeds or is stopped."""
        if self._is_registering:
            return
        self._is_registering = True
        try:
            while not self._is_stopped and not await self._try_to_register():
                await sleep(
                    self._reactor, REGISTRATION_RETRY_DELAY_S * (0.5 + self._random.random())
                )
        finally:
            self._is_registering = False

    async def _try_to_register(self) -> bool:
        try:
            await self._write_record(self._own_record)
        except STORE_ERRORS as error:
            self._event_log.log_event(EventType.FLEET, outcome="not registered", why=str(error))
            return False
        self._event_log.log_event(
            EventType.FLEET, outcome="registered", incarnation=self._own_record.incarnation
        )
        return True

    async def mark_stopping(self) -> None:
        """Mark this proxy as stopping in the store, so that it is given no further duties."""
        self._own_record = replace(self._own_record, stopping=True)
        try:
            await self._write_record(self._own_record)
        except STORE_ERRORS as error:
            self._event_log.log_event(
                EventType.FLEET, outcome="not marked as stopping", why=str(error)
            )

    async def deregister(self) -> None:
        """Remove this proxy's record; call this only after it has stopped serving."""
        self._is_stopped = self._watcher.is_stopped = True
        revision = self.proxy_revisions.get(self._own_record.name)
        if revision is None:
            return
        await self._remove_record(proxy_record_name(self._own_record.name), revision)

    async def _write_record(self, record: ProxyRecord) -> None:
        """Write this proxy's record; raise one of `STORE_ERRORS` if it is not in force."""
        name, revision = proxy_record_name(record.name), self.proxy_revisions.get(record.name)
        if revision is None:
            listing = await self._records.list()
            revisions = [item.revision for item in listing.items if item.name == name]
            revision, era = revisions[0] if revisions else None, era_of(listing.revision)
        else:
            era = era_of(revision)
        content = dump_proxy_record(replace(record, era=era))
        try:
            if revision is None:
                new_revision = await self._records.create(name, content)
            else:
                new_revision = await self._records.replace(name, content, revision)
            if era_of(new_revision) != era:
                raise StoreConflictError("register", name, "the store was restored meanwhile")
        except StoreConflictError:
            self.proxy_revisions.pop(record.name, None)
            raise
        self.proxy_revisions[record.name] = self._written_revision = new_revision

    # Updates from the store and from other proxies.

    def _apply_listing(self, listing: Listing[StoredRecord], requested_at: float) -> None:
        groups = [
            versioned_record
            for item in listing.items
            if (versioned_record := parse_group_record(item)) is not None
        ]
        # A view from another proxy that arrived in the meantime may be newer than this listing.
        known_revision = self._cluster_state.records_revision
        if listing.revision >= known_revision:
            self._cluster_state.records_revision = listing.revision
            self._apply_proxies(listing.items)
            self._remove_ended_records(listing.items)
        else:
            self._event_log.log_event(
                EventType.STORE,
                outcome="older listing",
                revision=listing.revision,
                known=known_revision,
            )
        self.apply_group_records(groups, requested_at, listing.revision)
        self._register_again_if_needed()

    def _apply_proxies(self, items: Iterable[StoredRecord]) -> None:
        proxy_records = [
            (item.revision, record) for item in items if (record := parse_proxy_record(item))
        ]
        self._replace_revisions({record.name: revision for revision, record in proxy_records})
        self._cluster_state.apply_proxy_records(
            {record.name: record for _, record in proxy_records}
        )

    def _remove_ended_records(self, items: Iterable[StoredRecord]) -> None:
        """Remove records of proxies that had left before a restore brought them back."""
        history = self._cluster_state.fleet_history
        for item in items:
            record = parse_proxy_record(item)
            if record is not None and history.has_ended(record, era_of(item.revision)):
                removal = Deferred.fromCoroutine(self._remove_record(item.name, item.revision))
                removal.addErrback(self._log_failure)

    async def _remove_record(self, name: str, revision: int) -> None:
        try:
            await self._records.remove(name, revision)
        except STORE_ERRORS as error:
            self._event_log.log_event(EventType.FLEET, outcome="not removed", why=str(error))

    def apply_view(self, view: StoreView, requested_at: float) -> None:
        """Apply another proxy's view, based on a listing requested at `requested_at`."""
        if view.versions.records >= self._cluster_state.records_revision:
            self._cluster_state.records_revision = view.versions.records
            self._merge_proxies(view)
        self.apply_group_records(view.groups, requested_at, view.versions.records)
        self._register_again_if_needed()

    def _merge_proxies(self, view: StoreView) -> None:
        """Update the proxies that changed, and remove those that are no longer registered."""
        proxies = dict(self._cluster_state.fleet.proxies)
        revisions = dict(self.proxy_revisions)
        if view.names is not None:
            names = frozenset(view.names)
            proxies = {name: record for name, record in proxies.items() if name in names}
            revisions = {name: known for name, known in revisions.items() if name in names}
        for versioned_record in view.proxies:
            if versioned_record.revision >= revisions.get(versioned_record.record.name, 0):
                revisions[versioned_record.record.name] = versioned_record.revision
                proxies[versioned_record.record.name] = versioned_record.record
        self._replace_revisions(revisions)
        self._cluster_state.apply_proxy_records(proxies)

    def _replace_revisions(self, revisions: dict[str, int]) -> None:
        """Replace the revisions of all proxy records, as of `records_revision`."""
        if self.removal_revision == 0 or not self.proxy_revisions.keys() <= revisions.keys():
            self.removal_revision = self._cluster_state.records_revision
        self.proxy_revisions = revisions

    def apply_group_records(
        self, groups: Iterable[VersionedGroupRecord], requested_at: float, revision: int
    ) -> None:
        """Apply group records at a revision, and renew the leases as of `requested_at`.

        The records must be at least as new as a listing requested at that time, which is on the
        clock of leases. Those that this proxy knows already may be left out.
        """
        records = {versioned_record.record.service: versioned_record for versioned_record in groups}
        lease_table = self._cluster_state.leases.apply_listing(
            requested_at, records, self.is_registered, revision
        )
        self._cluster_state.update_leases(lease_table)

    def _apply_changes(self, changes: Changes[StoredRecord]) -> None:
        """Apply changes; the fleet is updated once for all of them."""
        self._cluster_state.records_revision = max(
            self._cluster_state.records_revision, changes.revision
        )
        proxies = dict(self._cluster_state.fleet.proxies)
        for item in changes.items:
            if isinstance(item, RemovedObject):
                self._apply_removal(item.name, proxies)
            else:
                self._apply_record(item, proxies)
        self._cluster_state.apply_proxy_records(proxies)
        self._register_again_if_needed()

    def expire_lost_proxies(self) -> None:
        """Remove the proxies whose registration was lost long ago and that did not come back."""
        if self._cluster_state.fleet_history.lost:
            self._cluster_state.apply_proxy_records(self._cluster_state.fleet.proxies)

    def _apply_record(self, item: StoredRecord, proxies: dict[str, ProxyRecord]) -> None:
        """Apply a group record, or put a proxy record into `proxies`."""
        versioned_record = parse_group_record(item)
        if versioned_record is not None:
            self._cluster_state.update_leases(
                self._cluster_state.leases.apply_change(versioned_record)
            )
        record = parse_proxy_record(item)
        if record is not None and item.revision >= self.proxy_revisions.get(record.name, 0):
            self.proxy_revisions[record.name] = item.revision
            proxies[record.name] = record

    def _apply_removal(self, name: str, proxies: dict[str, ProxyRecord]) -> None:
        """Remove a proxy from `proxies` whose record was removed; ignore other records."""
        if not name.startswith(PROXY_PREFIX):
            return
        proxy = name.removeprefix(PROXY_PREFIX)
        self.removal_revision = self._cluster_state.records_revision
        self.proxy_revisions.pop(proxy, None)
        proxies.pop(proxy, None)

    def _register_again_if_needed(self) -> None:
        if self.is_registered or self._is_stopped or self._is_registering:
            return
        if self._written_revision > self._cluster_state.records_revision:
            return
        Deferred.fromCoroutine(self.register()).addErrback(self._log_failure)

    def _log_failure(self, failure: object) -> None:
        self._event_log.log_event(EventType.ERROR, step="register", detail=str(failure))
