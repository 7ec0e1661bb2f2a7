"""Which proxies coordinate an account, and when the bucket of a new coordinator starts to fill."""

from __future__ import annotations

from collections.abc import Iterable

import testtools

from orioleplank.decision.group import LEASE_DURATION_S
from orioleplank.decision.membership import Fleet, ProxyRecord, rank_proxies
from orioleplank.decision.quota import HANDOVER_DELAY_S, CoordinatorTable, select_coordinators
from orioleplank.decision.quota._coordinators import MAX_KEPT_CHANGES

ACCOUNT = "hot"
NAMES = tuple(f"p-{number}" for number in range(8))
# The proxies in the order in which they become coordinators.
RANKED = rank_proxies(f"permits {ACCOUNT}", NAMES)
FIRST, SECOND, THIRD, FOURTH = RANKED[:4]


def _fleet(
    names: Iterable[str], retired: Iterable[str] = (), stopping: Iterable[str] = ()
) -> Fleet:
    return Fleet(
        {
            name: ProxyRecord(
                name, f"{name}-1", "10.0.0.1:1", "a", name in retired, name in stopping
            )
            for name in names
        }
    )


def _table(name: str) -> CoordinatorTable:
    return CoordinatorTable(name, f"{name}-1")


class TestCoordinators(testtools.TestCase):
    def test_first_two_active_proxies_coordinate(self) -> None:
        table = _table(THIRD)
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        self.assertEqual((FIRST, SECOND), table.coordinators(ACCOUNT))

    def test_retired_and_stopping_proxies_are_replaced(self) -> None:
        table = _table(THIRD)
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        table.coordinators(ACCOUNT)
        table.apply_fleet(_fleet(NAMES, retired=[FIRST]), {f"{FIRST}-1": 1.0}, 1.0)
        self.assertEqual((SECOND, THIRD), table.coordinators(ACCOUNT))
        table.apply_fleet(_fleet(NAMES, stopping=[SECOND]), {}, 2.0)
        self.assertEqual((FIRST, THIRD), table.coordinators(ACCOUNT))

    def test_kept_coordinators_follow_each_change_as_computed_anew(self) -> None:
        table = _table("p-0")
        for step in range(40):
            names = [name for number, name in enumerate(NAMES) if (step * 7 + number * 3) % 5]
            table.apply_fleet(_fleet(names), {}, float(step))
            for account in ("hot", "calm", "other"):
                active = tuple(sorted(names))
                self.assertEqual(select_coordinators(account, active), table.coordinators(account))

    def test_fleet_of_one_proxy_has_one_coordinator(self) -> None:
        table = _table("p-0")
        self.assertEqual((), table.coordinators(ACCOUNT))
        table.apply_fleet(_fleet(["p-0"]), {}, 0.0)
        self.assertEqual(("p-0",), table.coordinators(ACCOUNT))
        self.assertEqual(HANDOVER_DELAY_S, table.fills_from(ACCOUNT))

    def test_record_of_an_earlier_process_does_not_count(self) -> None:
        """A restarted proxy grants nothing before its own registration."""
        table = CoordinatorTable(FIRST, f"{FIRST}-2")
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        self.assertIsNone(table.fills_from(ACCOUNT))


class TestStartOfFilling(testtools.TestCase):
    """A new coordinator does not know what others granted, or still grant."""

    def test_proxy_that_is_no_coordinator_has_no_bucket(self) -> None:
        table = _table(THIRD)
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        self.assertIsNone(table.fills_from(ACCOUNT))

    def test_new_process_waits_for_the_handover(self) -> None:
        table = _table(FIRST)
        table.apply_fleet(_fleet(NAMES), {}, 5.0)
        self.assertEqual(5.0 + HANDOVER_DELAY_S, table.fills_from(ACCOUNT))

    def test_time_without_requests_counts(self) -> None:
        """The account is first asked for long after the change that gave it to this proxy."""
        table = _table(THIRD)
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        table.apply_fleet(_fleet(set(NAMES) - {FIRST}), {}, 10.0)
        table.apply_fleet(_fleet(set(NAMES) - {FIRST, RANKED[7]}), {}, 20.0)
        self.assertEqual(10.0 + HANDOVER_DELAY_S, table.fills_from(ACCOUNT))

    def test_unrelated_changes_do_not_move_it(self) -> None:
        table = _table(FIRST)
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        self.assertEqual(HANDOVER_DELAY_S, table.fills_from(ACCOUNT))
        for step in range(3 * MAX_KEPT_CHANGES):
            names = set(NAMES) - ({SECOND, RANKED[7]} if step % 2 else set())
            table.apply_fleet(_fleet(names), {}, 1.0 + step)
            self.assertEqual(HANDOVER_DELAY_S, table.fills_from(ACCOUNT))

    def test_interrupted_task_starts_again(self) -> None:
        """A proxy that was replaced meanwhile does not know what the other one granted."""
        table = _table(SECOND)
        table.apply_fleet(_fleet(set(NAMES) - {FIRST}), {}, 0.0)
        table.fills_from(ACCOUNT)
        table.apply_fleet(_fleet(set(NAMES) - {SECOND}), {}, 10.0)
        self.assertIsNone(table.fills_from(ACCOUNT))
        table.apply_fleet(_fleet(NAMES), {}, 11.0)
        self.assertEqual(11.0 + HANDOVER_DELAY_S, table.fills_from(ACCOUNT))

    def test_replacement_of_a_retired_coordinator_waits_for_its_lease(self) -> None:
        table = _table(THIRD)
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        table.apply_fleet(_fleet(NAMES, retired=[FIRST]), {f"{FIRST}-1": 20.0}, 20.0)
        self.assertEqual(20.0 + LEASE_DURATION_S, table.fills_from(ACCOUNT))

    def test_coordinator_beside_a_retired_one_does_not_wait(self) -> None:
        table = _table(SECOND)
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        table.apply_fleet(_fleet(NAMES, retired=[FIRST]), {f"{FIRST}-1": 20.0}, 20.0)
        self.assertEqual(HANDOVER_DELAY_S, table.fills_from(ACCOUNT))

    def test_newcomer_beside_a_retired_coordinator_waits(self) -> None:
        """It takes the place of the replacement, which still waits for the retired one."""
        table = _table(FIRST)
        earlier = {f"{SECOND}-1": 18.0}
        table.apply_fleet(_fleet(set(NAMES) - {FIRST}, retired=[SECOND]), earlier, 18.0)
        table.apply_fleet(_fleet(NAMES, retired=[SECOND]), earlier, 20.0)
        self.assertEqual(18.0 + LEASE_DURATION_S, table.fills_from(ACCOUNT))

    def test_retired_proxy_of_other_accounts_does_not_delay(self) -> None:
        table = _table(THIRD)
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        left = set(NAMES) - {FIRST}
        last = RANKED[7]
        table.apply_fleet(_fleet(left, retired=[last]), {f"{last}-1": 20.0}, 20.0)
        self.assertEqual(20.0 + HANDOVER_DELAY_S, table.fills_from(ACCOUNT))

    def test_both_coordinators_retired(self) -> None:
        table = _table(FOURTH)
        table.apply_fleet(_fleet(NAMES), {}, 0.0)
        retired_at = {f"{FIRST}-1": 20.0, f"{SECOND}-1": 23.0}
        table.apply_fleet(_fleet(NAMES, retired=[FIRST]), retired_at, 20.0)
        table.apply_fleet(_fleet(NAMES, retired=[FIRST, SECOND]), retired_at, 23.0)
        self.assertEqual(23.0 + LEASE_DURATION_S, table.fills_from(ACCOUNT))
