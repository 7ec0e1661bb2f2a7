"""Stand-ins for the external systems: a replicated database instance and the platform."""

from orioleplank.standin._instance import Entry, Instance, StatementResult
from orioleplank.standin._platform import PlatformState, run_platform
from orioleplank.standin._upstream import UpstreamOptions, run_upstream

__all__ = [
    "Entry",
    "Instance",
    "PlatformState",
    "StatementResult",
    "UpstreamOptions",
    "run_platform",
    "run_upstream",
]
