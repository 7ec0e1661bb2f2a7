"""Random faults on whole gateways, with an audit of every reply."""

from __future__ import annotations

from unittest import mock

import testtools

from orioleplank.decision import ZERO_POSITION, Position
from orioleplank.decision.instances import Consistency
from orioleplank.decision.session import FailureCode
from orioleplank.gateway import _instance_executor, _statements
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._outcome import Outcome, refuse
from orioleplank.gateway._pool import InstancePool
from orioleplank.tests._account_faults import AccountFaultRun
from orioleplank.tests._random_faults import RandomFaultRun

SEEDS = range(20261204, 20261212)
# Runs with fewer than two connections per proxy, so that connection owners forward statements.
OWNER_SEEDS = range(20261204, 20261208)
# Runs in which the store also comes back from older copies.
RESTORE_SEEDS = range(20261204, 20261212)
# Runs in which proxies are also shut down, with more callers, so that some are always served.
STOP_SEEDS = range(20261205, 20261208)
STOP_CALLERS = 40
# Runs in which one replica confirms each commit.
SYNC_SEEDS = (20261205, 20261207, 20261210, 20261211, 20261212)
# Runs in which primaries and coordinators are back before a promotion takes effect.
FAST_RESTART_SEEDS = range(20261205, 20261209)
# Runs with accounts and callers that leave, with more callers, so that they compete.
ACCOUNT_SEEDS = range(20261204, 20261207)
ACCOUNT_CALLERS = 30


class TestRandomFaults(testtools.TestCase):
    def test_audit_finds_no_violation(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                audit = RandomFaultRun(seed).run()
                self.assertEqual([], audit.violations[:5])
                self.assertGreater(audit.answered, 300)

    def test_audit_finds_no_violation_with_connection_owners(self) -> None:
        for seed in OWNER_SEEDS:
            with self.subTest(seed=seed):
                audit = RandomFaultRun(seed, proxies=7, callers=14, connection_limit=12).run()
                self.assertEqual([], audit.violations[:5])
                self.assertGreater(audit.answered, 300)

    def test_audit_finds_no_violation_with_restores_of_the_store(self) -> None:
        for seed in RESTORE_SEEDS:
            with self.subTest(seed=seed):
                audit = RandomFaultRun(seed, with_restores=True).run()
                self.assertEqual([], audit.violations[:5])
                self.assertGreater(audit.answered, 300)

    def test_audit_finds_no_violation_with_shutdowns(self) -> None:
        for seed in STOP_SEEDS:
            with self.subTest(seed=seed):
                audit = RandomFaultRun(seed, callers=STOP_CALLERS, with_stops=True).run()
                self.assertEqual([], audit.violations[:5])
                self.assertGreater(audit.answered, 300)

    def test_audit_finds_no_violation_with_synchronous_replication(self) -> None:
        for seed in SYNC_SEEDS:
            with self.subTest(seed=seed):
                audit = RandomFaultRun(seed, sync_replicas=1).run()
                self.assertEqual([], audit.violations[:5])
                self.assertGreater(audit.answered, 300)

    def test_audit_finds_no_violation_with_fast_restarts(self) -> None:
        for seed in FAST_RESTART_SEEDS:
            with self.subTest(seed=seed):
                audit = RandomFaultRun(seed, with_fast_restarts=True).run()
                self.assertEqual([], audit.violations[:5])
                self.assertGreater(audit.answered, 300)

    def test_audit_finds_no_violation_with_accounts_and_leaving_callers(self) -> None:
        for seed in ACCOUNT_SEEDS:
            for proxies, connections in ((4, 18), (7, 12)):
                with self.subTest(seed=seed, proxies=proxies):
                    run = AccountFaultRun(seed, proxies, ACCOUNT_CALLERS, connections)
                    audit = run.run()
                    self.assertGreater(run.dropped, 10)
                    self.assertEqual([], audit.violations[:5])
                    self.assertGreater(audit.answered, 300)


class TestAuditFindsViolations(testtools.TestCase):
    """With a mechanism disabled, the audit must find violations.

    They are mixed session values without connection setup, stale reads at replicas without minimum
    positions, and refusals of requests that ran if unanswered requests are refused as busy.
    """

    def test_audit_finds_violations_without_connection_setup(self) -> None:
        with mock.patch.object(_instance_executor, "plan_connection_setup", lambda *_: ()):
            self.assertNotEqual([], RandomFaultRun(20261204).run().violations)

    def test_audit_finds_violations_without_minimum_positions(self) -> None:
        with mock.patch.object(
            _statements.StatementExecutor, "_needed_position", _require_no_position
        ):
            self.assertNotEqual([], RandomFaultRun(20261204).run().violations)

    def test_audit_finds_violations_if_unanswered_requests_are_refused_as_busy(self) -> None:
        with mock.patch.object(_statements, "_refuse_unanswered", _refuse_as_busy):
            self.assertNotEqual([], RandomFaultRun(20261205).run().violations)


def _require_no_position(statements: object, request: Request) -> Position | None:
    return None if request.route.consistency is Consistency.PRIMARY else ZERO_POSITION


def _refuse_as_busy(error: Exception, pool: InstancePool, step: str) -> Outcome:
    return refuse(FailureCode.BUSY, step, "a false promise", pool.entry.id)
