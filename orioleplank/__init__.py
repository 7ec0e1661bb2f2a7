"""A database proxy with session consistency.

The decision logic is in `orioleplank.decision`, the client library in `orioleplank.client`, the
daemon in `orioleplank.daemon` and the command line in `orioleplank.cli`.
"""

from orioleplank._exceptions import (
    ConflictError,
    MalformedObjectError,
    MalformedRequestError,
    MalformedTokenError,
    OrioleplankError,
    PlatformError,
    SettingsError,
    UnknownServiceNameError,
)

__all__ = [
    "ConflictError",
    "MalformedObjectError",
    "MalformedRequestError",
    "MalformedTokenError",
    "OrioleplankError",
    "PlatformError",
    "SettingsError",
    "UnknownServiceNameError",
]
