"""The coordinator's side of rate limits: grants the permits of accounts from token buckets.

Load pattern: an account sends 7.5 times its usual through all proxies of a fleet at once. Each
proxy that is refused is told when to ask again, later the more proxies ask, so that the requests of
one account do not overload its coordinators.

A bucket has half the rate and half the burst of its account, since there are two coordinators.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from orioleplank.decision.accounts import AccountTable, RateLimit
from orioleplank.decision.membership import PermitAsk, PermitGrant
from orioleplank.decision.quota._coordinators import COORDINATOR_COUNT, CoordinatorTable
from orioleplank.decision.quota._token_bucket import TokenBucket

# Requests per second that one coordinator is to receive for one account that is over its limit; the
# more proxies ask, the less often each of them does. docs/CAPACITY.md has the cost of a request.
MAX_ASKS_PER_S = 400.0
# Longest time until a refused proxy asks again, in seconds, so that it learns of a raised limit or
# a filled bucket.
MAX_WAIT_S = 5.0
# Period over which the proxies that ask for an account are counted, in seconds.
COUNTING_PERIOD_S = 1.0


def find_limits(table: AccountTable | None) -> Mapping[str, RateLimit | None]:
    """Return the limits of the accounts of a configuration by name."""
    if table is None:
        return {}
    return {account.name: account.limit for account in table.by_key.values()}


def split_limit(limit: RateLimit) -> tuple[float, float]:
    """Return the rate and the capacity of one coordinator's bucket.

    The capacity is rounded up, so that both coordinators together hold the whole burst.
    """
    return limit.rate / COORDINATOR_COUNT, float(max(1, ceil(limit.burst / COORDINATOR_COUNT)))


class _AccountBucket:
    """The bucket of one account, and the proxies that asked recently."""

    def __init__(self, bucket: TokenBucket, fills_from: float) -> None:
        self.bucket = bucket
        # When the bucket started to fill. Where the coordinator table has another time by now, this
        # bucket is replaced by a new one.
        self.fills_from = fills_from
        self._counted_from = float("-inf")
        self._senders: set[str] = set()
        self._previous_senders: set[str] = set()

    def count_sender(self, sender: str, now: float) -> None:
        """Count a proxy that asks."""
        if now - self._counted_from >= COUNTING_PERIOD_S:
            is_adjacent = now - self._counted_from < 2 * COUNTING_PERIOD_S
            self._previous_senders = self._senders if is_adjacent else set()
            self._senders, self._counted_from = set(), now
        self._senders.add(sender)

    @property
    def sender_count(self) -> int:
        """Number of proxies that asked in this or the previous period."""
        return max(len(self._senders), len(self._previous_senders))

    def was_asked_recently(self, now: float) -> bool:
        """Return whether a proxy asked within the last two periods."""
        return now - self._counted_from < 2 * COUNTING_PERIOD_S


class PermitCoordinator:
    """Grants permits for the accounts of which this proxy is a coordinator.

    It holds state for the accounts that were asked for recently or whose bucket is not full: a
    bucket that is full is the same as a new one that has had the time to fill.
    """

    def __init__(self, coordinators: CoordinatorTable) -> None:
        self._coordinators = coordinators
        self._buckets: dict[str, _AccountBucket] = {}

    @property
    def accounts(self) -> frozenset[str]:
        """Names of the accounts for which it holds state."""
        return frozenset(self._buckets)

    def grant(
        self,
        ask: PermitAsk,
        sender: str,
        limits: Mapping[str, RateLimit | None],
        has_valid_view: bool,
        now: float,
    ) -> PermitGrant:
        """Grant as many of the permits as the account may have now.

        `limits` are the limits in force by account, and `has_valid_view` is whether this proxy's
        view of the store is recent enough to rely on being a coordinator.
        """
        fills_from = self._coordinators.fills_from(ask.account)
        if fills_from is None or not has_valid_view or ask.account not in limits:
            return PermitGrant(ask.account, 0, 0.0, is_coordinator=False)
        limit = limits[ask.account]
        if limit is None:
            return PermitGrant(ask.account, max(0, ask.count), 0.0)
        state = self._find_bucket(ask.account, limit, fills_from, now)
        state.count_sender(sender, now)
        state.bucket, count = state.bucket.take(ask.count, now)
        if count >= ask.count:
            return PermitGrant(ask.account, count, 0.0)
        wait = self._choose_wait(state, now)
        return PermitGrant(ask.account, count, wait, is_ready=now >= fills_from)

    def _find_bucket(
        self, account: str, limit: RateLimit, fills_from: float, now: float
    ) -> _AccountBucket:
        rate, capacity = split_limit(limit)
        state = self._buckets.get(account)
        if state is None or state.fills_from != fills_from:
            bucket = TokenBucket(rate, capacity, 0.0, fills_from)
            state = self._buckets[account] = _AccountBucket(bucket, fills_from)
        state.bucket = state.bucket.change_limit(rate, capacity, now)
        return state

    def _choose_wait(self, state: _AccountBucket, now: float) -> float:
        """Return in how many seconds a proxy that was granted too little asks again."""
        spread = state.sender_count / MAX_ASKS_PER_S
        return min(MAX_WAIT_S, max(spread, state.bucket.next_permit_in(now)))

    def forget_idle_accounts(self, now: float) -> None:
        """Drop the buckets that are full and were not asked recently, or are no longer its own."""
        for account, state in tuple(self._buckets.items()):
            is_own = self._coordinators.fills_from(account) == state.fills_from
            can_fill = state.bucket.rate > 0
            is_needed = state.was_asked_recently(now) or (
                can_fill and not state.bucket.is_full(now)
            )
            if not is_own or not is_needed:
                del self._buckets[account]
