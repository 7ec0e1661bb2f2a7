"""How a call over HTTP fails when the other side gives no answer."""

from __future__ import annotations

from twisted.internet.defer import CancelledError
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionDone,
    ConnectionLost,
)
from twisted.web.client import ResponseFailed, ResponseNeverReceived

# Errors of a call that was not answered: refused, broken off, or out of time.
UNANSWERED = (
    CancelledError,
    ConnectError,
    ConnectingCancelledError,
    ConnectionDone,
    ConnectionLost,
    DeferredTimeoutError,
    ResponseFailed,
    ResponseNeverReceived,
)
