"""The store's record of one group, and whether it is in force.

A record is in force in the era of the store in which it was written. After the store has come back
from an older copy, its records are those of the copy: the primaries that they name may have been
replaced since.
"""

from __future__ import annotations

from enum import Enum, unique

from msgspec import Struct

from orioleplank.decision._revision import era_of
from orioleplank.decision.group._sync_replication import SyncReplication


@unique
class GroupPhase(Enum):
    """Whether a group has a primary that may be relied on."""

    STABLE = "stable"
    MOVING = "moving"


class GroupRecord(Struct, frozen=True, omit_defaults=True):
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
    # Era of the store in which the record was written.
    era: int = 0
    # While the group is moving: revision of the record on which the leases rest that have to end.
    replaces: int = 0
    # While the group is moving: True if the old primary may stay, because only its record was lost.
    keeps_primary: bool = False
    # While the group is moving: True if a promotion may have been requested, under this claim or an
    # earlier one.
    may_be_requested: bool = False
    # Where the acknowledged commits are.
    sync: SyncReplication = SyncReplication()
    # While the group is moving: addresses of the replicas without whose reports no instance can be
    # promoted safely; empty if there is one that can.
    awaited: tuple[str, ...] = ()


class VersionedGroupRecord(Struct, frozen=True):
    """A group record together with its revision in the store."""

    record: GroupRecord
    # The store's revision of the last change of the record.
    revision: int

    @property
    def era(self) -> int:
        """The era of the store in which the record was read."""
        return era_of(self.revision)

    @property
    def is_in_force(self) -> bool:
        """False if the record was written in another era than the one in which it was read."""
        return self.record.era == self.era
