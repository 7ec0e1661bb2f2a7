"""A service: a task that owns its sockets and state and takes typed messages."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, succeed

if TYPE_CHECKING:
    from orioleplank.kernel._kernel import Kernel


class Service:
    """Base of all services.

    Messages told to it are received one at a time, in order, never inside `post`.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.kernel: Kernel
        self._mailbox: deque[object] = deque()
        self._scheduled = False
        self._is_accepting = True

    def post(self, message: object) -> None:
        """Put a message into the mailbox; it is dropped once the service has stopped."""
        if not self._is_accepting:
            return
        self._mailbox.append(message)
        if not self._scheduled:
            self._scheduled = True
            self.kernel.call_soon(self._deliver)

    def start(self) -> None:
        """Begin to work; the kernel is set and all services are registered."""

    def stop(self) -> Deferred[None]:
        """Close sockets; the result fires when they are closed."""
        return succeed(None)

    def receive(self, message: object) -> None:
        """Take one message."""
        raise NotImplementedError

    def close_mailbox(self) -> None:
        """Take no more messages."""
        self._is_accepting = False
        self._mailbox.clear()

    def _deliver(self) -> None:
        self._scheduled = False
        waiting = len(self._mailbox)
        for _ in range(waiting):
            if self._mailbox:
                self.kernel.dispatch(self, self._mailbox.popleft())
        if self._mailbox and not self._scheduled:
            self._scheduled = True
            self.kernel.call_soon(self._deliver)
