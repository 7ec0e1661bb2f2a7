"""Directory of the existing instances, from the platform's listing, which may lag.

An entry that disappears is kept for a grace period, because entries lapse while the store is
unavailable and come back after it recovers. While the store is unreachable, no entry is removed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum, unique

from msgspec import Struct, field
from msgspec.structs import replace

# How long a missing entry is kept while the store is reachable, in seconds: entries that lapsed
# during a store outage are back by then.
MISSING_GRACE_S = 2.0
# The same for a primary: its group has another primary by then.
MISSING_PRIMARY_GRACE_S = 5.0
# An instance whose entry has been missing for this long, in seconds, counts as leaving even if it
# still responds.
MISSING_AS_LEAVING_S = 2.2
# A draining primary gets no new work from this long before the end of its drain period, in
# seconds: other proxies may have seen it draining that much earlier.
DRAIN_CUTOFF_MARGIN_S = 3.0


@unique
class InstanceState(Enum):
    """The state that an instance reports.

    An instance is ready, then draining, and then *missing* once its entry is no longer listed; it
    may also become missing without having drained. It counts as *leaving* while it is draining,
    and when it has been missing for `MISSING_AS_LEAVING_S`. An entry that stays missing is removed
    in the end. Only a ready, listed instance gets new work, except for a primary: see
    `accepts_work_as_primary`.
    """

    READY = "ready"
    # It will stop soon and accepts no new work.
    DRAINING = "draining"


@unique
class DbRole(Enum):
    """The role that an instance reports."""

    PRIMARY = "primary"
    REPLICA = "replica"


class InstanceEntry(Struct, frozen=True):
    """The entry of one instance in the platform's listing."""

    id: str
    service: str
    # HOST:PORT.
    address: str
    # Availability zone.
    zone: str
    state: InstanceState
    role: DbRole
    # Number of statements that it runs concurrently.
    slots: int
    # Start of this incarnation, in milliseconds since the Unix epoch; 0 when not reported.
    born: int = 0


class TrackedInstance(Struct, frozen=True):
    """An entry together with how long it has been missing or draining."""

    # Last known version of the entry.
    entry: InstanceEntry
    # When it was first found missing, in seconds; None while it is listed.
    missing_since: float | None = None
    # When it was first seen draining, in seconds; None while it is not.
    draining_since: float | None = None

    def is_leaving(self, now: float) -> bool:
        """Return whether it is draining, or missing for at least `MISSING_AS_LEAVING_S`."""
        if self.draining_since is not None:
            return True
        return self.missing_since is not None and now - self.missing_since >= MISSING_AS_LEAVING_S


class InstanceDirectory(Struct, frozen=True):
    """All instances known to one proxy; immutable, each update returns a new directory."""

    # By instance id.
    instances: Mapping[str, TrackedInstance] = field(default_factory=dict)

    def apply_listing(self, entries: Iterable[InstanceEntry], now: float) -> InstanceDirectory:
        """Return the directory after a complete listing; entries not listed become missing."""
        listed = {entry.id: self._track(entry, now) for entry in entries}
        for instance_id, tracked in self.instances.items():
            if instance_id not in listed:
                missing_since = now if tracked.missing_since is None else tracked.missing_since
                listed[instance_id] = replace(tracked, missing_since=missing_since)
        return InstanceDirectory(listed)

    def upsert(self, entry: InstanceEntry, now: float) -> InstanceDirectory:
        """Return the directory after one entry was added or changed."""
        return InstanceDirectory({**self.instances, entry.id: self._track(entry, now)})

    def mark_missing(self, instance_id: str, now: float) -> InstanceDirectory:
        """Return the directory after one entry was removed; the entry becomes missing."""
        tracked = self.instances.get(instance_id)
        if tracked is None or tracked.missing_since is not None:
            return self
        return InstanceDirectory(
            {**self.instances, instance_id: replace(tracked, missing_since=now)}
        )

    def expire(
        self, now: float, store_reconnected_at: float, primary_ids: frozenset[str] = frozenset()
    ) -> InstanceDirectory:
        """Return the directory without the entries whose grace period is over.

        Only time in contact with the store counts: `store_reconnected_at` is when the store last
        became reachable again after an outage. `primary_ids` are the ids of the primaries.
        """

        def is_kept(instance_id: str, tracked: TrackedInstance) -> bool:
            if tracked.missing_since is None:
                return True
            grace = MISSING_PRIMARY_GRACE_S if instance_id in primary_ids else MISSING_GRACE_S
            return now - max(tracked.missing_since, store_reconnected_at) < grace

        kept = {
            instance_id: tracked
            for instance_id, tracked in self.instances.items()
            if is_kept(instance_id, tracked)
        }
        return self if len(kept) == len(self.instances) else InstanceDirectory(kept)

    def listed_entries(self) -> dict[str, InstanceEntry]:
        """Return the entries that are not missing, by id."""
        return {
            instance_id: tracked.entry
            for instance_id, tracked in self.instances.items()
            if tracked.missing_since is None
        }

    def entries_of_service(self, service: str) -> tuple[InstanceEntry, ...]:
        """Return the entries of a service, ordered by id."""
        instance_ids = sorted(self.instances)
        entries = (self.instances[instance_id].entry for instance_id in instance_ids)
        return tuple(entry for entry in entries if entry.service == service)

    def entry(self, instance_id: str) -> InstanceEntry | None:
        """Return the entry of an instance; None when it is not tracked."""
        tracked = self.instances.get(instance_id)
        return tracked.entry if tracked else None

    def accepts_work(self, instance_id: str) -> bool:
        """Return whether an instance may be sent new work: it is listed and not draining."""
        tracked = self.instances.get(instance_id)
        if tracked is None or tracked.missing_since is not None:
            return False
        return tracked.entry.state is InstanceState.READY

    def accepts_work_as_primary(self, instance_id: str, now: float, drain_duration: float) -> bool:
        """Return whether a primary may be sent new work.

        A draining primary serves for `drain_duration` seconds, and accepts new work until
        `DRAIN_CUTOFF_MARGIN_S` before their end.
        """
        if instance_id not in self.instances:
            return False
        deadline = self.drain_deadline(instance_id, drain_duration)
        return deadline is None or now < deadline

    def drain_deadline(self, instance_id: str, drain_duration: float) -> float | None:
        """Return when new work for a draining primary stops, in seconds; None if not draining."""
        tracked = self.instances.get(instance_id)
        if tracked is None or tracked.draining_since is None:
            return None
        return tracked.draining_since + drain_duration - DRAIN_CUTOFF_MARGIN_S

    def _track(self, entry: InstanceEntry, now: float) -> TrackedInstance:
        """Return an entry as tracked; a draining instance stays so until it is born again.

        A ready entry of the same life is an older one, back after a restore of the store.
        """
        previous = self.instances.get(entry.id)
        is_same_life = previous is not None and previous.entry.born == entry.born
        draining_since = previous.draining_since if previous and is_same_life else None
        if entry.state is InstanceState.DRAINING:
            return TrackedInstance(
                entry, draining_since=now if draining_since is None else draining_since
            )
        if draining_since is None or not entry.born:
            return TrackedInstance(entry)
        return TrackedInstance(
            replace(entry, state=InstanceState.DRAINING), draining_since=draining_since
        )
