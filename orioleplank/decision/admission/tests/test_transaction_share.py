"""How many transactions of one account a pool admits."""

from __future__ import annotations

import testtools

from orioleplank.decision.admission import (
    AccountUse,
    QueuedRequest,
    order_by_service,
    share_transactions,
)


class TestShare(testtools.TestCase):
    def test_one_account_may_hold_all_connections(self) -> None:
        """Guards deployments without accounts against any limit."""
        self.assertIsNone(share_transactions({"": 9}, 9, False).allowance(""))

    def test_account_may_hold_half_beside_others(self) -> None:
        share = share_transactions({"a": 3}, 9, True)
        self.assertEqual((1, 4), (share.allowance("a"), share.allowance("b")))

    def test_account_above_its_half_may_begin_none(self) -> None:
        self.assertEqual(0, share_transactions({"a": 9}, 9, True).allowance("a"))

    def test_every_account_may_hold_one(self) -> None:
        self.assertEqual(1, share_transactions({}, 1, True).allowance("a"))


class TestIdleTransactions(testtools.TestCase):
    """120 callers of one account begin, write and stay idle, beside others."""

    def _order(self, in_use: int) -> list[tuple[str, bool, bool]]:
        """Return the account of each waiter, whether it is a transaction, and may be served."""
        idle = [QueuedRequest(1, 0, 0, number, "idle", True) for number in range(120)]
        single = [QueuedRequest(1, 0, 0, 120 + number, "idle", False) for number in range(5)]
        others = [QueuedRequest(1, 0, 0, 130 + number, f"o{number}", False) for number in range(9)]
        lanes = {"idle": idle + single} | {other.account: [other] for other in others}
        use = AccountUse({"idle": in_use}, share_transactions({"idle": in_use}, 26, True))
        return [
            (request.account, request.is_transaction, may_be_served)
            for request, may_be_served in order_by_service(lanes, use)
        ]

    def test_transactions_beyond_the_share_are_behind_all_that_may_be_served(self) -> None:
        """Guards against an account that occupies the primary with idle transactions."""
        order = self._order(13)
        self.assertEqual([True] * 14 + [False] * 120, [served for _, _, served in order])
        self.assertEqual({("idle", True)}, {entry[:2] for entry in order[14:]})

    def test_single_statements_of_the_account_are_still_served(self) -> None:
        served = [entry for entry in self._order(13) if entry == ("idle", False, True)]
        self.assertEqual(5, len(served))

    def test_transactions_within_the_share_may_be_served(self) -> None:
        served = [entry for entry in self._order(10) if entry == ("idle", True, True)]
        self.assertEqual(3, len(served))
