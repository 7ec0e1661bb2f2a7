"""Without its mechanisms a proxy may serve less, but breaks no promise."""

from __future__ import annotations

import testtools

from orioleplank import SettingsError
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches, parse_switches
from orioleplank.tests._random_faults import RandomFaultRun

SEED = 20261204


class TestSwitches(testtools.TestCase):
    def test_all_mechanisms_are_on_by_default(self) -> None:
        self.assertTrue(all(ALL_ON.is_on(mechanism) for mechanism in Mechanism))

    def test_named_mechanisms_are_switched_off(self) -> None:
        switches = parse_switches(["tunnels", "lag-backoff"])
        disabled = {mechanism for mechanism in Mechanism if not switches.is_on(mechanism)}
        self.assertEqual({Mechanism.TUNNELS, Mechanism.LAG_BACKOFF}, disabled)

    def test_unknown_name_is_refused(self) -> None:
        self.assertRaises(SettingsError, parse_switches, ["tunnels", "nope"])


class TestWithoutMechanisms(testtools.TestCase):
    def test_audit_finds_no_violation_with_all_switched_off(self) -> None:
        switches = MechanismSwitches(frozenset(Mechanism))
        audit = RandomFaultRun(SEED, connection_limit=12, mechanisms=switches).run()
        self.assertEqual([], audit.violations[:5])
        self.assertGreater(audit.answered, 100)
