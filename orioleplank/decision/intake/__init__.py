"""Limits on what callers, peers and instances can make the process keep, and how they apply.

Addresses clients outside of the operator's control: many at once that send a lot, send or read
slowly, or stop half-way through a message.
"""

from orioleplank.decision.intake._connection_table import (
    Accepted,
    ConnectionTable,
    Refused,
    Replaces,
)
from orioleplank.decision.intake._held_bytes import HeldBytes
from orioleplank.decision.intake._limits import SMALLEST_DESCRIPTORS, CallerLimits, derive_limits
from orioleplank.decision.intake._session_limits import (
    SessionSize,
    find_excess,
    measure_session,
)

__all__ = [
    "SMALLEST_DESCRIPTORS",
    "Accepted",
    "CallerLimits",
    "ConnectionTable",
    "HeldBytes",
    "Refused",
    "Replaces",
    "SessionSize",
    "derive_limits",
    "find_excess",
    "measure_session",
]
