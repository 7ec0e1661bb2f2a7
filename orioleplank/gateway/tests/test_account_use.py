"""What counts as the use of a pool by an account."""

from __future__ import annotations

import testtools

from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.admission import RECENT_USE_S
from orioleplank.decision.mechanisms import ALL_ON, Mechanism, MechanismSwitches
from orioleplank.gateway._account_use import AccountUseCounter, ConnectionUse
from orioleplank.gateway._connection_request import ConnectionRequest


class TestAccountUse(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.counter = AccountUseCounter(lambda: self.now, ALL_ON)

    def _begin(self, account: str, is_transaction: bool = False) -> ConnectionUse:
        request = ConnectionRequest(
            1.0, ClientAccount(account), priority=1, is_transaction=is_transaction
        )
        return self.counter.begin(request)

    def _allowance(self, account: str) -> int | None:
        return self.counter.summarize(8, ()).transaction_share.allowance(account)

    def test_account_counts_as_user_for_a_while_after_its_last_use(self) -> None:
        """Guards against a limit that rarely holds, since statements are short."""
        self._begin("idle", is_transaction=True)
        self.counter.end(self._begin("other"))
        self.now = RECENT_USE_S
        self.assertEqual(3, self._allowance("idle"))
        self.now += 0.1
        self.assertIsNone(self._allowance("idle"))

    def test_probe_is_no_use_of_an_account(self) -> None:
        """Guards against a limit in deployments with one account, because of probes."""
        self._begin("idle", is_transaction=True)
        use = self.counter.begin(ConnectionRequest(1.0, is_probe=True))
        self.assertIsNone(self._allowance("idle"))
        self.counter.end(use)
        self.assertEqual({"idle": 1}, dict(self.counter.summarize(8, ()).connections))

    def test_accounts_that_are_gone_are_forgotten(self) -> None:
        """Guards against memory that grows with all accounts a pool has ever served."""
        for number in range(500):
            self.now += 0.1
            self.counter.end(self._begin(f"account-{number}"))
        self.assertLess(len(self.counter.summarize(8, ()).connections), 50)

    def test_without_the_mechanism_there_is_no_share(self) -> None:
        mechanisms = MechanismSwitches(frozenset({Mechanism.TRANSACTION_SHARE}))
        self.counter = AccountUseCounter(lambda: self.now, mechanisms)
        self._begin("idle", is_transaction=True)
        self._begin("other")
        self.assertIsNone(self._allowance("idle"))
