"""Notifies the work for a request that its caller has left."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager


class Cancellation:
    """Whether the caller of a session has left; it does not come back.

    Waits register a callback that ends them. Loops that would retry or send check `is_cancelled`.
    """

    def __init__(self) -> None:
        self.is_cancelled = False
        self._callbacks: list[Callable[[], None]] = []

    def cancel(self) -> None:
        """Record that the caller has left, and end all waits."""
        self.is_cancelled = True
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    @contextmanager
    def calling(self, callback: Callable[[], None]) -> Iterator[None]:
        """Call `callback` if the caller leaves within the context, or has left already."""
        remove = self.add_callback(callback)
        try:
            yield
        finally:
            remove()

    def add_callback(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Call `callback` when the caller leaves; return a function that revokes this."""
        if self.is_cancelled:
            callback()
            return _do_nothing
        self._callbacks.append(callback)

        def revoke() -> None:
            if callback in self._callbacks:
                self._callbacks.remove(callback)

        return revoke


def _do_nothing() -> None:
    pass


# For work that no caller waits for; it is never cancelled.
NO_CANCELLATION = Cancellation()
