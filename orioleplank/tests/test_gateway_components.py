"""Single components of a gateway in situations that random faults rarely bring about."""

from __future__ import annotations

from typing import Any
from unittest import mock

import testtools
from msgspec.structs import replace
from twisted.internet.defer import Deferred, succeed

from orioleplank.decision.session import Failure, FailureCode, Reply
from orioleplank.gateway import StoreConflictError, WatchHistoryExpiredError
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._failure_confirmation import UNCONFIRMED_FAILURE_S
from orioleplank.gateway._loopback_channel import LoopbackChannelDialer
from orioleplank.tests._gateway_helpers import start_cluster
from orioleplank.tests._simulated_instances import SERVICE


class TestMembership(testtools.TestCase):
    def test_registration_continues_after_any_error_of_the_store(self) -> None:
        for error in (WatchHistoryExpiredError, StoreConflictError):
            cluster = start_cluster()
            membership: Any = cluster.proxies[0].gateway._fleet_membership
            write, failures = membership._write_record, [error("list", "store", "expired")]

            async def fail_once(record: Any, write: Any = write, failures: Any = failures) -> None:
                if failures:
                    raise failures.pop()
                await write(record)

            with mock.patch.object(membership, "_write_record", fail_once):
                registered: list[Any] = []
                Deferred.fromCoroutine(membership.register()).addBoth(registered.append)
                cluster.run_for(2.0)
            self.assertEqual([None], registered)
            self.assertFalse(membership._is_registering)

    def test_watcher_pauses_when_the_history_expires_during_a_listing(self) -> None:
        cluster = start_cluster()
        watcher: Any = cluster.proxies[0].gateway._fleet_membership._watcher
        calls: list[float] = []

        def expire() -> Any:
            calls.append(cluster.simulator.now)
            raise WatchHistoryExpiredError("list", "store", "expired")

        with mock.patch.object(watcher._collection, "list", expire):
            work = Deferred.fromCoroutine(watcher.run())
            work.addErrback(lambda _: None)
            cluster.run_for(5.0)
            watcher.is_stopped = True
            self.assertLess(len(calls), 50)
            self.assertGreater(len(calls), 1)


class TestPrimaryMonitor(testtools.TestCase):
    def test_silent_peers_delay_a_failover_for_a_limited_time_without_a_pool(self) -> None:
        cluster = start_cluster()
        gateway: Any = cluster.proxies[0].gateway
        monitor = gateway._primary_monitor._confirmation
        groups = gateway.cluster_state.leases.group_records
        record = replace(groups[SERVICE].record, primary="db-gone")
        self.assertTrue(monitor._is_isolated(record, True))
        cluster.run_for(UNCONFIRMED_FAILURE_S + 0.1)
        self.assertFalse(monitor._is_isolated(record, True))
        self.assertFalse(monitor._is_isolated(record, False))
        self.assertTrue(monitor._is_isolated(record, True))


class _RefusingLink:
    """An instance that refuses to step down."""

    def step_down(self, term: int) -> Deferred[Reply]:
        """Return a failure."""
        return succeed(Reply(failure=Failure(FailureCode.BUSY, "no")))


class TestProber(testtools.TestCase):
    def test_refused_step_down_is_no_success(self) -> None:
        cluster = start_cluster()
        gateway: Any = cluster.proxies[0].gateway
        link: Any = _RefusingLink()
        pool = mock.Mock()
        pool.acquire = lambda *_, **__: succeed(PooledConnection(link))
        results: list[bool] = []
        Deferred.fromCoroutine(gateway._prober.step_down(pool, 3)).addCallback(results.append)
        self.assertEqual([False], results)


class _Handler:
    def __init__(self) -> None:
        self.closed = 0

    def handle_frame(self, frame: bytes) -> None:
        """Ignore a frame."""

    def handle_channel_closed(self) -> None:
        """Count the closings."""
        self.closed += 1


class TestLoopbackChannel(testtools.TestCase):
    def test_closing_informs_both_ends_once(self) -> None:
        server, client = _Handler(), _Handler()
        channels: list[Any] = []
        LoopbackChannelDialer(lambda _: server).open("", client).addCallback(channels.append)
        channels[0].close()
        channels[0].close()
        self.assertEqual((1, 1), (server.closed, client.closed))
