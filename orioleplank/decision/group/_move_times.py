"""When this proxy first saw that the primary of a group is being replaced.

Load pattern: a primary fails, and then the proxy that replaces it. Every lease on the old primary
rests on a read that was requested before the group was first written as moving. A proxy that takes
the failover over therefore counts the expiry of the leases from the time at which it saw the first
such record, not from its own claim.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field

from orioleplank.decision.group._lease import GroupPhase, GroupRecord


class MoveStart(Struct, frozen=True):
    """A replacement of a primary, and when it was first seen."""

    # Id and term of the primary that is being replaced. No primary returns under the same id and
    # term once another has been recorded, so the two identify the replacement.
    primary: str
    term: int
    # In seconds of the lease clock.
    seen_at: float


class MoveTimes(Struct, frozen=True):
    """The replacements in progress that this proxy knows of, by service."""

    starts: Mapping[str, MoveStart] = field(default_factory=dict)

    def apply(self, record: GroupRecord, now: float) -> MoveTimes:
        """Return the times after `record` became known at `now`, in seconds of the lease clock."""
        others = {name: start for name, start in self.starts.items() if name != record.service}
        if record.phase is not GroupPhase.MOVING:
            return MoveTimes(others)
        known = self.starts.get(record.service)
        if known is not None and (known.primary, known.term) == (record.primary, record.term):
            return self
        return MoveTimes({**others, record.service: MoveStart(record.primary, record.term, now)})

    def seen_at(self, record: GroupRecord) -> float | None:
        """Return when the replacement of the primary that `record` names was first seen.

        None if it is not known.
        """
        start = self.starts.get(record.service)
        if start is None or (start.primary, start.term) != (record.primary, record.term):
            return None
        return start.seen_at
