"""Event log of a simulated gateway, kept in memory."""

from __future__ import annotations

from typing import Any

from orioleplank.gateway import EventType


class MemoryEventLog:
    """Stores in memory the events that a gateway logs; replaces its event log."""

    def __init__(self) -> None:
        self.events: list[tuple[EventType, dict[str, Any]]] = []

    def log_event(self, event_type: EventType, **fields: object) -> None:
        """Keep an event with its fields."""
        self.events.append((event_type, fields))

    def log_request(self, **fields: object) -> None:
        """Keep a request event with its fields."""
        self.log_event(EventType.REQUEST, **fields)

    def log_limit(self, **fields: object) -> None:
        """Keep an event about a met limit."""
        self.log_event(EventType.LIMIT, **fields)

    def outcomes(self, event_type: EventType) -> list[Any]:
        """Return the outcomes of the events of a type, None for those without one."""
        return [
            fields.get("outcome")
            for logged_type, fields in self.events
            if logged_type is event_type
        ]
