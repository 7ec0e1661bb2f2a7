"""Measures how many requests of a queue complete per second."""

from __future__ import annotations

from dataclasses import dataclass, replace

# Completions are counted over windows of at least this length.
WINDOW_S = 0.2
# Weight of the newest window in the moving average.
SMOOTHING = 0.3
# A window longer than this resets the rate to unknown.
RATE_EXPIRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Throughput:
    """Completions per second, as a moving average over windows of `WINDOW_S`."""

    # Completions per second; 0 when unknown.
    rate: float = 0.0
    # Completions in the current window.
    completed: int = 0
    # Start of the current window, in seconds of the monotonic clock.
    window_started_at: float = 0.0

    def record_completion(self, now: float) -> Throughput:
        """Count one completion."""
        current = self.roll_window(now)
        return replace(current, completed=current.completed + 1)

    def roll_window(self, now: float) -> Throughput:
        """Start a new window if the current one is over.

        If it has lasted longer than `RATE_EXPIRY_S`, the rate is reset to unknown.
        """
        duration = now - self.window_started_at
        if duration > RATE_EXPIRY_S:
            return Throughput(0.0, 0, now)
        if duration < WINDOW_S:
            return self
        measured = self.completed / duration
        rate = self.rate + SMOOTHING * (measured - self.rate) if self.rate else measured
        return Throughput(rate, 0, now)

    def estimate_wait(self, queued: int) -> float:
        """Return the expected wait of the last of `queued` requests in seconds; 0 when unknown."""
        return queued / self.rate if self.rate else 0.0
