"""Reads while the primary is full or being replaced and replicas lag, on virtual time."""

from __future__ import annotations

from typing import Any

import testtools

from orioleplank.decision.session import Read, Write
from orioleplank.gateway import EventType
from orioleplank.tests._gateway_cluster import CATALOGUE, JOBS, GatewayCluster, GatewayNode
from orioleplank.tests._gateway_helpers import start_cluster


def _refused_requests(node: GatewayNode) -> list[dict[str, Any]]:
    """Return the fields of the events of a proxy about requests that were refused."""
    return [fields for event, fields in node.event_log.events if event is EventType.REQUEST]


def _fill_all(cluster: GatewayCluster) -> None:
    for member in cluster.group.members.values():
        member.is_full = True


class TestExplanation(testtools.TestCase):
    """The log says of a refused read why each instance did not serve it."""

    def test_refused_read_names_each_candidate_and_the_reason(self) -> None:
        cluster = start_cluster()
        node = cluster.proxies[0]
        caller = cluster.open_session(node, JOBS)
        cluster.send_and_wait(caller, Write("k oak"))
        _fill_all(cluster)
        self.assertIsNotNone(cluster.send_and_wait(caller, Read("k")).failure)
        candidates = _refused_requests(node)[-1]["candidates"]
        self.assertEqual(["db-a", "db-b", "db-c"], [c.partition(":")[0] for c in candidates])
        self.assertIn("busy", candidates[0])

    def test_read_without_a_primary_says_that_no_position_is_known(self) -> None:
        cluster = start_cluster()
        node = cluster.proxies[0]
        cluster.crash_instance("db-a")
        cluster.group.loses_promotions = True
        cluster.run_for(8.0)
        reply = cluster.send_and_wait(cluster.open_session(node, CATALOGUE), Read("k"))
        self.assertIsNotNone(reply.failure)
        candidates = _refused_requests(node)[-1]["candidates"]
        self.assertIn("db-b: no position is recent enough for a replica", candidates)

    def test_refused_write_has_no_candidates(self) -> None:
        cluster = start_cluster()
        node = cluster.proxies[0]
        _fill_all(cluster)
        cluster.send_and_wait(cluster.open_session(node, JOBS), Write("k oak"))
        self.assertEqual((), _refused_requests(node)[-1]["candidates"])
