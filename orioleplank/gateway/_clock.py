"""The clock of leases."""

from __future__ import annotations

import time


def seconds_since_boot() -> float:
    """Return seconds since the VM started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
