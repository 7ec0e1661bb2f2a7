"""Access to the Twisted reactor, imported lazily so that another one can be installed first."""

from __future__ import annotations

import time
from typing import Any


def get_reactor() -> Any:
    """Return the installed reactor."""
    from twisted.internet import reactor

    return reactor


def install_monotonic_reactor() -> None:
    """Install a reactor whose timers are unaffected by changes of the wall clock.

    Must be called before anything imports `twisted.internet.reactor`.
    """
    from twisted.internet.epollreactor import EPollReactor
    from twisted.internet.main import installReactor

    class MonotonicReactor(EPollReactor):
        """An epoll reactor that uses the monotonic clock."""

        def seconds(self) -> float:
            """Return the monotonic time in seconds."""
            return time.monotonic()

    installReactor(MonotonicReactor())
