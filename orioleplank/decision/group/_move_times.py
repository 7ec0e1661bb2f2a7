"""When this proxy first saw that the primary of a group is being replaced.

Load pattern: a primary fails, and then the proxy that replaces it. Every lease on the old primary
rests on a read that was requested before the group was first written as moving. A proxy that takes
the failover over therefore counts the expiry of the leases from the time at which it saw the first
such record, not from its own claim.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field

from orioleplank.decision.group._group_record import GroupPhase, GroupRecord


class MoveStart(Struct, frozen=True):
    """A replacement of a primary, and when it was first seen."""

    # Id and term of the primary that is being replaced.
    primary: str
    term: int
    # Revision of the record that is being replaced; the same primary may be recorded again under
    # another one. The leases that have to end rest on this revision or on earlier ones.
    replaces: int
    # In seconds of the lease clock.
    seen_at: float

    def is_of(self, record: GroupRecord) -> bool:
        """Return whether `record` belongs to this replacement."""
        return (self.primary, self.term, self.replaces) == (
            record.primary,
            record.term,
            record.replaces,
        )


class MoveTimes(Struct, frozen=True):
    """The replacements in progress that this proxy knows of, by service."""

    starts: Mapping[str, MoveStart] = field(default_factory=dict)

    def apply(self, record: GroupRecord, now: float) -> MoveTimes:
        """Return the times after `record` became known at `now`, in seconds of the lease clock."""
        others = {name: start for name, start in self.starts.items() if name != record.service}
        if record.phase is not GroupPhase.MOVING:
            return MoveTimes(others)
        known = self.starts.get(record.service)
        if known is not None and known.is_of(record):
            return self
        start = MoveStart(record.primary, record.term, record.replaces, now)
        return MoveTimes({**others, record.service: start})

    def seen_at(self, record: GroupRecord) -> float | None:
        """Return when the replacement of the primary that `record` names was first seen.

        None if it is not known.
        """
        start = self.starts.get(record.service)
        if start is None or not start.is_of(record):
            return None
        return start.seen_at
