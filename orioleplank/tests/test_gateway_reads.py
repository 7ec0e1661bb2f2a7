"""Reads while the primary is full or being replaced and replicas lag, on virtual time."""

from __future__ import annotations

from typing import Any
from unittest import mock

import testtools

from orioleplank.decision import Position
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.decision.session import Begin, Commit, FailureCode, Read, Reply, Write
from orioleplank.gateway import EventType
from orioleplank.gateway._instance_executor import Request
from orioleplank.gateway._instance_health import LAG_BACKOFF_MAX_S
from orioleplank.gateway._outcome import Refused, refuse
from orioleplank.tests._gateway_cluster import CATALOGUE, JOBS, QUOTES, GatewayCluster, GatewayNode
from orioleplank.tests._gateway_helpers import START_S, start_cluster
from orioleplank.tests._read_load import ReadLoad, ReadRecord, refused, served, worst_time
from orioleplank.tests._simulated_instances import SERVICE
from orioleplank.tests._simulated_links import SimulatedLink

REPLICAS = ("db-b", "db-c")
# Statement timeout of the routes, in seconds.
ROUTE_TIMEOUT_S = 1.0


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


def _start_load(
    replica_lag: float,
    mechanisms: MechanismSwitches = ALL_ON,
    proxies: int = 3,
    connections: int = 30,
) -> tuple[GatewayCluster, ReadLoad]:
    """Return a cluster under load whose replicas have lagged for longer than reads accept."""
    cluster = GatewayCluster(1, proxies, connections, mechanisms)
    cluster.run_for(START_S)
    for name in REPLICAS:
        cluster.group.members[name].lag = replica_lag
    load = ReadLoad(cluster)
    load.start()
    cluster.run_for(6.0)
    return cluster, load


def _run_reads(cluster: GatewayCluster, load: ReadLoad, seconds: float) -> list[ReadRecord]:
    """Return the reads sent in the next `seconds`, once they have been answered."""
    start = cluster.simulator.now
    cluster.run_for(seconds + ROUTE_TIMEOUT_S + 0.1)
    return load.sent_between(start, start + seconds)


def _refuse_reads(cluster: GatewayCluster) -> None:
    cluster.group.members["db-a"].refuses_reads_for = 0.1


