"""Client accounts on whole gateways: which key runs what, and under which name."""

from __future__ import annotations

import testtools
from msgspec.structs import replace

from orioleplank.decision.accounts import AccountTable, ClientAccount
from orioleplank.decision.session import Begin, Commit, FailureCode, Read, Write
from orioleplank.tests._gateway_cluster import CATALOGUE, JOBS, QUOTES, GatewayCluster, GatewayNode
from orioleplank.tests._gateway_helpers import failure_code
from orioleplank.tests._simulated_caller import SimulatedCaller
from orioleplank.tests._simulated_channels import SimulatedChannel

START_S = 4.0
# Time for a new configuration to reach all proxies.
APPLY_S = 1.0
SHOP, BANK = ClientAccount("shop"), ClientAccount("bank")
ACCOUNTS = AccountTable({"shop-key-1": SHOP, "shop-key-2": SHOP, "bank-key-1": BANK})


class AccountTestCase(testtools.TestCase):
    def start_cluster(self, proxies: int = 3, connection_limit: int = 30) -> GatewayCluster:
        """Start a cluster whose configuration has accounts."""
        self.cluster = GatewayCluster(1, proxies, connection_limit)
        self.change_accounts(ACCOUNTS)
        self.cluster.run_for(START_S)
        return self.cluster

    def change_accounts(self, accounts: AccountTable | None) -> None:
        """Publish other accounts, and wait until they are in force."""
        self.cluster.change_accounts(accounts)
        self.cluster.run_for(APPLY_S)

    def open_session(
        self, key: str, database: str = QUOTES, node: GatewayNode | None = None
    ) -> SimulatedCaller:
        """Open a session with a key."""
        return self.cluster.open_session(node or self.cluster.proxies[0], database, key)

    def accounts_at_instances(self) -> list[str]:
        """Return the accounts under which statements have run, in order."""
        return [execution.account for execution in self.cluster.group.executions]


class TestKeys(AccountTestCase):
    def test_instance_is_told_the_account_of_the_key(self) -> None:
        self.start_cluster()
        for key in ("shop-key-1", "bank-key-1", "shop-key-2"):
            reply = self.cluster.send_and_wait(self.open_session(key), Write("a 1"))
            self.assertIsNone(reply.failure)
        self.assertEqual(["shop", "bank", "shop"], self.accounts_at_instances())

    def test_connection_owner_uses_the_account_of_the_forwarded_statement(self) -> None:
        self.start_cluster(proxies=9, connection_limit=16)
        for node in self.cluster.proxies:
            for key in ("shop-key-1", "bank-key-1"):
                caller = self.open_session(key, node=node)
                for statement in (Write("a 1"), Begin(False), Write("b 2"), Commit()):
                    reply = self.cluster.send_and_wait(caller, statement)
                    self.assertIsNone(reply.failure)
        for execution in self.cluster.group.executions:
            self.assertIn(execution.account, ("shop", "bank"))
        self.assertEqual({"shop", "bank"}, set(self.accounts_at_instances()))

    def test_unknown_key_opens_no_session(self) -> None:
        self.start_cluster()
        for key in ("", "shop", "shop-key-3"):
            caller = self.open_session(key)
            assert caller.refusal is not None
            self.assertEqual(FailureCode.UNAUTHENTICATED, caller.refusal.code)
            self.assertIn("operator", caller.refusal.detail)
        self.assertEqual([], self.accounts_at_instances())

    def test_withdrawn_key_runs_nothing_in_an_open_session(self) -> None:
        self.start_cluster()
        caller, other = self.open_session("shop-key-1"), self.open_session("bank-key-1")
        self.change_accounts(AccountTable({"bank-key-1": BANK}))
        for statement in (Write("a 1"), Read("a"), Begin(False)):
            reply = self.cluster.send_and_wait(caller, statement)
            self.assertEqual(FailureCode.UNAUTHENTICATED, failure_code(reply))
        self.assertEqual([], self.accounts_at_instances())
        self.assertIsNone(self.cluster.send_and_wait(other, Write("a 1")).failure)

    def test_account_whose_last_key_was_withdrawn_serves_again_with_a_new_one(self) -> None:
        self.start_cluster()
        caller = self.open_session("shop-key-1")
        self.change_accounts(AccountTable({"bank-key-1": BANK}))
        self.assertIsNotNone(self.cluster.send_and_wait(caller, Write("a 1")).failure)
        self.change_accounts(AccountTable({"bank-key-1": BANK, "shop-key-1": SHOP}))
        self.assertIsNone(self.cluster.send_and_wait(caller, Write("a 1")).failure)

    def test_moved_key_uses_the_new_account_from_the_next_operation_on(self) -> None:
        self.start_cluster()
        caller = self.open_session("shop-key-1")
        self.cluster.send_and_wait(caller, Write("a 1"))
        self.change_accounts(AccountTable({"shop-key-1": BANK}))
        self.cluster.send_and_wait(caller, Write("a 2"))
        self.assertEqual(["shop", "bank"], self.accounts_at_instances())

    def test_older_configuration_does_not_bring_a_withdrawn_key_back(self) -> None:
        self.start_cluster()
        older = self.cluster.routes
        self.change_accounts(AccountTable({"bank-key-1": BANK}))
        self.cluster.store.put("routes", "main", older)
        self.cluster.run_for(APPLY_S)
        self.assertIsNotNone(self.open_session("shop-key-1").refusal)

    def test_session_opened_during_the_start_waits_for_the_accounts(self) -> None:
        self.cluster = GatewayCluster(1, 3)
        self.cluster.change_accounts(ACCOUNTS)
        known, unknown = self.open_session("shop-key-1"), self.open_session("other")
        self.cluster.run_for(START_S)
        self.assertTrue(known.has_received_ready)
        assert unknown.refusal is not None
        self.assertEqual(FailureCode.UNAUTHENTICATED, unknown.refusal.code)


