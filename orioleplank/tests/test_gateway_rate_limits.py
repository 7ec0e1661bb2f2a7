"""Rate limits of accounts on whole gateways, on virtual time."""

from __future__ import annotations

from collections.abc import Callable

import testtools

from orioleplank.decision.accounts import AccountTable, ClientAccount, RateLimit
from orioleplank.decision.mechanisms import Mechanism, MechanismSwitches
from orioleplank.decision.membership import PermitsAsked, PermitsTold
from orioleplank.decision.quota import select_coordinators
from orioleplank.decision.quota.tests._replay import allowed_in_window, max_in_window
from orioleplank.decision.session import (
    Begin,
    Commit,
    FailureCode,
    Read,
    Reply,
    Rollback,
    Statement,
    Write,
)
from orioleplank.gateway import EventType
from orioleplank.gateway._peer_socket import decode_message
from orioleplank.tests._gateway_cluster import JOBS, QUOTES, GatewayCluster, GatewayNode
from orioleplank.tests._gateway_helpers import failure_code, keep_writing
from orioleplank.tests._simulated_caller import SimulatedCaller

PROXIES = 6
KEY = "a-key-that-is-never-shown"
FREE_KEY = "another-key"
LIMIT = RateLimit(20.0, 10.0)
# Operations that may run in any window.
ALLOWED = allowed_in_window(LIMIT)
# Time until the proxies are ready and the buckets are full.
START_S = 6.0
# The same for limits of 0.1 operations per second.
SLOW_START_S = 90.0
MAX_DATAGRAM_BYTES = 1200
# Statement timeout of the route `QUOTES`, in seconds.
ROUTE_TIMEOUT_S = 1.0


def _start_cluster(
    limit: RateLimit = LIMIT,
    mechanisms: MechanismSwitches | None = None,
    start_s: float = START_S,
) -> GatewayCluster:
    """Return a cluster with an account that has a limit and one that has none."""
    cluster = GatewayCluster(1, PROXIES, mechanisms=mechanisms or MechanismSwitches())
    accounts = {KEY: ClientAccount("hot", limit=limit), FREE_KEY: ClientAccount("free")}
    cluster.change_accounts(AccountTable(accounts))
    cluster.run_for(start_s)
    return cluster


def _coordinators(cluster: GatewayCluster, account: str = "hot") -> list[GatewayNode]:
    names = select_coordinators(account, tuple(node.name for node in cluster.proxies))
    return [next(node for node in cluster.proxies if node.name == name) for name in names]


def _other_proxy(cluster: GatewayCluster) -> GatewayNode:
    """Return a proxy that is no coordinator of the account."""
    coordinators = _coordinators(cluster)
    return next(node for node in cluster.proxies if node not in coordinators)


def _record_runs(cluster: GatewayCluster) -> list[float]:
    """Return a list to which the time of each statement at an instance is added."""
    times: list[float] = []
    cluster.group.on_execute = lambda *_: times.append(cluster.simulator.now)
    return times


def _record_datagrams(cluster: GatewayCluster) -> list[bytes]:
    """Return a list to which each datagram about permits is added."""
    datagrams: list[bytes] = []
    send: Callable[..., None] = cluster.network.send

    def record(source: object, datagram: bytes, address: object) -> None:
        if isinstance(decode_message(datagram), PermitsAsked | PermitsTold):
            datagrams.append(datagram)
        send(source, datagram, address)

    cluster.network.send = record  # type: ignore[method-assign, assignment]
    return datagrams


def _count_events(cluster: GatewayCluster, event_type: EventType) -> int:
    return sum(len(node.event_log.outcomes(event_type)) for node in cluster.proxies)


def _write_from_everywhere(cluster: GatewayCluster, sessions: int = 6) -> list[SimulatedCaller]:
    """Send writes of the account through all proxies, far more than its limit allows."""
    callers = []
    for node in cluster.proxies:
        for _ in range(sessions):
            caller = cluster.open_session(node, QUOTES, KEY)
            keep_writing(cluster, caller, pause_s=0.05)
            callers.append(caller)
    return callers