class TestFullPrimary(testtools.TestCase):
    """The primary refuses reads since too many wait there, and both replicas are 2.9 s behind.

    The route allows 2.5 s. Without the prediction, reads are refused with a time to retry although
    both replicas would have their position in 0.4 s.
    """

    def test_reads_wait_for_a_replica(self) -> None:
        cluster, load = _start_load(2.9)
        _refuse_reads(cluster)
        reads = _run_reads(cluster, load, 4.0)
        self.assertGreater(len(served(reads)), 0.99 * len(reads))
        self.assertLess(worst_time(served(reads)), 0.8)

    def test_reads_are_refused_with_the_prediction_switched_off(self) -> None:
        switches = MechanismSwitches(frozenset({Mechanism.LAG_PREDICTION}))
        cluster, load = _start_load(2.9, switches)
        _refuse_reads(cluster)
        reads = _run_reads(cluster, load, 4.0)
        self.assertGreater(len(refused(reads)), 0.5 * len(reads))

    def test_replicas_that_recover_serve_at_once(self) -> None:
        cluster, load = _start_load(2.9)
        _refuse_reads(cluster)
        cluster.run_for(2.0)
        for name in REPLICAS:
            cluster.group.members[name].lag = 0.003
            cluster.group.catch_up(name)
        cluster.run_for(1.0)
        reads = _run_reads(cluster, load, 2.0)
        self.assertEqual(len(reads), len(served(reads)))
        self.assertLess(worst_time(reads), 0.15)

    def test_replicas_that_recover_from_a_long_lag_are_asked(self) -> None:
        """Nothing else would show that they have caught up before their newest report is stale."""
        cluster, load = _start_load(4.5)
        _refuse_reads(cluster)
        cluster.run_for(0.5)
        for name in REPLICAS:
            cluster.group.members[name].lag = 0.003
            cluster.group.catch_up(name)
        cluster.run_for(LAG_BACKOFF_MAX_S)
        reads = _run_reads(cluster, load, 1.0)
        self.assertEqual(len(reads), len(served(reads)))

    def test_replica_that_receives_nothing_is_not_waited_for(self) -> None:
        cluster, load = _start_load(2.9)
        cluster.group.members["db-b"].drops_entries = True
        cluster.run_for(3.0)
        _refuse_reads(cluster)
        reads = _run_reads(cluster, load, 3.0)
        self.assertGreater(len(served(reads)), 0.98 * len(reads))
        self.assertLess(worst_time(served(reads)), 0.8)

    def test_reads_are_refused_promptly_if_no_replica_receives_anything(self) -> None:
        cluster, load = _start_load(0.003)
        for name in REPLICAS:
            cluster.group.members[name].drops_entries = True
        cluster.run_for(3.5)
        _refuse_reads(cluster)
        reads = _run_reads(cluster, load, 2.0)
        self.assertEqual([], served(reads))
        times = sorted(read.elapsed for read in reads)
        self.assertLess(times[len(times) // 2], 0.1)

    def test_reads_are_refused_at_once_if_replicas_come_too_late(self) -> None:
        cluster, load = _start_load(4.5)
        cluster.run_for(1.0)
        _refuse_reads(cluster)
        reads = _run_reads(cluster, load, 2.0)
        self.assertEqual([], served(reads))
        self.assertLess(worst_time(reads), 0.3)
        for read in reads:
            assert read.reply is not None and read.reply.failure is not None
            self.assertIn("retry after", read.reply.failure.detail)

    def test_replica_that_denies_a_position_that_it_reports_is_not_asked_at_once(self) -> None:
        """The read would otherwise be repeated as fast as the replica answers."""
        cluster, load = _start_load(0.003)
        load.stop()
        _refuse_reads(cluster)
        cluster.run_for(1.2)
        answers: list[str] = []

        def deny(link: SimulatedLink, *_: object) -> FailureCode:
            answers.append(link._member.name)
            return FailureCode.LAGGING

        caller = cluster.open_session(cluster.proxies[0], JOBS)
        with mock.patch.object(SimulatedLink, "_find_refusal", deny):
            self.assertIsNotNone(cluster.send_and_wait(caller, Read("k")).failure)
        self.assertLessEqual(len([name for name in answers if name in REPLICAS]), 24)

    def test_waits_are_counted_by_their_end(self) -> None:
        cluster, load = _start_load(2.9)
        _refuse_reads(cluster)
        _run_reads(cluster, load, 1.0)
        counts = cluster.proxies[0].gateway.metrics.replica_waits.counts
        self.assertGreater(counts[(SERVICE, "replica")], 50)

    def test_read_only_transactions_wait_for_a_replica(self) -> None:
        cluster, _ = _start_load(2.9)
        cluster.group.members["db-a"].is_full = True
        caller = cluster.open_session(cluster.proxies[1], JOBS)
        cluster.send_and_wait(caller, Begin(True))
        self.assertIsNone(cluster.send_and_wait(caller, Read("k")).failure)
        self.assertIsNone(cluster.send_and_wait(caller, Commit()).failure)


class TestFullQueue(testtools.TestCase):
    """Writes fill the queue for the primary's connections, and both replicas are 2.9 s behind."""

    def _keep_queue_full(self, cluster: GatewayCluster, rounds: int) -> None:
        for node in cluster.proxies:
            for number in range(200):
                caller = cluster.open_session(node, QUOTES)
                cluster.send_request(caller, Write(f"q{number} oak"))
        if rounds:
            cluster.simulator.call_later(0.1, lambda: self._keep_queue_full(cluster, rounds - 1))

    def test_reads_wait_for_a_replica(self) -> None:
        cluster, load = _start_load(2.9, connections=9)
        self._keep_queue_full(cluster, rounds=20)
        reads = _run_reads(cluster, load, 1.5)
        self.assertGreater(len(served(reads)), 0.99 * len(reads))
        self.assertLess(worst_time(served(reads)), 0.8)


class TestWaves(testtools.TestCase):
    """Many proxies with the same prediction do not all send reads to a replica at once."""

    def test_reads_that_wait_for_the_same_position_are_spread(self) -> None:
        cluster, load = _start_load(2.9, proxies=8)
        _refuse_reads(cluster)
        load.stop()
        cluster.run_for(0.05)
        before = len(cluster.group.executions)
        sent = 0
        for node in cluster.proxies:
            for _ in range(5):
                cluster.send_request(cluster.open_session(node, JOBS), Read("k"))
                sent += 1
        cluster.run_for(1.2)
        at_replicas = [e for e in cluster.group.executions[before:] if e.instance in REPLICAS]
        times = [e.executed_at for e in at_replicas]
        most = max(sum(1 for other in times if t <= other < t + 0.01) for t in times)
        self.assertGreater(len(times), 0.9 * sent)
        self.assertLess(most, sent / 2)


class TestReplacedPrimary(testtools.TestCase):
    """Reads that accept some age while a primary is replaced, at 200 reads a second.

    Without earlier positions they are refused from the moment the leases are released.
    """

    def _replace(
        self, promotion_delay_s: float, mechanisms: MechanismSwitches = ALL_ON
    ) -> tuple[GatewayCluster, ReadLoad, float]:
        """Crash the primary under load; return the time of the crash besides."""
        cluster = GatewayCluster(1, 3, mechanisms=mechanisms)
        cluster.run_for(START_S)
        cluster.group.promotion_delay_s = promotion_delay_s
        load = ReadLoad(cluster)
        load.start()
        cluster.run_for(3.0)
        crashed_at = cluster.simulator.now
        cluster.crash_instance("db-a")
        cluster.run_for(16.0)
        load.stop()
        cluster.run_for(1.5)
        return cluster, load, crashed_at

    def test_reads_go_on_while_the_primary_is_replaced_quickly(self) -> None:
        _, load, crashed_at = self._replace(1.0)
        reads = load.sent_between(crashed_at, crashed_at + 15.0)
        self.assertGreater(len(served(reads)), 0.999 * len(reads))
        self.assertLess(worst_time(reads), 0.1)

    def test_reads_are_refused_meanwhile_with_earlier_positions_switched_off(self) -> None:
        switches = MechanismSwitches(frozenset({Mechanism.EARLIER_POSITIONS}))
        _, load, crashed_at = self._replace(1.0, switches)
        reads = load.sent_between(crashed_at, crashed_at + 15.0)
        self.assertLess(len(served(reads)), 0.999 * len(reads))
        self.assertGreater(worst_time(served(reads)), 0.5)

    def test_reads_go_on_for_as_long_as_they_accept_in_a_slow_replacement(self) -> None:
        _, load, crashed_at = self._replace(9.0)
        # The route accepts 2.5 s, and the newest position is at most 0.4 s old at the crash.
        reads = load.sent_between(crashed_at, crashed_at + 2.0)
        self.assertGreater(len(served(reads)), 0.999 * len(reads))
        late = load.sent_between(crashed_at + 3.0, crashed_at + 6.0)
        self.assertEqual([], served(late))


class TestPositionsOfReplies(testtools.TestCase):
    """A reply counts as the primary's only if the instance was the primary when it was asked."""

    def test_reply_of_a_replica_that_was_promoted_meanwhile_is_not_recorded(self) -> None:
        cluster = start_cluster()
        node = cluster.proxies[0]
        caller = cluster.open_session(node, JOBS)
        cluster.send_and_wait(caller, Write("k oak"))
        requests: list[Request] = []
        executor = caller.session._dependencies.statements

        async def keep_request(request: Request, _: object) -> Refused:
            requests.append(request)
            return refuse(FailureCode.BUSY, "place read", "it is not run")

        with mock.patch.object(executor, "run_read", keep_request):
            cluster.send_and_wait(caller, Read("k"))
        sent = executor.note_sending(requests[0])
        cluster.crash_instance("db-a")
        cluster.run_for(8.0)
        state = node.gateway.cluster_state
        lease = state.lease(SERVICE)
        assert lease is not None and lease.primary != "db-a"
        reply = Reply(position=Position(1, 0))
        executor.record_primary_position(requests[0], lease.primary, sent, reply)
        history = state.positions.known_history(SERVICE, 1)
        observed = [o for o in history._observations if o.position == Position(1, 0)]
        self.assertEqual([], observed)
