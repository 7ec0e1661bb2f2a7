"""Judges whether work may wait for a connection.

The load it answers: work comes faster than connections come free, because the whole fleet has just
restarted, other instances are away, or callers rest inside transactions. Whoever would get its turn
too late is refused while there is time to be served elsewhere, and does not delay others.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# Share of the time left that may be spent waiting; the rest is for the work itself.
WAIT_SHARE = 0.5
# Weight of the newest use in the mean time for which a connection is kept.
HOLD_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """A queue for the connections to one instance."""

    # Waiters that are served before a new one.
    ahead: int
    # Connections that serve the queue.
    connections: int
    # Mean time for which a use keeps a connection, in seconds.
    hold: float

    @property
    def expected_wait(self) -> float:
        """Seconds until a new waiter has its turn."""
        return (self.ahead + 1) * self.hold / max(1, self.connections)


@dataclass(frozen=True, slots=True)
class Admitted:
    """It is likely to have its turn in time."""


@dataclass(frozen=True, slots=True)
class AdmissionRefused:
    """It would have its turn too late."""

    # Seconds after which the queue is expected to be short enough.
    retry_after: float


AdmissionDecision = Admitted | AdmissionRefused


def decide_admission(expected: float, left: float) -> AdmissionDecision:
    """Judge whether work that has `left` seconds may wait for the `expected` seconds."""
    longest = left * WAIT_SHARE
    if expected <= longest:
        return Admitted()
    return AdmissionRefused(expected - longest)


def find_expiring_waiters(left: Sequence[float], load: QueueLoad) -> tuple[int, ...]:
    """Return the places of waiters who will be out of time before their turn.

    `left` holds the seconds that each waiter has left, in the order in which they are served.
    Whoever is refused makes room for those behind.
    """
    too_late: list[int] = []
    ahead = 0
    for place, seconds in enumerate(left):
        if QueueLoad(ahead, load.connections, load.hold).expected_wait > seconds:
            too_late.append(place)
        else:
            ahead += 1
    return tuple(too_late)


def update_mean_hold_time(mean: float, held: float) -> float:
    """Return the mean time for which a connection is kept, after one was kept `held` seconds."""
    return mean + (held - mean) * HOLD_WEIGHT
