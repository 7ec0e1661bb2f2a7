"""Leases on the primary of a group, granted by linearizable reads of the platform's store.

The store holds one record for each group. A proxy that reads a stable record may rely on its
primary until `t` + `LEASE_DURATION_S`, where `t` is the time at which the read was *requested*. The
proxy that replaces the primary first writes the record as moving. Then it waits until every
registered proxy has confirmed that it has released its lease, or until every lease from an earlier
read has expired. Therefore two proxies never rely on two different primaries at the same time,
however long one of them was partitioned or suspended.

All times are in seconds on a clock that also advances while the machine is suspended.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, unique

from msgspec import Struct, field
from msgspec.structs import replace

# How long a lease is valid after the read: the usual length of a store outage, plus one renewal
# (about every 1.2 s).
LEASE_DURATION_S = 9.0
# Added to the time for which a proxy waits for leases to expire: allows for clocks that run at
# different rates.
CLOCK_DRIFT_MARGIN_S = 0.5


@unique
class GroupPhase(Enum):
    """Whether a group has a primary that may be relied on."""

    STABLE = "stable"
    MOVING = "moving"


class GroupRecord(Struct, frozen=True):
    """The store's record of one group."""

    service: str
    phase: GroupPhase
    # Id of the primary; of the old primary while the group is moving.
    primary: str
    # Term of the primary; 0 when it is not known.
    term: int
    # Name of the proxy that wrote the record.
    holder: str
    # Incarnation of that proxy.
    incarnation: str
    # Number of the change within that incarnation, so that a writer recognises its own changes.
    number: int = 0
    # True for a switchover: the old primary is still running.
    planned: bool = False
    # True once no proxy relies on the old primary, so that another instance may be promoted.
    released: bool = False


class VersionedGroupRecord(Struct, frozen=True):
    """A group record together with its revision in the store."""

    record: GroupRecord
    # The store's revision of the last change of the record.
    revision: int


class Lease(Struct, frozen=True):
    """Permission to rely on a primary until `expires_at`."""

    # Id of the primary.
    primary: str
    # Term of the primary; 0 when it is not known.
    term: int
    # In seconds, exclusive.
    expires_at: float
    # Revision of the group record on which the lease is based.
    revision: int

    def is_valid_at(self, time: float) -> bool:
        """Return whether the lease covers `time`, so that no other primary served then."""
        return time < self.expires_at


class LeaseTable(Struct, frozen=True):
    """The group records and leases of one proxy, for all groups."""

    # Newest known records by service.
    group_records: Mapping[str, VersionedGroupRecord] = field(default_factory=dict)
    # Time from which leases count, in seconds: the request time of the last complete listing that
    # was received while this proxy was registered. Minus infinity before the first one.
    leases_start_at: float = float("-inf")
    # Lowest record revision on which a lease may be based, by service; leases on lower revisions
    # have been released.
    min_revisions: Mapping[str, int] = field(default_factory=dict)
    # Leases under which running statements may still finish, by service: a switchover waits for
    # these statements.
    draining_leases: Mapping[str, Lease] = field(default_factory=dict)

    def apply_listing(
        self, requested_at: float, records: Mapping[str, VersionedGroupRecord], registered: bool
    ) -> LeaseTable:
        """Return the table after a linearizable listing of all group records.

        `requested_at` is when the listing was requested, in seconds. The listing grants and renews
        leases only if this proxy is `registered`.
        """
        table = self
        for versioned in records.values():
            table = table.apply_change(versioned)
        granted_from = (
            max(requested_at, self.leases_start_at) if registered else self.leases_start_at
        )
        return replace(table, leases_start_at=granted_from)

    def apply_change(self, versioned: VersionedGroupRecord) -> LeaseTable:
        """Return the table after a change of one record; an older revision is ignored.

        A new stable record is covered by a lease that counts from the last listing. This is safe:
        the next proxy to replace the primary writes its record after this listing was requested,
        since the listing would contain it otherwise, and waits for all leases from listings
        requested before that write. This lease is one of them.
        """
        service = versioned.record.service
        current = self.group_records.get(service)
        if current is not None and current.revision >= versioned.revision:
            return self
        draining_leases = {**self.draining_leases}
        lease = self.lease(service)
        if (
            lease is not None
            and versioned.record.phase is GroupPhase.MOVING
            and versioned.record.planned
        ):
            draining_leases[service] = lease
        elif versioned.record.phase is GroupPhase.STABLE or not versioned.record.planned:
            draining_leases.pop(service, None)
        return replace(
            self,
            group_records={**self.group_records, service: versioned},
            draining_leases=draining_leases,
        )

    def release_below(self, service: str, revision: int) -> LeaseTable:
        """Return the table with all leases of a service on lower revisions released."""
        min_revision = max(revision, self.min_revisions.get(service, 0))
        draining_leases = {
            name: lease for name, lease in self.draining_leases.items() if name != service
        }
        return replace(
            self,
            min_revisions={**self.min_revisions, service: min_revision},
            draining_leases=draining_leases,
        )

    def lease(self, service: str) -> Lease | None:
        """Return the lease on the primary of a service, which may have expired.

        None when no stable record is known or the lease has been released.
        """
        versioned = self.group_records.get(service)
        if versioned is None or versioned.record.phase is not GroupPhase.STABLE:
            return None
        if versioned.revision < self.min_revisions.get(service, 0):
            return None
        record = versioned.record
        return Lease(
            record.primary,
            record.term,
            self.leases_start_at + LEASE_DURATION_S,
            versioned.revision,
        )

    def lease_at_revision(self, service: str, revision: int) -> Lease | None:
        """Return the lease based on `revision`, for statements that were started under it.

        This includes a lease that a switchover is waiting for. None when there is no such lease.
        """
        for lease in (self.lease(service), self.draining_leases.get(service)):
            if lease is not None and lease.revision == revision:
                return lease
        return None
