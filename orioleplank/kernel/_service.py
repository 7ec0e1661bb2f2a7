"""Base class of services, which own their sockets and state and handle messages one by one."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, succeed

if TYPE_CHECKING:
    from orioleplank.kernel._kernel import Kernel


class Service:
    """Base class of all services.

    Posted messages are handled one at a time and in order, but never during the call of `post`.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.kernel: Kernel
        self._mailbox: deque[object] = deque()
        self._scheduled = False
        self._is_accepting = True

    def post(self, message: object) -> None:
        """Add a message to the mailbox; it is dropped if the service has stopped."""
        if not self._is_accepting:
            return
        self._mailbox.append(message)
        if not self._scheduled:
            self._scheduled = True
            self.kernel.call_soon(self._deliver)

    def start(self) -> None:
        """Start working; called after all services are registered with the kernel."""

    def stop(self) -> Deferred[None]:
        """Close sockets; the returned `Deferred` fires when they are closed."""
        return succeed(None)

    def receive(self, message: object) -> None:
        """Handle one message."""
        raise NotImplementedError

    def close_mailbox(self) -> None:
        """Discard pending messages and ignore further ones."""
        self._is_accepting = False
        self._mailbox.clear()

    def _deliver(self) -> None:
        self._scheduled = False
        pending_count = len(self._mailbox)
        for _ in range(pending_count):
            if self._mailbox:
                self.kernel.dispatch(self, self._mailbox.popleft())
        if self._mailbox and not self._scheduled:
            self._scheduled = True
            self.kernel.call_soon(self._deliver)
