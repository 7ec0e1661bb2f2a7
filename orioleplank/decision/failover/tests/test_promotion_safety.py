"""Tests for the selection of instances that hold all acknowledged commits."""

from __future__ import annotations

import testtools

from orioleplank.decision import Position
from orioleplank.decision.failover import (
    InstanceReport,
    PromotionSafe,
    PromotionUnsafe,
    select_candidates,
)
from orioleplank.decision.group import SyncReplication
from orioleplank.decision.instances import DbRole

OLD_PRIMARY = "a"
REPLICAS = ("addr-b", "addr-c")


def _report(
    name: str, index: int, term: int = 1, draining: bool = False, role: DbRole = DbRole.REPLICA
) -> InstanceReport:
    position = Position(term, index)
    return InstanceReport(name, role, term, position, draining, address=f"addr-{name}")


class TestSelectCandidates(testtools.TestCase):
    # Description, confirmations, base, reports, expected result.
    CASES = (
        ("both replicas report", 1, 0, (_report("b", 7), _report("c", 5)), ("b",)),
        ("equal logs", 1, 0, (_report("b", 7), _report("c", 7)), ("c", "b")),
        ("draining has more", 1, 0, (_report("b", 7, draining=True), _report("c", 5)), ("b",)),
        ("draining is equal", 1, 0, (_report("b", 7, draining=True), _report("c", 7)), ("c", "b")),
        ("one is missing", 1, 0, (_report("c", 5),), None),
        ("one is missing, both confirm", 2, 0, (_report("c", 5),), ("c",)),
        ("no report", 2, 0, (), None),
        ("below the base", 1, 6, (_report("b", 5), _report("c", 5)), None),
        ("later term first", 1, 0, (_report("b", 9), _report("c", 4, term=2)), ("c",)),
        (
            "old primary shows that one has everything",
            1,
            0,
            (_report("a", 5, role=DbRole.PRIMARY), _report("c", 5)),
            ("c",),
        ),
        (
            "old primary shows that commits are missing",
            1,
            0,
            (_report("a", 6, role=DbRole.PRIMARY), _report("c", 5)),
            None,
        ),
        ("without confirmations", 0, 9, (_report("c", 5),), ("c",)),
    )

    def test_cases(self) -> None:
        for description, confirmations, base, reports, expected in self.CASES:
            with self.subTest(description):
                sync = SyncReplication(confirmations, REPLICAS, Position(1, base))
                safety = select_candidates(reports, OLD_PRIMARY, confirmations, sync, ())
                if expected is None:
                    self.assertIsInstance(safety, PromotionUnsafe)
                else:
                    self.assertEqual(PromotionSafe(expected), safety)

    def test_listed_replica_counts_before_it_is_recorded(self) -> None:
        reports = (_report("b", 5), _report("c", 5))
        safety = select_candidates(
            reports, OLD_PRIMARY, 1, SyncReplication(1, REPLICAS), ("addr-b", "addr-c", "addr-d")
        )
        self.assertEqual(PromotionUnsafe(("addr-d",), Position(1, 5)), safety)


class TestRequiredConfirmations(testtools.TestCase):
    # Recorded, configured, version of the configuration, expected; recorded at version 3.
    CASES = (
        (0, 0, 3, 0),
        (1, 1, 3, 1),
        (1, 2, 4, 1),
        (2, 1, 4, 1),
        (0, 1, 4, 1),
        (1, 0, 3, 1),
        (1, 0, 4, 0),
    )

    def test_cases(self) -> None:
        for recorded, configured, version, expected in self.CASES:
            with self.subTest(recorded=recorded, configured=configured, version=version):
                sync = SyncReplication(recorded, version=3)
                self.assertEqual(expected, sync.required_confirmations(configured, version))
