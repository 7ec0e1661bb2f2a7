"""The lease clock: the time base of all leases, which also runs while the VM is suspended."""

from __future__ import annotations

import time


def seconds_since_boot() -> float:
    """Return the seconds since the VM booted, time while it was suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
