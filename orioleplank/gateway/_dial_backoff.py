"""Backoff of opening connections to an instance after failures."""

from __future__ import annotations

from collections.abc import Callable

# Delay before a connection is opened again after a failure, in seconds; doubled on each failure.
DIAL_BACKOFF_MIN_S = 0.05
DIAL_BACKOFF_MAX_S = 1.0
# Delay before a connection is opened again after the instance refused one, in seconds.
REFUSED_BACKOFF_S = 0.5


class DialBackoff:
    """Decides when a connection may be opened again after a failed attempt."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._retry_at = 0.0
        self._failures = 0

    @property
    def may_dial(self) -> bool:
        """True when the delay after the last failure is over."""
        return self._now() >= self._retry_at

    def reset(self) -> None:
        """Allow the next attempt at once, because one succeeded or the path has changed."""
        self._retry_at = 0.0
        self._failures = 0

    def record_refusal(self) -> None:
        """Delay the next attempt because the instance refused a connection."""
        self._retry_at = self._now() + REFUSED_BACKOFF_S

    def record_failure(self) -> None:
        """Delay the next attempt for longer after each failure."""
        backoff = DIAL_BACKOFF_MIN_S * 2**self._failures
        self._failures = min(self._failures + 1, 8)
        self._retry_at = self._now() + min(DIAL_BACKOFF_MAX_S, backoff)
