"""Pages that have to keep step with the code."""

from pathlib import Path

from testtools import TestCase

from orioleplank.decision.quorum import Event, RefusalReason
from orioleplank.gateway import EventType

DOCS = Path(__file__).parents[2] / "docs"


class CatalogueTest(TestCase):
    def test_every_event_is_in_the_catalogue(self) -> None:
        text = (DOCS / "EVENTS.md").read_text(encoding="utf-8")
        for event in Event:
            with self.subTest(event.name):
                self.assertIn(f"| {event.value} | {event.name.lower()} |", text)

    def test_every_event_of_the_gateway_is_in_the_catalogue(self) -> None:
        text = (DOCS / "EVENTS.md").read_text(encoding="utf-8")
        for topic in EventType:
            with self.subTest(topic.name):
                self.assertIn(f"| {topic.value} | {topic.name.lower()} |", text)

    def test_every_reason_is_explained_to_operators(self) -> None:
        text = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        for reason in RefusalReason:
            with self.subTest(reason.name):
                self.assertIn(reason.value, text)