class TestLimitOverProxies(testtools.TestCase):
    """An account may not use its limit at each proxy."""

    def test_limit_holds_over_all_proxies(self) -> None:
        cluster = _start_cluster()
        times = _record_runs(cluster)
        _write_from_everywhere(cluster)
        cluster.run_for(12.0)
        self.assertLessEqual(max_in_window(times), ALLOWED)
        self.assertGreater(len(times), 0.8 * LIMIT.rate * 12.0)

    def test_limit_holds_while_a_coordinator_is_killed_and_restarted(self) -> None:
        cluster = _start_cluster()
        times = _record_runs(cluster)
        _write_from_everywhere(cluster)
        cluster.run_for(3.0)
        killed = _coordinators(cluster)[0]
        cluster.kill_proxy(killed)
        cluster.run_for(4.0)
        served_meanwhile = sum(at > cluster.simulator.now - 3.0 for at in times)
        cluster.start_proxy(killed)
        cluster.run_for(12.0)
        self.assertLessEqual(max_in_window(times), ALLOWED)
        self.assertGreater(served_meanwhile, 0.3 * LIMIT.rate * 3.0)
        served_at_the_end = sum(at > cluster.simulator.now - 5.0 for at in times)
        self.assertGreater(served_at_the_end, 0.8 * LIMIT.rate * 5.0)

    def test_limit_holds_while_the_coordinators_are_paused(self) -> None:
        cluster = _start_cluster()
        times = _record_runs(cluster)
        _write_from_everywhere(cluster)
        cluster.run_for(2.0)
        for node in _coordinators(cluster):
            cluster.simulator.pause(node.name, 4.0)
        cluster.run_for(16.0)
        self.assertLessEqual(max_in_window(times), ALLOWED)
        self.assertGreater(sum(at > cluster.simulator.now - 5.0 for at in times), 50)

    def test_nothing_is_limited_with_the_mechanism_off(self) -> None:
        cluster = _start_cluster(mechanisms=MechanismSwitches(frozenset({Mechanism.RATE_LIMITS})))
        times = _record_runs(cluster)
        _write_from_everywhere(cluster)
        cluster.run_for(6.0)
        self.assertGreater(max_in_window(times), ALLOWED)

    def test_lower_limit_takes_effect(self) -> None:
        cluster = _start_cluster(RateLimit(200.0, 50.0))
        times = _record_runs(cluster)
        _write_from_everywhere(cluster)
        cluster.run_for(4.0)
        cluster.change_accounts(AccountTable({KEY: ClientAccount("hot", limit=LIMIT)}))
        cluster.run_for(5.0)
        times.clear()
        cluster.run_for(10.0)
        self.assertLessEqual(max_in_window(times), ALLOWED)


class TestRefusals(testtools.TestCase):
    """A refusal names who refused, and when a retry may succeed."""

    def test_refusal_by_the_limit_names_the_operator_and_a_time(self) -> None:
        cluster = _start_cluster(RateLimit(1.0, 1.0))
        caller = cluster.open_session(_other_proxy(cluster), QUOTES, KEY)
        replies = [cluster.send_and_wait(caller, Write(f"k{n} v{n}")) for n in range(6)]
        refusals = [reply.failure for reply in replies if reply.failure]
        self.assertGreaterEqual(len(refusals), 3)
        for refusal in refusals:
            self.assertEqual(FailureCode.BUSY, refusal.code)
            self.assertTrue(refusal.detail.startswith("operator rate limit: account hot "))
            self.assertIn("retry after", refusal.detail)
            assert refusal.retry_after is not None
            self.assertTrue(0.0 <= refusal.retry_after <= 2.5)

    def test_retry_after_the_stated_time_is_served(self) -> None:
        cluster = _start_cluster(RateLimit(1.0, 1.0))
        caller = cluster.open_session(_other_proxy(cluster), QUOTES, KEY)
        reply = Reply()
        while reply.failure is None:
            reply = cluster.send_and_wait(caller, Write("k v"))
        cluster.run_for((reply.failure.retry_after or 0.0) + 0.01)
        self.assertIsNone(failure_code(cluster.send_and_wait(caller, Write("k w"))))

    def test_proxy_that_is_cut_off_from_both_coordinators_refuses(self) -> None:
        cluster = _start_cluster()
        node = _other_proxy(cluster)
        for coordinator in _coordinators(cluster):
            cluster.simulator.cut_link(node.name, coordinator.name)
            cluster.simulator.cut_link(coordinator.name, node.name)
        caller = cluster.open_session(node, QUOTES, KEY)
        reply = cluster.send_and_wait(caller, Write("k v"), ROUTE_TIMEOUT_S)
        self.assertEqual(FailureCode.BUSY, failure_code(reply))
        assert reply.failure is not None
        self.assertTrue(reply.failure.detail.startswith("program rate limit: no coordinator"))
        self.assertEqual(0.5, reply.failure.retry_after)

    def test_operations_wait_for_new_coordinators_after_a_restart_of_all_proxies(self) -> None:
        """They would otherwise be refused until the buckets begin to fill."""
        cluster = _start_cluster(RateLimit(100.0, 50.0))
        for node in list(cluster.proxies):
            cluster.kill_proxy(node)
            cluster.start_proxy(node)
        cluster.run_for(0.3)
        callers = [cluster.open_session(node, QUOTES, KEY) for node in cluster.proxies]
        for caller in callers:
            cluster.send_request(caller, Write("k v"))
        cluster.run_for(ROUTE_TIMEOUT_S + 1.0)
        self.assertEqual([], [c.replies for c in callers if failure_code(c.replies[0])])

    def test_proxy_that_reaches_one_coordinator_serves(self) -> None:
        cluster = _start_cluster()
        node = _other_proxy(cluster)
        for coordinator in _coordinators(cluster):
            cluster.simulator.cut_links.clear()
            cluster.simulator.cut_link(coordinator.name, node.name)
            caller = cluster.open_session(node, QUOTES, KEY)
            for number in range(3):
                reply = cluster.send_and_wait(caller, Write(f"k v{number}"), 0.3)
                self.assertIsNone(failure_code(reply))

    def test_key_is_in_no_log_line_or_metric(self) -> None:
        cluster = _start_cluster(RateLimit(1.0, 1.0))
        caller = cluster.open_session(cluster.proxies[0], QUOTES, KEY)
        for number in range(6):
            cluster.send_and_wait(caller, Write(f"k v{number}"))
        for node in cluster.proxies:
            self.assertNotIn(KEY, repr(node.event_log.events))
            self.assertNotIn(KEY, repr(node.gateway.metrics.render()))
        self.assertIn("rate limit", repr(cluster.proxies[0].event_log.events))
        metrics = cluster.proxies[0].gateway.metrics
        self.assertIn(("hot", "refused", "limit"), metrics.rate_limited.counts)


