"""Checks that the documentation lists every event and refusal reason."""

from pathlib import Path

from testtools import TestCase

from orioleplank.decision.quorum import Event, RefusalReason
from orioleplank.gateway import EventType

DOCS = Path(__file__).parents[2] / "docs"


class DocumentationTest(TestCase):
    def test_every_decision_event_is_in_the_event_catalogue(self) -> None:
        text = (DOCS / "EVENTS.md").read_text(encoding="utf-8")
        for event in Event:
            with self.subTest(event.name):
                self.assertIn(f"| {event.value} | {event.name.lower()} |", text)

    def test_every_gateway_event_is_in_the_event_catalogue(self) -> None:
        text = (DOCS / "EVENTS.md").read_text(encoding="utf-8")
        for event_type in EventType:
            with self.subTest(event_type.name):
                self.assertIn(f"| {event_type.value} | {event_type.name.lower()} |", text)

    def test_every_refusal_reason_is_in_the_operations_page(self) -> None:
        text = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        for reason in RefusalReason:
            with self.subTest(reason.name):
                self.assertIn(reason.value, text)
