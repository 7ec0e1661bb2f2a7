"""Permits of transactions: one for each, dated by its first statement."""

from __future__ import annotations

from orioleplank.decision.session import NOT_EXECUTED_CODES
from orioleplank.gateway._outcome import Outcome, Refused
from orioleplank.gateway._rate_limiter import RateLimiter
from orioleplank.gateway._transaction import Transaction


class TransactionPermits:
    """Renews, uses up and returns the permits of transactions.

    A transaction gets its permit when it begins, but starts at an instance with its first
    statement.
    """

    def __init__(self, rate_limiter: RateLimiter) -> None:
        self._rate_limiter = rate_limiter

    async def renew(self, transaction: Transaction) -> Refused | None:
        """Replace an expired permit before the first statement; return why there is none.

        Otherwise callers could begin transactions over a long time and start them all at once.
        """
        if transaction.permit is None or not self._rate_limiter.is_expired(transaction.permit):
            return None
        permit = await self._rate_limiter.admit(transaction.account)
        if isinstance(permit, Refused):
            transaction.permit = None
            return permit
        transaction.permit = permit
        return None

    def settle(self, transaction: Transaction, outcome: Outcome, remains_open: bool) -> None:
        """Use up the permit with the first statement that ran, or return it if none will run."""
        if not ran_nothing(outcome):
            transaction.permit = None
        elif not remains_open:
            self.give_back(transaction)

    def give_back(self, transaction: Transaction) -> None:
        """Return the permit of a transaction that ends; without effect if it was used."""
        permit, transaction.permit = transaction.permit, None
        self._rate_limiter.give_back(permit)


def ran_nothing(outcome: Outcome) -> bool:
    """Return whether an operation was refused without having been executed."""
    return isinstance(outcome, Refused) and outcome.failure.code in NOT_EXECUTED_CODES
