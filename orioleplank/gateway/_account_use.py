"""Counts what each account has of the connections of one pool."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection

from msgspec import Struct

from orioleplank.decision.admission import RECENT_USE_S, AccountUse, share_transactions
from orioleplank.decision.mechanisms import Mechanism, MechanismSwitches
from orioleplank.gateway._connection_request import ConnectionRequest


class ConnectionUse(Struct, frozen=True):
    """One use of a connection."""

    # When it began, in seconds.
    taken_at: float
    request: ConnectionRequest


class AccountUseCounter:
    """Counts connections in use and transactions by account; probes are of no account."""

    def __init__(self, now: Callable[[], float], mechanisms: MechanismSwitches) -> None:
        self._now = now
        self._shares_transactions = mechanisms.is_on(Mechanism.TRANSACTION_SHARE)
        self._connections: Counter[str] = Counter()
        self._transactions: Counter[str] = Counter()
        # When each account last began or ended a use, in seconds.
        self._last_used_at: dict[str, float] = {}

    def begin(self, request: ConnectionRequest) -> ConnectionUse:
        """Count a connection as used by the account of a request."""
        if not request.is_probe:
            self._connections[request.account.name] += 1
            self._transactions[request.account.name] += request.is_transaction
            self._last_used_at[request.account.name] = self._now()
        return ConnectionUse(self._now(), request)

    def end(self, use: ConnectionUse) -> None:
        """Count a connection as free again."""
        request = use.request
        if request.is_probe:
            return
        self._connections[request.account.name] -= 1
        self._transactions[request.account.name] -= request.is_transaction
        self._last_used_at[request.account.name] = self._now()

    def summarize(self, connection_limit: int, waiting: Collection[str]) -> AccountUse:
        """Return what the accounts have now; `waiting` are the accounts that have waiters."""
        if not self._shares_transactions or len(self._last_used_at.keys() | waiting) < 2:
            return AccountUse(self._connections)
        using_accounts = self._count_using(waiting)
        share = share_transactions(self._transactions, connection_limit, using_accounts)
        return AccountUse(self._connections, share)

    def _count_using(self, waiting: Collection[str]) -> int:
        """Return how many accounts use the instance or wait for it; forget all others."""
        used_since = self._now() - RECENT_USE_S
        self._last_used_at = {
            account: used_at
            for account, used_at in self._last_used_at.items()
            if self._connections[account] or used_at >= used_since
        }
        return len(self._last_used_at.keys() | waiting)
