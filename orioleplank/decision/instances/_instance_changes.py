"""What differs between the listed instances at two revisions of the store."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field

from orioleplank.decision._change_history import ChangeHistory
from orioleplank.decision._map_changes import MapChanges, find_changed_keys, select_changes
from orioleplank.decision.instances._directory import InstanceEntry


class InstanceChanges(Struct, frozen=True):
    """The changes of the listed instances from one revision to another."""

    # The revision to which they apply; 0 if they are all the listed instances.
    base: int
    revision: int
    # By id.
    entries: MapChanges[InstanceEntry]


class ListedInstances(Struct, frozen=True):
    """The instances that the store lists, as of the revision at which they last changed."""

    # The revision at which this proxy found them changed; 0 before the first listing.
    revision: int = 0
    # By id.
    entries: Mapping[str, InstanceEntry] = field(default_factory=dict)
    history: ChangeHistory = ChangeHistory()

    def update(self, entries: Mapping[str, InstanceEntry], revision: int) -> ListedInstances:
        """Return the instances listed at a revision; this one if they are the same."""
        changed = find_changed_keys(self.entries, entries)
        if self.revision == 0:
            return ListedInstances(revision, entries)
        if not changed:
            return self
        return ListedInstances(
            revision, entries, self.history.record(self.revision, revision, changed)
        )

    def changes_since(self, revision: int) -> InstanceChanges | None:
        """Return what differs since a revision; None if that one is not older."""
        if revision >= self.revision:
            return None
        keys = self.history.keys_since(revision)
        if keys is None:
            return InstanceChanges(0, self.revision, MapChanges(self.entries))
        return InstanceChanges(revision, self.revision, select_changes(self.entries, keys))

    def find_entries(self, changes: InstanceChanges) -> Mapping[str, InstanceEntry] | None:
        """Return the entries after changes; None if these follow another revision."""
        if changes.base == 0:
            return changes.entries.updated
        if changes.base != self.revision:
            return None
        return changes.entries.apply_to(self.entries)
