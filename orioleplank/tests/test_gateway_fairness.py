"""Accounts that compete for the connections of one instance, on virtual time."""

from __future__ import annotations

from functools import partial

import testtools

from orioleplank.decision.accounts import AccountTable, ClientAccount
from orioleplank.decision.session import Begin, Reply, Write
from orioleplank.tests._gateway_cluster import QUOTES, GatewayCluster, GatewayNode
from orioleplank.tests._simulated_caller import SimulatedCaller

START_S = 4.0
HOT, CALM = ClientAccount("hot", 1), ClientAccount("calm", 1)
# A write that does not wait takes a few milliseconds, another 12 ms if a connection is opened.
PROMPT_WRITE_S = 0.15
# Pause of a caller before its next write, also after a refusal that came at once, in seconds.
RETRY_PAUSE_S = 0.01
# Proxies and connections of an instance: with four connections for each proxy, and with owners.
DEPLOYMENTS = ((3, 14), (9, 22))


def _start_cluster(proxies: int, connections: int) -> GatewayCluster:
    cluster = GatewayCluster(1, proxies, connections)
    cluster.change_accounts(AccountTable({HOT.name: HOT, CALM.name: CALM}))
    cluster.run_for(START_S)
    return cluster


def _proxy(cluster: GatewayCluster) -> GatewayNode:
    """Return a proxy that forwards its statements to the primary, if any does."""
    owners = cluster.proxies[0].gateway.cluster_state.connection_owners("db-a")
    return next(node for node in cluster.proxies if node.name not in owners)


def _write_time(cluster: GatewayCluster, node: GatewayNode, account: ClientAccount) -> float:
    """Return how long a write of an account takes, in seconds; it must be served."""
    caller = cluster.open_session(node, QUOTES, account.name)
    sent_at = cluster.simulator.now
    reply = cluster.send_and_wait(caller, Write("prompt 1"))
    assert reply.failure is None, reply
    return cluster.simulator.now - sent_at


class TestIdleTransactionsOfOneAccount(testtools.TestCase):
    """120 callers of one account begin a transaction, write and stay idle."""

    def _begin_many(self, cluster: GatewayCluster, node: GatewayNode) -> list[SimulatedCaller]:
        callers = [cluster.open_session(node, QUOTES, HOT.name) for _ in range(120)]
        for caller in callers:
            cluster.send_request(caller, Begin(False))
            cluster.send_request(caller, Write("idle 1"))
        return callers

    def test_others_and_single_statements_are_served(self) -> None:
        """Guards against idle transactions of one account that occupy the primary."""
        for proxies, connections in DEPLOYMENTS:
            cluster = _start_cluster(proxies, connections)
            node = _proxy(cluster)
            _write_time(cluster, node, CALM)
            callers = self._begin_many(cluster, node)
            cluster.run_for(0.2)
            for account in (CALM, HOT, CALM):
                taken_s = _write_time(cluster, node, account)
                self.assertLess(taken_s, PROMPT_WRITE_S, (proxies, account))
            cluster.run_for(1.2)
            self.assertEqual({2}, {len(caller.replies) for caller in callers})


class TestQueueOfOneAccount(testtools.TestCase):
    """One account sends far more than its share."""

    def test_write_of_another_account_is_prompt(self) -> None:
        """Guards against the queue of one account delaying another."""
        for proxies, connections in DEPLOYMENTS:
            cluster = _start_cluster(proxies, connections)
            node = _proxy(cluster)
            for number in range(150):
                caller = cluster.open_session(node, QUOTES, HOT.name)
                caller.on_reply = partial(self._send_again, cluster, caller)
                cluster.send_request(caller, Write(f"q{number} oak"))
            cluster.run_for(0.1)
            for _ in range(5):
                taken_s = _write_time(cluster, node, CALM)
                self.assertLess(taken_s, PROMPT_WRITE_S, proxies)

    def _send_again(self, cluster: GatewayCluster, caller: SimulatedCaller, reply: Reply) -> None:
        def send() -> None:
            cluster.send_request(caller, Write("q0 oak"))

        cluster.simulator.call_later(RETRY_PAUSE_S, send)
