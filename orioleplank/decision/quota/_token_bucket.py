"""A token bucket: permits accumulate at a fixed rate up to a capacity.

Load pattern: an account whose callers send in bursts. The bucket grants a burst at once and limits
the long-term rate. All times are in seconds of the lease clock.
"""

from __future__ import annotations

from math import floor, inf

from msgspec import Struct
from msgspec.structs import replace

# Added to a level before it is rounded down: repeated additions otherwise end just below a whole
# permit, and the wait for the next one would be shorter than the clock's resolution.
ROUNDING_TOLERANCE = 1e-9


class TokenBucket(Struct, frozen=True):
    """The state of a token bucket."""

    # Permits per second.
    rate: float
    # Largest number of permits that it holds.
    capacity: float
    # Permits that it held at `updated_at`.
    level: float
    # When the level was computed; a time in the future means that it starts to fill then.
    updated_at: float

    def advance(self, now: float) -> TokenBucket:
        """Return the bucket as of `now`; a time before `updated_at` changes nothing."""
        if now <= self.updated_at:
            return self
        level = min(self.capacity, self.level + (now - self.updated_at) * self.rate)
        return replace(self, level=level, updated_at=now)

    def change_limit(self, rate: float, capacity: float, now: float) -> TokenBucket:
        """Return the bucket with another rate and capacity from `now` on.

        Permits above the new capacity are lost; a higher capacity has to be filled.
        """
        if (rate, capacity) == (self.rate, self.capacity):
            return self
        current = self.advance(now)
        level = min(current.level, capacity)
        return TokenBucket(rate, capacity, level, current.updated_at)

    def take(self, count: int, now: float) -> tuple[TokenBucket, int]:
        """Take up to `count` permits; return the bucket after it, and how many it had."""
        current = self.advance(now)
        taken = max(0, min(count, floor(current.level + ROUNDING_TOLERANCE)))
        return replace(current, level=max(0.0, current.level - taken)), taken

    def next_permit_in(self, now: float) -> float:
        """Return the seconds until it holds a whole permit; infinite if it never does."""
        current = self.advance(now)
        missing = 1.0 - current.level
        if missing <= ROUNDING_TOLERANCE:
            return max(0.0, current.updated_at - now)
        if current.rate <= 0 or current.capacity < 1:
            return inf
        return max(0.0, current.updated_at - now) + missing / current.rate

    def is_full(self, now: float) -> bool:
        """Return whether no more permits accumulate."""
        return self.advance(now).level >= self.capacity