class TestTransactions(AccountTestCase):
    def _begin(self) -> SimulatedCaller:
        caller = self.open_session("shop-key-1")
        for statement in (Begin(False), Write("a 1")):
            self.assertIsNone(self.cluster.send_and_wait(caller, statement).failure)
        return caller

    def test_withdrawn_key_ends_an_open_transaction_at_its_next_statement(self) -> None:
        self.start_cluster()
        caller = self._begin()
        self.change_accounts(AccountTable({"bank-key-1": BANK}))
        reply = self.cluster.send_and_wait(caller, Write("b 2"))
        self.assertEqual(FailureCode.ABORTED, failure_code(reply))
        self.assertEqual("failed", reply.state.value)
        self.cluster.run_for(1.0)
        self.assertEqual("", self.cluster.group.primary().read_item("a"))

    def test_withdrawn_or_moved_key_commits_nothing(self) -> None:
        self.start_cluster()
        for accounts in (AccountTable({"bank-key-1": BANK}), AccountTable({"shop-key-1": BANK})):
            self.change_accounts(ACCOUNTS)
            caller = self._begin()
            self.change_accounts(accounts)
            reply = self.cluster.send_and_wait(caller, Commit())
            self.assertEqual(FailureCode.ABORTED, failure_code(reply))
            self.assertEqual("idle", reply.state.value)
            self.cluster.run_for(1.0)
            self.assertEqual("", self.cluster.group.primary().read_item("a"))

    def test_second_key_of_the_account_does_not_matter_to_an_open_transaction(self) -> None:
        self.start_cluster()
        caller = self._begin()
        self.change_accounts(AccountTable({"shop-key-1": SHOP}))
        self.assertIsNone(self.cluster.send_and_wait(caller, Commit()).failure)


class TestPublicRoutes(AccountTestCase):
    def _publish_catalogue(self, is_public: bool) -> None:
        routes = self.cluster.routes.routes
        catalogue = replace(routes[CATALOGUE], is_public=is_public)
        self.cluster.change_routes(routes[QUOTES], catalogue, routes[JOBS])
        self.cluster.run_for(APPLY_S)

    def test_public_route_serves_unknown_keys_without_an_account(self) -> None:
        self.start_cluster()
        self._publish_catalogue(True)
        for key in ("other", "", "shop-key-1"):
            reply = self.cluster.send_and_wait(self.open_session(key, CATALOGUE), Read("a"))
            self.assertIsNone(reply.failure)
        self.assertEqual(["", "", "shop"], self.accounts_at_instances())

    def test_route_that_is_no_longer_public_refuses_open_sessions_without_a_key(self) -> None:
        self.start_cluster()
        self._publish_catalogue(True)
        caller = self.open_session("other", CATALOGUE)
        self._publish_catalogue(False)
        reply = self.cluster.send_and_wait(caller, Read("a"))
        self.assertEqual(FailureCode.UNAUTHENTICATED, failure_code(reply))


class TestSecrecy(AccountTestCase):
    """A key in a log or a reply would let its reader act as the account."""

    def test_key_is_in_no_log_metric_reply_or_frame_to_a_connection_owner(self) -> None:
        self.start_cluster(proxies=9, connection_limit=16)
        texts: list[str] = []
        send = SimulatedChannel.send

        def record_and_send(channel: SimulatedChannel, frame: bytes) -> None:
            texts.append(repr(frame))
            send(channel, frame)

        self.patch(SimulatedChannel, "send", record_and_send)
        for node in self.cluster.proxies[:3]:
            caller = self.open_session("shop-key-1", node=node)
            for statement in (Write("a 1"), Read("a"), Begin(False), Write("b 2")):
                texts.append(repr(self.cluster.send_and_wait(caller, statement)))
        self.assertNotEqual(12, len(texts), "no frame was sent")
        self.change_accounts(AccountTable({"bank-key-1": BANK}))
        for node in self.cluster.proxies[:3]:
            texts.append(repr(self.cluster.send_and_wait(node.callers[0], Commit())))
            texts.append(repr(self.open_session("shop-key-1", node=node).refusal))
        for node in self.cluster.proxies:
            texts += [repr(event) for event in node.event_log.events]
            texts.append(repr(node.gateway.metrics.render()))
        for text in texts:
            self.assertNotIn("-key-", text)
