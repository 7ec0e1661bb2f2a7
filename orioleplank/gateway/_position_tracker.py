"""Log positions of the primaries that this proxy has observed or learned from other proxies.

A position that a primary reported under a lease that was valid at time `t` contains every commit
acknowledged before `t` that no later promotion rolled back. It stays usable without a lease, and
after the next promotion; docs/design/reads-under-load.md says why.
"""

from __future__ import annotations

from collections.abc import Callable

from orioleplank.decision import Position
from orioleplank.decision.group import Lease, ObservedPosition, PositionHistory
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.decision.membership import PrimaryPosition

# Id and term of a primary: the positions of its log count as long as both are the same.
_Primary = tuple[str, int]


class PositionTracker:
    """The known positions by service, of the latest primary and of the one before it."""

    def __init__(
        self,
        find_lease: Callable[[str], Lease | None],
        now: Callable[[], float],
        mechanisms: MechanismSwitches = ALL_ON,
    ) -> None:
        self._find_lease = find_lease
        self._now = now
        self._mechanisms = mechanisms
        # When a read last required a position of a service, in seconds of the monotonic clock.
        self.required_at: dict[str, float] = {}
        self._histories: dict[str, tuple[_Primary, PositionHistory]] = {}
        # Positions of the primary of the term before the latest one.
        self._earlier_histories: dict[str, PositionHistory] = {}

    def copy(self) -> PositionTracker:
        """Return a tracker with the same positions, for look-ups that must not be recorded here."""
        copied = PositionTracker(self._find_lease, self._now, self._mechanisms)
        copied.required_at.update(self.required_at)
        copied._histories.update(self._histories)
        copied._earlier_histories.update(self._earlier_histories)
        return copied

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
        position = self._history(lease, service).lowest_position_since(cutoff) if lease else None
        if position is not None or not self._mechanisms.is_on(Mechanism.EARLIER_POSITIONS):
            return position
        return self._find_earlier(service, lease, cutoff)

    def _find_earlier(self, service: str, lease: Lease | None, cutoff: float) -> Position | None:
        """Return a position of the previous term, or of the latest one while there is no lease.

        Without a lease another promotion may be in progress, so the term before the latest one does
        not count: between it and the present term there may be two promotions.
        """
        if lease is not None:
            history = self._earlier_histories.get(service)
        else:
            history = self._latest_history(service)
        return history.lowest_position_since(cutoff) if history is not None else None

    def known_history(self, service: str, term: int) -> PositionHistory:
        """Return the known positions of a term, whether or not there is a lease.

        They say when the primary had which position. Empty for a term that is not known.
        """
        known = (self._latest_history(service), self._earlier_histories.get(service))
        matching = (history for history in known if history is not None and history.term == term)
        return next(matching, PositionHistory())

    def _latest_history(self, service: str) -> PositionHistory | None:
        known = self._histories.get(service)
        return known[1] if known is not None else None

    def _history(self, lease: Lease, service: str) -> PositionHistory:
        primary = (lease.primary, lease.term)
        known_primary, history = self._histories.get(service, (("", 0), PositionHistory()))
        if known_primary == primary:
            return history
        self._earlier_histories.pop(service, None)
        if _follows_directly(lease.term, known_primary[1]):
            self._earlier_histories[service] = history
        latest = PositionHistory()
        self._histories[service] = (primary, latest)
        return latest


def _follows_directly(term: int, earlier_term: int) -> bool:
    """Return whether one promotion began `term` after `earlier_term`; 0 is an unknown term."""
    return earlier_term > 0 and term == earlier_term + 1
