"""Leases on the primary of a group, granted by linearizable reads of the platform's store.

The store holds one record for each group. A proxy that reads a stable record may rely on its
primary until `t` + `LEASE_DURATION_S`, where `t` is the time at which the read was *requested*. The
proxy that replaces the primary first writes the record as moving. Then it waits until every
registered proxy has confirmed that it has released its lease, or until every lease from an earlier
read has expired. Therefore two proxies never rely on two different primaries at the same time,
however long one of them was partitioned or suspended.

A record that is not in force grants no lease, since the store has come back from an older copy. A
lease from before stays valid until its end: whoever replaces the primary has to claim the group in
the new era, and waits for these leases too.

All times are in seconds on a clock that also advances while the machine is suspended.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field
from msgspec.structs import replace

from orioleplank.decision._revision import era_of
from orioleplank.decision.group._group_record import (
    GroupPhase,
    GroupRecord,
    VersionedGroupRecord,
)

# How long a lease is valid after the read: the usual length of a store outage, plus one renewal
# (about every 1.2 s).
LEASE_DURATION_S = 9.0
# Added to the time for which a proxy waits for leases to expire: allows for clocks that run at
# different rates.
CLOCK_DRIFT_MARGIN_S = 0.5


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
    # Newest era of the store of which a revision is known, and of which a listing is known.
    era: int = 0
    listed_era: int = 0
    # Leases whose record is no longer in force or was written again, by service; they are not
    # renewed.
    earlier_leases: Mapping[str, Lease] = field(default_factory=dict)
    # Newest records that were in force, by service.
    last_in_force: Mapping[str, VersionedGroupRecord] = field(default_factory=dict)

    def apply_listing(
        self,
        requested_at: float,
        records: Mapping[str, VersionedGroupRecord],
        registered: bool,
        revision: int,
    ) -> LeaseTable:
        """Return the table after a linearizable listing of all group records at `revision`.

        `requested_at` is when the listing was requested, in seconds. The listing grants and renews
        leases only if this proxy is `registered`. A listing of an earlier era has no effect.
        `records` may leave out those that have not changed since the latest listing of the era.
        """
        era = era_of(revision)
        if era < self.era:
            return self
        table = self._enter_era(era)
        for versioned in records.values():
            table = table.apply_change(versioned)
        granted_from = (
            max(requested_at, self.leases_start_at) if registered else self.leases_start_at
        )
        return replace(table, leases_start_at=granted_from, listed_era=era)

    def apply_change(self, versioned: VersionedGroupRecord) -> LeaseTable:
        """Return the table after a change of one record; an older revision is ignored.

        A new stable record is covered by a lease that counts from the last listing. This is safe:
        the next proxy to replace the primary writes its record after this listing was requested,
        since the listing would contain it otherwise, and waits for all leases from listings
        requested before that write. This lease is one of them.
        """
        table, service = self._enter_era(versioned.era), versioned.record.service
        current = table.group_records.get(service)
        if versioned.era < table.era:
            return table
        if current is not None and current.revision >= versioned.revision:
            return table
        records = {**table.group_records, service: versioned}
        if not versioned.is_in_force:
            return replace(table._keep_lease(service), group_records=records)
        return replace(
            table,
            group_records=records,
            draining_leases=table._find_draining_leases(versioned),
            earlier_leases=table._find_earlier_leases(versioned),
            last_in_force={**table.last_in_force, service: versioned},
        )

    def _enter_era(self, era: int) -> LeaseTable:
        """Return the table after the store was found to be in `era`; its records come later."""
        if era <= self.era:
            return self
        leases = ((service, self.lease(service)) for service in self.group_records)
        kept = {service: lease for service, lease in leases if lease is not None}
        return replace(self, era=era, earlier_leases=kept)

    def _keep_lease(self, service: str) -> LeaseTable:
        """Return the table with the lease on a service, which nothing renews from now on."""
        lease = self.lease(service)
        if lease is None:
            return self
        return replace(self, earlier_leases={**self.earlier_leases, service: lease})

    def _find_draining_leases(self, versioned: VersionedGroupRecord) -> Mapping[str, Lease]:
        """Return the leases for running statements after a change of a record in force."""
        record, leases = versioned.record, {**self.draining_leases}
        lease = self.lease(record.service)
        if lease is not None and record.phase is GroupPhase.MOVING and record.planned:
            leases[record.service] = lease
        elif record.phase is GroupPhase.STABLE or not record.planned:
            leases.pop(record.service, None)
        return leases

    def _find_earlier_leases(self, versioned: VersionedGroupRecord) -> Mapping[str, Lease]:
        """Return the leases of earlier eras after a change of a record in force.

        One on the same primary stays for statements that are running under it.
        """
        record = versioned.record
        rewritten = self._find_rewritten_lease(record)
        if rewritten is not None:
            return {**self.earlier_leases, record.service: rewritten}
        lease = self.earlier_leases.get(record.service)
        if lease is None:
            return self.earlier_leases
        match record.phase:
            case GroupPhase.STABLE:
                is_kept = lease.primary == record.primary
            case GroupPhase.MOVING:
                is_kept = record.planned
        if is_kept:
            return self.earlier_leases
        return {name: kept for name, kept in self.earlier_leases.items() if name != record.service}

    def _find_rewritten_lease(self, record: GroupRecord) -> Lease | None:
        """Return the lease on the known record if `record` names the same primary once more.

        Statements that are running under it may finish.
        """
        current = self.group_records.get(record.service)
        if current is None or current.record.phase is not GroupPhase.STABLE:
            return None
        is_same = (current.record.primary, current.record.term) == (record.primary, record.term)
        return self.lease(record.service) if is_same and record.phase is GroupPhase.STABLE else None

    def release_below(self, service: str, revision: int) -> LeaseTable:
        """Return the table with all leases of a service on lower revisions released."""
        min_revision = max(revision, self.min_revisions.get(service, 0))
        draining_leases = {
            name: lease for name, lease in self.draining_leases.items() if name != service
        }
        earlier_leases = {
            name: lease
            for name, lease in self.earlier_leases.items()
            if name != service or lease.revision >= min_revision
        }
        return replace(
            self,
            min_revisions={**self.min_revisions, service: min_revision},
            draining_leases=draining_leases,
            earlier_leases=earlier_leases,
        )

    def is_in_force(self, service: str) -> bool:
        """Return whether the known record of a service is in force in the store's present era."""
        versioned = self.group_records.get(service)
        return versioned is not None and versioned.is_in_force and versioned.era == self.era

    def lease(self, service: str) -> Lease | None:
        """Return the lease on the primary of a service, which may have expired.

        None when no stable record is known or the lease has been released.
        """
        versioned = self.group_records.get(service)
        if versioned is None:
            return None
        if not self.is_in_force(service):
            return self.earlier_leases.get(service)
        if versioned.record.phase is not GroupPhase.STABLE:
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

        This includes a lease that a switchover is waiting for, and one whose record is no longer in
        force. None when there is no such lease.
        """
        for lease in (
            self.lease(service),
            self.draining_leases.get(service),
            self.earlier_leases.get(service),
        ):
            if lease is not None and lease.revision == revision:
                return lease
        return None

    @property
    def primaries(self) -> frozenset[str]:
        """Ids of the instances that a record or a lease names as a primary."""
        records = (versioned.record.primary for versioned in self.group_records.values())
        return frozenset((*records, *(lease.primary for lease in self.earlier_leases.values())))
