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
        # When each account last began or ended a use, in seconds; the oldest first.
        self._last_used_at: dict[str, float] = {}

    def begin(self, request: ConnectionRequest) -> ConnectionUse:
        """Count a connection as used by the account of a request."""
        if not request.is_probe:
            self._connections[request.account.name] += 1
            if request.is_transaction:
                self._transactions[request.account.name] += 1
            self._record_use(request.account.name)
        return ConnectionUse(self._now(), request)

    def end(self, use: ConnectionUse) -> None:
        """Count a connection as free again."""
        request = use.request
        if request.is_probe:
            return
        self._connections[request.account.name] -= 1
        if request.is_transaction:
            self._transactions[request.account.name] -= 1
        self._record_use(request.account.name)

    def summarize(self, connection_limit: int, waiting: Collection[str]) -> AccountUse:
        """Return what the accounts have now; `waiting` are the accounts that have waiters."""
        if not self._shares_transactions or not self._have_several_users(waiting):
            return AccountUse(self._connections)
        share = share_transactions(self._transactions, connection_limit, is_shared=True)
        return AccountUse(self._connections, share)

    def _have_several_users(self, waiting: Collection[str]) -> bool:
        """Return whether more than one account uses the instance or waits for it."""
        if len(waiting) > 1:
            return True
        used_since = self._now() - RECENT_USE_S
        users = set(waiting)
        for account in reversed(self._last_used_at):
            if self._last_used_at[account] >= used_since or self._connections[account]:
                users.add(account)
            if len(users) > 1:
                return True
        return False

    def _record_use(self, account: str) -> None:
        """Record a use now, and forget the account that was used least recently once it is gone."""
        self._last_used_at.pop(account, None)
        self._last_used_at[account] = self._now()
        oldest = next(iter(self._last_used_at))
        is_recent = self._last_used_at[oldest] >= self._now() - RECENT_USE_S
        if is_recent or self._connections[oldest]:
            return
        for counts in (self._last_used_at, self._connections, self._transactions):
            counts.pop(oldest, None)
