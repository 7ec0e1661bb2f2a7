"""Leases on a group's primary, taken from linearizable reads of the platform's store.

The store holds one record for each group. A proxy that reads the record as stable at a time `t` may
rely on its primary until `t` + `LEASE_DURATION_S`, where `t` is when the read was *asked*. Whoever
moves the primary first writes the record as moving, and then either has the word of every
registered proxy that it relies on the primary no more, or waits until every lease read before has
ended. So no two proxies ever rely on two primaries, however long one was cut off or suspended.

All times are seconds of a clock that also counts suspended time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique

# How long a read of the record may be relied on: the store's usual outages, plus a renewal.
LEASE_DURATION_S = 9.0
# Added by whoever waits for leases to end: differences in the rate of two clocks.
CLOCK_DRIFT_MARGIN_S = 0.5


@unique
class GroupPhase(Enum):
    """Whether a group has a primary that may be relied on."""

    STABLE = "stable"
    MOVING = "moving"


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """The store's record of one group."""

    # Name of the service.
    service: str
    # Whether its primary may be relied on.
    phase: GroupPhase
    # Id of the primary, or of the one that is being left.
    primary: str
    # Term of the primary; 0 when it is not known.
    term: int
    # Name of the proxy that wrote the record.
    holder: str
    # Run of that proxy.
    incarnation: str
    # Number of the change within that run, so that a writer knows its own.
    number: int = 0
    # True while the primary that is being left still runs.
    planned: bool = False
    # True once nobody relies on the primary that is being left, so that another one is promoted.
    released: bool = False


@dataclass(frozen=True, slots=True)
class VersionedGroupRecord:
    """A record with the revision at which it was seen."""

    # The record.
    record: GroupRecord
    # The store's revision of its last change.
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """Leave to rely on a primary until a time."""

    # Id of the instance.
    primary: str
    # Its term.
    term: int
    # Until when, in seconds.
    expires_at: float
    # Revision of the record it rests on.
    revision: int

    def is_valid_at(self, moment: float) -> bool:
        """Tell whether the primary was the only one at `moment`."""
        return moment < self.expires_at


@dataclass(frozen=True, slots=True)
class LeaseTable:
    """What one proxy knows of all groups' records."""

    # Newest records by service.
    group_records: Mapping[str, VersionedGroupRecord] = field(default_factory=dict)
    # When the last complete listing was asked for, in seconds; minus infinity before one.
    listing_requested_at: float = float("-inf")
    # Least revision on which a lease may rest, by service: lower ones were given up.
    min_revisions: Mapping[str, int] = field(default_factory=dict)
    # Leases under which work may end while a planned move waits for it, by service.
    closing: Mapping[str, Lease] = field(default_factory=dict)

    def apply_listing(
        self, asked_at: float, records: Mapping[str, VersionedGroupRecord], registered: bool
    ) -> LeaseTable:
        """Take a linearizable listing; without the proxy's own registration it gives no lease."""
        book = self
        for listed in records.values():
            book = book.apply_change(listed)
        since = (
            max(asked_at, self.listing_requested_at) if registered else self.listing_requested_at
        )
        return replace(book, listing_requested_at=since)

    def apply_change(self, seen: VersionedGroupRecord) -> LeaseTable:
        """Take news of one record.

        A new stable record may be relied on as long as the last listing lasts: whoever moves the
        primary after it waits for leases from listings before *that* move, so for this one too.
        """
        service = seen.record.service
        known = self.group_records.get(service)
        if known is not None and known.revision >= seen.revision:
            return self
        closing = {**self.closing}
        lease = self.lease(service)
        if lease is not None and seen.record.phase is GroupPhase.MOVING and seen.record.planned:
            closing[service] = lease
        elif seen.record.phase is GroupPhase.STABLE or not seen.record.planned:
            closing.pop(service, None)
        return replace(self, group_records={**self.group_records, service: seen}, closing=closing)

    def release_below(self, service: str, revision: int) -> LeaseTable:
        """Rely no more on records of a service below `revision`."""
        floor = max(revision, self.min_revisions.get(service, 0))
        closing = {name: lease for name, lease in self.closing.items() if name != service}
        return replace(self, min_revisions={**self.min_revisions, service: floor}, closing=closing)

    def lease(self, service: str) -> Lease | None:
        """Return the last lease on the primary of a service, which may have ended; or None."""
        seen = self.group_records.get(service)
        if seen is None or seen.record.phase is not GroupPhase.STABLE:
            return None
        if seen.revision < self.min_revisions.get(service, 0):
            return None
        record = seen.record
        return Lease(
            record.primary, record.term, self.listing_requested_at + LEASE_DURATION_S, seen.revision
        )

    def lease_at_revision(self, service: str, revision: int) -> Lease | None:
        """Return the lease that rests on `revision`, for work that was begun under it; or None."""
        for lease in (self.lease(service), self.closing.get(service)):
            if lease is not None and lease.revision == revision:
                return lease
        return None
