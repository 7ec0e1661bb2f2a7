"""The reactor, found late so that the right one can be installed first."""

from __future__ import annotations

import time
from typing import Any


def get_reactor() -> Any:
    """Return the installed reactor."""
    from twisted.internet import reactor

    return reactor


def install_monotonic_reactor() -> None:
    """Install a reactor whose timers do not follow jumps of the time of day.

    To be called before anything imports `twisted.internet.reactor`.
    """
    from twisted.internet.epollreactor import EPollReactor
    from twisted.internet.main import installReactor

    class MonotonicReactor(EPollReactor):
        """A reactor on the monotonic clock."""

        def seconds(self) -> float:
            """Return a monotonic clock, in seconds."""
            return time.monotonic()

    installReactor(MonotonicReactor())