class TestUnlimitedAccounts(testtools.TestCase):
    """An account without a limit and callers without an account cause no messages."""

    def test_account_without_a_limit_needs_no_coordinator(self) -> None:
        cluster = _start_cluster()
        datagrams = _record_datagrams(cluster)
        caller = cluster.open_session(_other_proxy(cluster), QUOTES, FREE_KEY)
        for number in range(50):
            reply = cluster.send_and_wait(caller, Write(f"k v{number}"))
            self.assertIsNone(failure_code(reply))
        self.assertEqual([], datagrams)

    def test_configuration_without_accounts_is_served_as_before(self) -> None:
        cluster = GatewayCluster(1, 3)
        cluster.run_for(START_S)
        datagrams = _record_datagrams(cluster)
        caller = cluster.open_session(cluster.proxies[0], QUOTES)
        for number in range(50):
            reply = cluster.send_and_wait(caller, Write(f"k v{number}"))
            self.assertIsNone(failure_code(reply))
        self.assertEqual([], datagrams)


class TestOperations(testtools.TestCase):
    """A statement outside a transaction counts once, and so does a transaction."""

    def test_transaction_counts_once(self) -> None:
        cluster = _start_cluster(RateLimit(0.1, 4.0), start_s=SLOW_START_S)
        caller = cluster.open_session(_other_proxy(cluster), QUOTES, KEY)
        for _ in range(2):
            writes: list[Statement] = [Write(f"k{n} v") for n in range(5)]
            for statement in (Begin(False), *writes, Commit()):
                self.assertIsNone(failure_code(cluster.send_and_wait(caller, statement)))

    def test_transactions_that_were_begun_before_do_not_start_at_once(self) -> None:
        """Callers begin transactions over a long time, start all of them together, and go on."""
        limit = RateLimit(50.0, 10.0)
        cluster = _start_cluster(limit)
        times = _record_runs(cluster)
        callers = [
            cluster.open_session(node, JOBS, KEY) for node in cluster.proxies for _ in range(60)
        ]
        for caller in callers:
            cluster.send_request(caller, Begin(True))
            cluster.run_for(0.007)
        for caller in callers:
            cluster.send_request(caller, Read("k"))
            cluster.send_request(caller, Commit())
        _write_from_everywhere(cluster)
        cluster.run_for(6.0)
        self.assertLessEqual(max_in_window(times), allowed_in_window(limit))
        self.assertGreater(len(times), 0)

    def test_transaction_that_ends_without_a_statement_returns_its_permit(self) -> None:
        cluster = _start_cluster(RateLimit(0.1, 2.0), start_s=SLOW_START_S)
        caller = cluster.open_session(_other_proxy(cluster), QUOTES, KEY)
        for _ in range(8):
            self.assertIsNone(failure_code(cluster.send_and_wait(caller, Begin(False))))
            self.assertIsNone(failure_code(cluster.send_and_wait(caller, Rollback())))

    def test_refused_statement_returns_its_permit(self) -> None:
        cluster = _start_cluster(RateLimit(0.1, 2.0), start_s=SLOW_START_S)
        node = _other_proxy(cluster)
        caller = cluster.open_session(node, QUOTES, KEY)
        cluster.send_and_wait(caller, Write("k v"))
        statements = node.gateway.sessions._dependencies.statements
        run_write, refusals = statements.run_write, iter(range(5))

        async def refuse_first(request: object, statement: object) -> object:
            from orioleplank.gateway._outcome import refuse

            if next(refusals, None) is not None:
                return refuse(FailureCode.BUSY, "wait for connection", "the queue is too long")
            return await run_write(request, statement)  # type: ignore[arg-type]

        statements.run_write = refuse_first  # type: ignore[method-assign, assignment]
        replies = [cluster.send_and_wait(caller, Write(f"k w{n}")) for n in range(6)]
        self.assertTrue(all("queue" in str(reply.failure) for reply in replies[:5]))
        self.assertIsNone(failure_code(replies[5]))

    def test_caller_that_leaves_while_its_permit_is_awaited_breaks_nothing(self) -> None:
        cluster = _start_cluster()
        times = _record_runs(cluster)
        node = _other_proxy(cluster)
        for statement in (Write("k v"), Begin(False)):
            caller = cluster.open_session(node, QUOTES, KEY)
            cluster.send_request(caller, statement)
            caller.close()
        cluster.run_for(2.0)
        self.assertEqual([], times)
        self.assertEqual(0, _count_events(cluster, EventType.ERROR))
        caller = cluster.open_session(node, QUOTES, KEY)
        self.assertIsNone(failure_code(cluster.send_and_wait(caller, Write("k w"))))


