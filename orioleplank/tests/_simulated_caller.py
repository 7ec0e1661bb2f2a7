"""The caller's end of a session at a simulated gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from orioleplank.decision.session import Failure, Reply


@dataclass(slots=True)
class SimulatedCaller:
    """One caller's end of a session; implements the gateway's `CallerLink`."""

    replies: list[Reply] = field(default_factory=list)
    refusal: Failure | None = None
    has_received_ready: bool = False
    is_closed: bool = False
    session: Any = None
    # Called with each reply.
    on_reply: Callable[[Reply], None] = lambda reply: None
    # Called once when the session ends.
    on_close: Callable[[], None] = lambda: None

    def send_ready(self) -> None:
        """Record that the session is open."""
        self.has_received_ready = True

    def reply(self, reply: Reply) -> None:
        """Record a reply."""
        self.replies.append(reply)
        self.on_reply(reply)

    def refuse(self, failure: Failure) -> None:
        """Record why the session was refused, and close it."""
        self.refusal = failure
        self.close()

    def resume_reading(self) -> None:
        """Do nothing: each request arrives on its own, so reading never stops."""

    def close(self) -> None:
        """Close the session and notify it, as a closed connection does."""
        if not self.is_closed:
            self.is_closed = True
            if self.session is not None:
                self.session.handle_disconnect()
            self.on_close()

    def disconnect(self) -> None:
        """Close the session because the proxy's process has ended."""
        if not self.is_closed:
            self.is_closed = True
            self.on_close()
