"""Tracks versions of the configuration from when this proxy first hears of them."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

# Versions that are tracked at most; of more, the newest ones are dropped.
MAX_TRACKED_VERSIONS = 64


class Announcement(Struct, frozen=True):
    """The first time that another proxy named a version that is not in force here."""

    version: int
    # Name of that proxy.
    peer: str
    # In seconds of the monotonic clock.
    heard_at: float


class RouteProgress:
    """Versions that this proxy has heard of and that are not in force yet.

    A proxy that reads a version from the store itself has not heard of it before.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        # By version.
        self._announcements: dict[int, Announcement] = {}

    def announce(self, version: int, peer: str) -> None:
        """Record that a proxy has a version that is newer than the one in force here."""
        if version not in self._announcements and len(self._announcements) < MAX_TRACKED_VERSIONS:
            self._announcements[version] = Announcement(version, peer, self._now())

    def complete(self, version: int) -> Announcement | None:
        """Record that a version is in force; return its announcement, or that of an older one.

        The result is the first announcement of a version up to this one; None if there was none.
        """
        announced = [found for found in self._announcements.values() if found.version <= version]
        for found in announced:
            del self._announcements[found.version]
        return min(announced, key=lambda found: found.heard_at, default=None)

    @property
    def first_pending(self) -> Announcement | None:
        """The first announcement of a version that is not in force; None if there is none."""
        return min(self._announcements.values(), key=lambda found: found.heard_at, default=None)

    @property
    def newest_version(self) -> int:
        """The newest version that is not in force; 0 if there is none."""
        return max(self._announcements, default=0)