class TestMessages(testtools.TestCase):
    """Messages are few and small, and the state is that of accounts that were seen recently."""

    def test_accounts_share_datagrams_of_limited_size(self) -> None:
        cluster = _start_cluster()
        names = [f"account-{'x' * 40}-{number}" for number in range(100)]
        accounts = {f"key {name}": ClientAccount(name, limit=LIMIT) for name in names}
        cluster.change_accounts(AccountTable(accounts))
        cluster.run_for(3.0)
        datagrams = _record_datagrams(cluster)
        node = cluster.proxies[0]
        callers = [cluster.open_session(node, QUOTES, key) for key in accounts]
        for caller in callers:
            cluster.send_request(caller, Write("k v"))
        cluster.run_for(0.02)
        requests = [d for d in datagrams if isinstance(decode_message(d), PermitsAsked)]
        self.assertLess(len(requests), 3 * PROXIES)
        self.assertLess(max(len(datagram) for datagram in datagrams), MAX_DATAGRAM_BYTES)
        cluster.run_for(2.0)
        self.assertTrue(all(len(caller.replies) == 1 for caller in callers))
        # The pool of this proxy has four connections, and refuses some of so many writes at once.
        counts = node.gateway.metrics.rate_limited.counts
        admitted = [name for name in names if counts[name, "admitted", ""] == 1]
        self.assertEqual(names, admitted)
        details = [c.replies[0].failure.detail for c in callers if c.replies[0].failure]
        self.assertEqual([], [detail for detail in details if "rate limit" in detail])

    def test_state_of_accounts_that_are_not_seen_is_dropped(self) -> None:
        cluster = _start_cluster()
        _write_from_everywhere(cluster, sessions=2)
        cluster.run_for(3.0)
        for node in cluster.proxies:
            for caller in list(node.callers):
                caller.close()
        cluster.run_for(8.0)
        for node in cluster.proxies:
            limiter = node.gateway._rate_limiter
            self.assertEqual(frozenset(), limiter._holder.accounts)
            self.assertEqual(frozenset(), limiter.server.accounts)
            self.assertEqual({}, limiter._sent)

    def test_duplicated_answer_grants_once(self) -> None:
        cluster = _start_cluster(RateLimit(0.1, 8.0), start_s=SLOW_START_S)
        times = _record_runs(cluster)
        send = cluster.network.send

        def send_twice(*arguments: object) -> None:
            send(*arguments)  # type: ignore[arg-type]
            if isinstance(decode_message(arguments[1]), PermitsTold):  # type: ignore[arg-type]
                send(*arguments)  # type: ignore[arg-type]

        cluster.network.send = send_twice  # type: ignore[method-assign, assignment]
        for _ in range(3):
            caller = cluster.open_session(_other_proxy(cluster), QUOTES, KEY)
            for number in range(20):
                cluster.send_and_wait(caller, Write(f"k v{number}"))
        self.assertTrue(8 <= len(times) <= 9)
