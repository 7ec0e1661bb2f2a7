"""Tests of the signals of a running proxy."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools
from twisted.internet.defer import Deferred
from twisted.internet.error import ReactorNotRunning

from orioleplank.platform import _run


class _Reactor:
    """A reactor that runs calls at once and can be stopped once."""

    running = True

    def __init__(self) -> None:
        self.stop_count = 0

    def callFromThread(self, call: Callable[[], object]) -> None:  # noqa: N802
        """Run a call."""
        call()

    callWhenRunning = callFromThread  # noqa: N815

    def stop(self) -> None:
        """Count the calls; a second one fails, as that of Twisted's reactors."""
        self.stop_count += 1
        if self.stop_count > 1:
            raise ReactorNotRunning


class _Gateway:
    """A gateway whose shutdown ends when the test says so."""

    def __init__(self) -> None:
        self.is_stopping = False
        self.work_ended: Deferred[None] = Deferred()

    async def shut_down(self) -> None:
        """Wait for the end of the work."""
        self.is_stopping = True
        await self.work_ended


class TestStopSignals(testtools.TestCase):
    # Each of two signals stopped the reactor at the end, and the second stop failed.
    def test_repeated_signal_does_not_stop_the_process_twice(self) -> None:
        reactor, gateway, handlers = _Reactor(), _Gateway(), dict[int, Any]()
        with mock.patch.object(signal, "signal", handlers.__setitem__):
            _run._handle_signals(reactor, gateway, mock.Mock())  # type: ignore[arg-type]
        handlers[signal.SIGTERM]()
        handlers[signal.SIGTERM]()
        handlers[signal.SIGINT]()
        self.assertEqual(0, reactor.stop_count)
        gateway.work_ended.callback(None)
        self.assertEqual(1, reactor.stop_count)
