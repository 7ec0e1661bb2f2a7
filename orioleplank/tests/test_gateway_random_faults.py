"""Random faults on whole gateways; every answer is audited."""

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
from orioleplank.tests._random_faults import RandomFaultRun

SEEDS = range(20261204, 20261212)
# With fewer than two connections for each proxy.
OWNER_SEEDS = range(20261204, 20261208)


class TestStorm(testtools.TestCase):
    def test_no_rule_is_broken(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                audit = RandomFaultRun(seed).run()
                self.assertEqual([], audit.violations[:5])
                self.assertGreater(audit.answered, 300)

    def test_no_rule_is_broken_with_owners_of_connections(self) -> None:
        for seed in OWNER_SEEDS:
            with self.subTest(seed=seed):
                audit = RandomFaultRun(seed, proxies=7, callers=14, connection_limit=12).run()
                self.assertEqual([], audit.violations[:5])
                self.assertGreater(audit.answered, 300)


class TestChecksBite(testtools.TestCase):
    """With a mechanism switched off the audit finds what it is there for."""

    def test_without_preparation_values_of_sessions_mix(self) -> None:
        with mock.patch.object(_instance_executor, "plan_connection_setup", lambda *_: ()):
            self.assertNotEqual([], RandomFaultRun(20261204).run().violations)

    def test_without_positions_replicas_show_stale_data(self) -> None:
        with mock.patch.object(_statements.StatementExecutor, "_needed_position", _ask_for_nothing):
            self.assertNotEqual([], RandomFaultRun(20261204).run().violations)

    def test_without_doubt_a_refusal_is_not_true(self) -> None:
        with mock.patch.object(_statements, "_refuse_unanswered", _promise_falsely):
            self.assertNotEqual([], RandomFaultRun(20261205).run().violations)


def _ask_for_nothing(statements: object, request: Request) -> Position | None:
    return None if request.route.consistency is Consistency.PRIMARY else ZERO_POSITION


def _promise_falsely(error: Exception, pool: InstancePool, step: str) -> Outcome:
    return refuse(FailureCode.BUSY, step, "a false promise", pool.entry.id)
