"""How many transactions one account may hold while other accounts need the same instance.

Load pattern: callers of one account begin transactions, write and stay idle. Each keeps its
connection until the idle time of the configuration is over, so that without a limit the account
holds all connections to the primary and nobody else writes.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field

# Share of a pool's connections that transactions of one account may hold.
TRANSACTION_SHARE = 0.5
# How long an account counts as using an instance after its last use, in seconds. Statements are
# short, so that even a steady account has none in progress most of the time: with 15 statements a
# second there are gaps of up to half a second.
RECENT_USE_S = 2.0


class TransactionShare(Struct, frozen=True):
    """The transactions that each account holds of one pool, and the limit for them."""

    # Transactions in progress, by the account's name.
    transactions: Mapping[str, int] = field(default_factory=dict)
    # Largest number of transactions of one account; None if there is no limit, because no more than
    # one account uses the instance.
    limit: int | None = None

    @property
    def is_limiting(self) -> bool:
        """True if there is a limit."""
        return self.limit is not None

    def allowance(self, account: str) -> int | None:
        """Return how many more transactions an account may begin now; None for any number."""
        if self.limit is None:
            return None
        return max(0, self.limit - self.transactions.get(account, 0))


NO_TRANSACTION_SHARE = TransactionShare()


def share_transactions(
    transactions: Mapping[str, int], connection_limit: int, is_shared: bool
) -> TransactionShare:
    """Return the limit for the transactions of each account.

    `is_shared` is true if more than one account uses the instance, waits for it, or has used it
    within `RECENT_USE_S`.
    """
    if not is_shared:
        return NO_TRANSACTION_SHARE
    return TransactionShare(transactions, max(1, int(connection_limit * TRANSACTION_SHARE)))
