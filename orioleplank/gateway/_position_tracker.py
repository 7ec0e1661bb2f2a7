"""Log positions of the primaries that this proxy has observed or learned from other proxies."""

from __future__ import annotations

from collections.abc import Callable

from orioleplank.decision import Position
from orioleplank.decision.group import Lease, ObservedPosition, PositionHistory
from orioleplank.decision.membership import PrimaryPosition

# Id and term of a primary: the positions of its log count as long as both are the same.
_Primary = tuple[str, int]


class PositionTracker:
    """The known positions by service; they are void once the service has another primary."""

    def __init__(self, find_lease: Callable[[str], Lease | None], now: Callable[[], float]) -> None:
        self._find_lease = find_lease
        self._now = now
        # When a read last required a position of a service, in seconds of the monotonic clock.
        self.required_at: dict[str, float] = {}
        self._histories: dict[str, tuple[_Primary, PositionHistory]] = {}

    def record(self, lease: Lease, service: str, requested_at: float, position: Position) -> None:
        """Add the position in a primary's response to a request sent at `requested_at`.

        `requested_at` is on the lease clock; the position is ignored unless the lease was valid
        then.
        """
        if lease.is_valid_at(requested_at):
            self._history(lease, service).add(requested_at, position)

    def record_from_peer(self, peer_position: PrimaryPosition, requested_at: float) -> None:
        """Add a position from another proxy, dated `requested_at` on the lease clock.

        It is ignored unless this proxy's lease has the same revision.
        """
        lease = self._find_lease(peer_position.service)
        if lease is not None and lease.revision == peer_position.revision:
            self.record(lease, peer_position.service, requested_at, peer_position.position)

    def newest(self, service: str) -> ObservedPosition | None:
        """Return the newest known position of the current primary; None when none is known."""
        lease = self._find_lease(service)
        return self._history(lease, service).newest if lease else None

    def find_minimum(self, service: str, cutoff: float) -> Position | None:
        """Return a position that includes every commit acknowledged before `cutoff`.

        `cutoff` is on the lease clock. None when no such position is known. The call also records
        that a position of the service was required, which lets this proxy ask its peers for one.
        """
        self.required_at[service] = self._now()
        lease = self._find_lease(service)
        return self._history(lease, service).lowest_position_since(cutoff) if lease else None

    def known_history(self, service: str) -> PositionHistory:
        """Return the known positions of a service's latest primary, whether or not it has a lease.

        They say when the primary had which position, which holds also after its lease has ended.
        """
        return self._histories.get(service, (("", 0), PositionHistory()))[1]

    def _history(self, lease: Lease, service: str) -> PositionHistory:
        primary = (lease.primary, lease.term)
        known_primary, history = self._histories.get(service, (("", 0), PositionHistory()))
        if known_primary != primary:
            history = PositionHistory()
            self._histories[service] = (primary, history)
        return history
