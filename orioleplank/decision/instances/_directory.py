"""Instances that exist, by the platform's lagging word.

An entry that vanishes is kept for a moment, because entries lapse while the store is away and come
back after its return. Without contact to the store the last list stays as it is.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique

# How long a vanished entry is kept while the store is reached: lapsed entries are back by then.
MISSING_GRACE_S = 2.0
# The same for an instance that leads: its group is led by another one by then.
MISSING_PRIMARY_GRACE_S = 5.0
# After this long without its entry an instance that answers is taken for one that leaves.
MISSING_LEAVES_S = 2.2
# A draining primary is sent no more work this long before the end of the time for which it serves,
# in seconds: other proxies may have learned of it so much earlier.
DRAIN_CUTOFF_MARGIN_S = 3.0


@unique
class InstanceState(Enum):
    """What an instance says of itself."""

    READY = "ready"
    # It will end and takes no new work.
    DRAINING = "draining"


@unique
class DbRole(Enum):
    """How an instance sees itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True, slots=True)
class InstanceEntry:
    """One instance's entry."""

    # Its id.
    id: str
    # Name of its service.
    service: str
    # HOST:PORT.
    address: str
    # Its availability zone.
    zone: str
    # What it says of itself.
    state: InstanceState
    # How it sees itself.
    role: DbRole
    # Statements it runs at once.
    slots: int
    # When this life of it began, in milliseconds since the epoch; 0 when it is not told.
    born: int = 0


@dataclass(frozen=True, slots=True)
class TrackedInstance:
    """An entry, and since when it is missing."""

    # The entry as seen last.
    entry: InstanceEntry
    # When it was found missing, in seconds; None while it is there.
    missing_since: float | None = None
    # When it was first seen draining, in seconds; None while it is not.
    draining_since: float | None = None

    def is_leaving(self, now: float) -> bool:
        """Tell whether it will end, or has to be taken for one that does."""
        if self.draining_since is not None:
            return True
        return self.missing_since is not None and now - self.missing_since >= MISSING_LEAVES_S


@dataclass(frozen=True, slots=True)
class InstanceDirectory:
    """All instances that a proxy knows."""

    # Instances by id.
    instances: Mapping[str, TrackedInstance] = field(default_factory=dict)

    def apply_listing(self, entries: Iterable[InstanceEntry], now: float) -> InstanceDirectory:
        """Take a complete list."""
        listed = {entry.id: self._know(entry, now) for entry in entries}
        for name, known in self.instances.items():
            if name not in listed:
                since = now if known.missing_since is None else known.missing_since
                listed[name] = replace(known, missing_since=since)
        return InstanceDirectory(listed)

    def upsert(self, entry: InstanceEntry, now: float) -> InstanceDirectory:
        """Take one entry that was written."""
        return InstanceDirectory({**self.instances, entry.id: self._know(entry, now)})

    def mark_missing(self, name: str, now: float) -> InstanceDirectory:
        """Take the removal of one entry."""
        known = self.instances.get(name)
        if known is None or known.missing_since is not None:
            return self
        return InstanceDirectory({**self.instances, name: replace(known, missing_since=now)})

    def expire(
        self, now: float, store_reconnected_at: float, leading: frozenset[str] = frozenset()
    ) -> InstanceDirectory:
        """Drop what is missing for longer than its grace, all of it in contact with the store.

        `store_reconnected_at` is the last moment at which the store was heard after being away,
        `leading` names the primaries.
        """

        def is_kept(name: str, known: TrackedInstance) -> bool:
            if known.missing_since is None:
                return True
            grace = MISSING_PRIMARY_GRACE_S if name in leading else MISSING_GRACE_S
            return now - max(known.missing_since, store_reconnected_at) < grace

        kept = {name: known for name, known in self.instances.items() if is_kept(name, known)}
        return self if len(kept) == len(self.instances) else InstanceDirectory(kept)

    def entries_of_service(self, service: str) -> tuple[InstanceEntry, ...]:
        """Return the entries of a service, in the order of their ids."""
        names = sorted(self.instances)
        entries = (self.instances[name].entry for name in names)
        return tuple(entry for entry in entries if entry.service == service)

    def entry(self, name: str) -> InstanceEntry | None:
        """Return the entry under an id, or None."""
        known = self.instances.get(name)
        return known.entry if known else None

    def accepts_work(self, name: str) -> bool:
        """Tell whether an instance may be sent new work."""
        known = self.instances.get(name)
        if known is None or known.missing_since is not None:
            return False
        return known.entry.state is InstanceState.READY

    def accepts_work_as_primary(self, name: str, now: float, drain: float) -> bool:
        """Tell whether a primary may be sent new work.

        One that drains serves for `drain` seconds, and is sent work for the first part of them.
        """
        if name not in self.instances:
            return False
        until = self.drain_deadline(name, drain)
        return until is None or now < until

    def drain_deadline(self, name: str, drain: float) -> float | None:
        """Return until when a primary that drains may be sent work; None when it does not drain."""
        known = self.instances.get(name)
        if known is None or known.draining_since is None:
            return None
        return known.draining_since + drain - DRAIN_CUTOFF_MARGIN_S

    def _know(self, entry: InstanceEntry, now: float) -> TrackedInstance:
        if entry.state is not InstanceState.DRAINING:
            return TrackedInstance(entry)
        before = self.instances.get(entry.id)
        since = before.draining_since if before else None
        return TrackedInstance(entry, draining_since=now if since is None else since)
