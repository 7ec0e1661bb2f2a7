"""Limits on statements at instances in whole gateways, on virtual time."""

from __future__ import annotations

import testtools

from orioleplank.decision.session import FailureCode, Write
from orioleplank.gateway import EventType
from orioleplank.tests._gateway_cluster import QUOTES, GatewayCluster, GatewayNode
from orioleplank.tests._gateway_helpers import failure_code, start_cluster

PRIMARY = "db-a"
SLOTS = 5


def _write_many(cluster: GatewayCluster, node: GatewayNode, count: int, seconds: float) -> int:
    """Send writes one after the other of some callers; return how many were answered BUSY."""
    busy = 0
    callers = [cluster.open_session(node, QUOTES) for _ in range(8)]
    end = cluster.simulator.now + seconds
    while cluster.simulator.now < end:
        for caller in callers[:count]:
            cluster.send_request(caller, Write("q1 oak"))
        cluster.run_for(0.1)
        busy += sum(
            failure_code(reply) is FailureCode.BUSY
            for caller in callers
            for reply in caller.replies
        )
    return busy


class TestLimitReports(testtools.TestCase):
    """An instance that answers BUSY for a while."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = start_cluster()
        self.node = self.cluster.proxies[0]

    def _limit_events(self) -> list[object]:
        return self.node.event_log.outcomes(EventType.STATEMENT_LIMIT)

    def _pool_limit(self) -> int | None:
        return self.node.gateway.cluster_state.pools[PRIMARY].statements.limit

    def test_low_limit_and_its_return_are_logged_once(self) -> None:
        member = self.cluster.group.members[PRIMARY]
        member.is_full = True
        _write_many(self.cluster, self.node, 4, 2.0)
        self.assertEqual(["low"], self._limit_events())
        member.is_full = False
        _write_many(self.cluster, self.node, 2, 40.0)
        self.assertEqual(["low", "restored"], self._limit_events())

    def test_gauges_show_limit_running_and_waiting(self) -> None:
        self.cluster.run_for(1.0)
        page = self.node.gateway.metrics.render().body.decode()
        labels = f'{{instance="{PRIMARY}",service="books"}}'
        self.assertIn(f"orioleplank_statement_limit{labels} {float(SLOTS)}", page)
        self.assertIn(f"orioleplank_statements_running{labels} 0.0", page)
        self.assertIn(f"orioleplank_statements_waiting{labels} 0.0", page)

    def test_new_incarnation_begins_at_its_slots(self) -> None:
        member = self.cluster.group.members[PRIMARY]
        member.is_full = True
        _write_many(self.cluster, self.node, 4, 2.0)
        self.assertLess(self._pool_limit() or 0, SLOTS)
        member.is_full = False
        self.cluster.crash_instance(PRIMARY)
        self.cluster.run_for(6.0)
        self.cluster.restart_instance(PRIMARY)
        self.cluster.run_for(2.0)
        self.assertEqual(SLOTS, self._pool_limit())
