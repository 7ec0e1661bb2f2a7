"""Whole gateways on virtual time: sessions that keep too much."""

from __future__ import annotations

import testtools

from orioleplank.decision.session import (
    AccessMode,
    Begin,
    Commit,
    Execute,
    FailureCode,
    Prepare,
    PreparedStatement,
    Read,
    SetValue,
    Write,
)
from orioleplank.gateway import EventType
from orioleplank.tests._gateway_cluster import QUOTES
from orioleplank.tests._gateway_helpers import start_cluster

MIB = 1024 * 1024


class TestSessionLimits(testtools.TestCase):
    """Guards against sessions that keep values and names without end."""

    def test_value_over_the_limit_is_refused_and_the_session_goes_on(self) -> None:
        cluster = start_cluster()
        proxy = cluster.proxies[0]
        caller = cluster.open_session(proxy, QUOTES)
        for number in range(3):
            reply = cluster.send_and_wait(caller, SetValue(f"n{number}", "v" * MIB))
            self.assertIsNone(reply.failure)
        refused = cluster.send_and_wait(caller, SetValue("n3", "v" * MIB))
        assert refused.failure is not None
        self.assertEqual(FailureCode.TOO_LARGE, refused.failure.code)
        self.assertIn("program keep: a session keeps at most", refused.failure.detail)
        self.assertIn("nothing was kept", refused.failure.detail)
        self.assertEqual({("caller", "session"): 1}, dict(proxy.gateway.metrics.limits.counts))
        self.assertIn(EventType.LIMIT, [event for event, _ in proxy.event_log.events])
        self.assertIsNone(cluster.send_and_wait(caller, SetValue("n0", "v")).failure)
        self.assertIsNone(cluster.send_and_wait(caller, SetValue("n3", "v" * MIB)).failure)

    def test_session_with_ordinary_values_and_names_meets_no_limit(self) -> None:
        cluster = start_cluster()
        proxy = cluster.proxies[0]
        caller = cluster.open_session(proxy, QUOTES)
        for number in range(20):
            shape = PreparedStatement(AccessMode.READ, f"s{number}" * 50)
            cluster.send_and_wait(caller, SetValue(f"n{number}", "v" * 100))
            cluster.send_and_wait(caller, Prepare(f"p{number}", shape))
            reply = cluster.send_and_wait(caller, Execute(f"p{number}", "q1"))
            self.assertIsNone(reply.failure)
        self.assertIsNone(cluster.send_and_wait(caller, Begin(False)).failure)
        for number in range(12):
            self.assertIsNone(cluster.send_and_wait(caller, Write(f"q{number} oak")).failure)
        self.assertIsNone(cluster.send_and_wait(caller, Commit()).failure)
        self.assertEqual(("oak",), cluster.send_and_wait(caller, Read("q1")).rows)
        self.assertEqual({}, dict(proxy.gateway.metrics.limits.counts))
