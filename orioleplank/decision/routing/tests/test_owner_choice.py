"""Choices by the load reports of owners: of an instance for a read, and of one of two owners."""

from __future__ import annotations

from collections import Counter
from random import Random

import testtools

from orioleplank.decision import Position
from orioleplank.decision.membership import ProxyRecord
from orioleplank.decision.routing import (
    ForwardingPath,
    OwnerEstimate,
    ReadCandidate,
    ReadRequirement,
    SelectedInstance,
    choose_owner,
    place_read,
)

_REQUIREMENT = ReadRequirement(Position(3, 120))
_OWNERS = tuple(ProxyRecord(f"entry-{n}", "run", f"10.0.0.{n}:1", "a") for n in range(4))


def _candidate(name: str, estimate: OwnerEstimate, in_same_zone: bool = True) -> ReadCandidate:
    return ReadCandidate(name, in_same_zone, False, 5, 0, 0.03, owner_estimate=estimate)


def _place_many(candidates: list[ReadCandidate], count: int = 400) -> Counter[str]:
    random, chosen = Random(1), Counter[str]()
    for _ in range(count):
        placement = place_read(candidates, _REQUIREMENT, random)
        assert isinstance(placement, SelectedInstance)
        chosen[placement.id] += 1
    return chosen


class TestPlacementByLoadReports(testtools.TestCase):
    """Load: instances of one service that differ in speed, read by many proxies."""

    def test_instance_with_a_long_queue_at_its_owner_is_not_chosen(self) -> None:
        candidates = [
            _candidate("db-a", OwnerEstimate(0.3, 1.0)),
            _candidate("db-b", OwnerEstimate(0.03, 1.0)),
        ]
        self.assertEqual({"db-b"}, set(_place_many(candidates)))

    def test_old_report_counts_no_longer(self) -> None:
        candidates = [
            _candidate("db-a", OwnerEstimate(0.3, 0.001)),
            _candidate("db-b", OwnerEstimate()),
        ]
        self.assertGreater(_place_many(candidates)["db-a"], 100)

    def test_many_senders_with_the_same_report_do_not_all_move(self) -> None:
        """All at the best one would only move the queue there."""
        candidates = [
            _candidate("db-a", OwnerEstimate(0.033, 1.0)),
            _candidate("db-b", OwnerEstimate(0.03, 1.0)),
        ]
        chosen = _place_many(candidates)
        self.assertGreater(chosen["db-b"], chosen["db-a"])
        self.assertGreater(chosen["db-a"], 100)

    def test_without_a_report_the_best_instance_is_always_chosen(self) -> None:
        candidates = [_candidate("db-b", OwnerEstimate()), _candidate("db-a", OwnerEstimate())]
        self.assertEqual({"db-a"}, set(_place_many(candidates)))

    def test_zone_penalty_applies_beside_reports(self) -> None:
        """Traffic between zones costs money."""
        candidates = [
            _candidate("db-a", OwnerEstimate(0.02, 1.0), in_same_zone=False),
            _candidate("db-b", OwnerEstimate(0.03, 1.0)),
        ]
        self.assertEqual({"db-b"}, set(_place_many(candidates)))


class TestChoiceOfOwner(testtools.TestCase):
    """Load: statements of one account meet at the owner that the account prefers."""

    path = ForwardingPath(_OWNERS)

    def _choose_many(self, waits: dict[str, float], count: int = 400) -> Counter[str]:
        random = Random(1)
        chosen = (
            choose_owner(
                self.path, lambda _: False, lambda owner: waits.get(owner.name, 0.0), random
            )
            for _ in range(count)
        )
        return Counter(owner.name for owner in chosen if owner is not None)

    def test_small_difference_keeps_the_preferred_owner(self) -> None:
        """The connections of an account are there."""
        self.assertEqual({"entry-0"}, set(self._choose_many({"entry-0": 0.04})))

    def test_most_move_from_a_long_queue_but_not_all(self) -> None:
        chosen = self._choose_many({"entry-0": 0.3})
        self.assertEqual({"entry-0", "entry-1"}, set(chosen))
        self.assertGreater(chosen["entry-1"], 3 * chosen["entry-0"])

    def test_backup_owner_is_no_choice_while_both_owners_are_reachable(self) -> None:
        chosen = self._choose_many({"entry-0": 0.5, "entry-1": 0.5})
        self.assertEqual({"entry-0"}, set(chosen))

    def test_avoided_owner_is_not_chosen_whatever_its_queue(self) -> None:
        owner = choose_owner(
            self.path, lambda o: o.name == "entry-1", lambda o: float(o.name == "entry-0")
        )
        self.assertEqual(_OWNERS[0], owner)

    def test_backup_owner_is_used_when_both_owners_are_avoided(self) -> None:
        owner = choose_owner(self.path, lambda o: o in _OWNERS[:2])
        self.assertEqual(_OWNERS[2], owner)
