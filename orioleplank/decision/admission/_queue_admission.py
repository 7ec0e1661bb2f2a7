"""Admission control for the queue for connections to an instance.

Requests can arrive faster than connections become free: when the whole fleet has just restarted,
when other instances are unreachable, or when callers stay idle inside transactions. A request that
would get a connection too late is refused early, while another instance can still serve it in
time, so that it does not delay the requests behind it.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

# Fraction of the remaining time that may be spent in the queue; the rest is for the statement.
MAX_WAIT_FRACTION = 0.5
# Weight of the newest sample in the moving average of the time for which a connection is in use.
HOLD_TIME_SMOOTHING_FACTOR = 0.1


class QueueLoad(Struct, frozen=True):
    """State of the queue for connections to one instance."""

    # Number of waiters that are served before a new one.
    waiters_ahead: int
    # Number of connections that serve the queue.
    connections: int
    # Mean time for which one use occupies a connection, in seconds.
    mean_hold_time: float

    @property
    def expected_wait(self) -> float:
        """Expected time until a new waiter gets a connection, in seconds."""
        return (self.waiters_ahead + 1) * self.mean_hold_time / max(1, self.connections)


class Admitted(Struct, frozen=True):
    """The request is expected to get a connection in time."""


class AdmissionRefused(Struct, frozen=True):
    """The request would get a connection too late."""

    # Seconds after which the queue is expected to be short enough.
    retry_after: float


AdmissionDecision = Admitted | AdmissionRefused


def decide_admission(expected_wait: float, time_left: float) -> AdmissionDecision:
    """Decide whether a request may wait in the queue.

    `expected_wait` is the expected time in the queue and `time_left` the time until the deadline
    of the request, both in seconds.
    """
    max_wait = time_left * MAX_WAIT_FRACTION
    if expected_wait <= max_wait:
        return Admitted()
    return AdmissionRefused(expected_wait - max_wait)


def find_expiring_waiters(time_left: Sequence[float], load: QueueLoad) -> tuple[int, ...]:
    """Return the queue indexes of the waiters that are expected to time out before being served.

    `time_left` holds the time until each waiter's deadline in seconds, in the order of service.
    A waiter that expires does not count towards the expected wait of those behind it.
    """
    expiring: list[int] = []
    ahead = 0
    for index, seconds in enumerate(time_left):
        if QueueLoad(ahead, load.connections, load.mean_hold_time).expected_wait > seconds:
            expiring.append(index)
        else:
            ahead += 1
    return tuple(expiring)


def update_mean_hold_time(mean: float, hold_time: float) -> float:
    """Return the moving average of the time that a connection is in use, after a new sample.

    `hold_time` is the time for which one use occupied a connection, in seconds.
    """
    return mean + (hold_time - mean) * HOLD_TIME_SMOOTHING_FACTOR
