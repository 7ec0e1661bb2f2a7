"""How many requests of a lane end each second."""

from __future__ import annotations

from dataclasses import dataclass, replace

WINDOW_S = 0.2
SMOOTHING = 0.3
FORGET_S = 2.0


@dataclass(frozen=True, slots=True)
class Throughput:
    """Ends per second, smoothed over windows of a fifth of a second."""

    # Ends per second; 0 before any is known.
    rate: float = 0.0
    # Ends in the window that is open.
    ended: int = 0
    # When that window began, in seconds of the proxy's clock.
    window_started_at: float = 0.0

    def record_completion(self, now: float) -> Throughput:
        """Count one end."""
        opened = self.roll_window(now)
        return replace(opened, ended=opened.ended + 1)

    def roll_window(self, now: float) -> Throughput:
        """Close the window when it is over; after a long pause nothing is known any more."""
        length = now - self.window_started_at
        if length > FORGET_S:
            return Throughput(0.0, 0, now)
        if length < WINDOW_S:
            return self
        measured = self.ended / length
        rate = self.rate + SMOOTHING * (measured - self.rate) if self.rate else measured
        return Throughput(rate, 0, now)

    def estimate_wait(self, queued: int) -> float:
        """Return how long the last of `queued` requests waits, in seconds; 0 when not known."""
        return queued / self.rate if self.rate else 0.0
