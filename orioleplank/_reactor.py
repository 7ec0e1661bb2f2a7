"""The reactor, found late so that the asyncio reactor can be installed first."""

from __future__ import annotations

from typing import Any


def find_reactor() -> Any:
    """Return the installed reactor."""
    from twisted.internet import reactor

    return reactor
