"""The requesting side of rate limits: gets permits from coordinators for operations.

Load pattern: operations of an account arrive at one proxy or at all of them, steadily or in bursts,
below the limit or far above it, while coordinators fail or change. An operation waits for at most
one answer of each coordinator. What a coordinator has refused is remembered until the time that it
stated, so that operations beyond the limit cost no messages.

All times are in seconds of the lease clock. The lifetime of a permit counts from when it was
requested, so that it also expires while the VM is suspended.
"""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.accounts import RateLimit
from orioleplank.decision.membership import PermitGrant, rank_proxies
from orioleplank.decision.quota._account_permits import (
    PERMIT_LIFETIME_S,
    AccountPermits,
    Decide,
    OverLimit,
    Permit,
    Unavailable,
    Waiter,
)
from orioleplank.decision.quota._coordinators import CoordinatorTable

# For how long a coordinator that did not answer is avoided, in seconds.
SILENCE_S = 1.0
# For how long a proxy that denied being a coordinator of an account is not asked for its permits,
# in seconds.
DENIAL_S = 0.25
# Time until a retry of an operation that was refused because no coordinator answered, in seconds.
UNAVAILABLE_RETRY_S = 0.5


class PermitOrder(Struct, frozen=True):
    """A request for permits that is to be sent to a coordinator."""

    # Name of the coordinator.
    coordinator: str
    # Name of the account.
    account: str
    count: int


class PermitHolder:
    """The permits of all accounts at one proxy, and the operations that wait for them."""

    def __init__(self, own_name: str, coordinators: CoordinatorTable) -> None:
        self._own_name = own_name
        self._coordinators = coordinators
        self._accounts: dict[str, AccountPermits] = {}
        # By name of a coordinator that did not answer: until when it is avoided.
        self._silent_until: dict[str, float] = {}
        # Accounts with waiting operations and no pending order, in the order of arrival; the values
        # are not used.
        self._unasked: dict[str, None] = {}

    @property
    def accounts(self) -> frozenset[str]:
        """Names of the accounts for which it holds state."""
        return frozenset(self._accounts)

    @property
    def has_unasked(self) -> bool:
        """True while `collect_orders` has work."""
        return bool(self._unasked)

    def request(self, account: str, limit: RateLimit, decide: Decide, now: float) -> None:
        """Request a permit for one operation; `decide` is called with the decision, now or later.

        After this call, `collect_orders` has to be called.
        """
        state = self._accounts.get(account)
        if state is None:
            state = self._accounts[account] = AccountPermits(account, limit)
        state.record_operation(limit, now)
        permit = state.take(now)
        if permit is not None:
            decide(permit)
            return
        waiter = Waiter(decide, now)
        if self._choose_coordinator(state, waiter, now) is None:
            decide(self._explain_refusal(state, waiter, now))
            return
        state.waiters.append(waiter)
        self._mark_unasked(state)

    def give_back(self, permit: Permit, now: float) -> None:
        """Take back the permit of an operation that was not sent; an expired one is dropped."""
        state = self._accounts.get(permit.account)
        if state is not None and now < permit.expires_at:
            state.add(1, permit.expires_at, now)

    def collect_orders(self, now: float) -> tuple[PermitOrder, ...]:
        """Return the orders to send now; refuse operations for which no coordinator can be asked.

        Each order is dated `now`.
        """
        accounts, self._unasked = self._unasked, {}
        states = (self._accounts[name] for name in accounts if name in self._accounts)
        orders = (self._order(state, now) for state in states)
        return tuple(order for order in orders if order is not None)

    def _order(self, state: AccountPermits, now: float) -> PermitOrder | None:
        """Return the order for all waiting operations, to the coordinator chosen for the first."""
        if state.pending is not None:
            return None
        while state.waiters:
            coordinator = self._choose_coordinator(state, state.waiters[0], now)
            if coordinator is not None:
                state.pending = (coordinator, now)
                return PermitOrder(coordinator, state.account, state.needed_count(now))
            waiter = state.waiters.popleft()
            waiter.decide(self._explain_refusal(state, waiter, now))
        return None

    def handle_grant(
        self, coordinator: str, asked_at: float, grant: PermitGrant, now: float
    ) -> None:
        """Apply an answer of a coordinator to the order of `asked_at`, also a late one."""
        self._silent_until.pop(coordinator, None)
        state = self._accounts.get(grant.account)
        if state is None:
            return
        if not grant.is_coordinator:
            state.denied_until[coordinator] = now + DENIAL_S
        elif grant.wait > 0:
            state.record_refusal(coordinator, now + grant.wait, grant.is_ready)
        state.add(grant.count, asked_at + PERMIT_LIFETIME_S, now)
        state.end_pending(coordinator, asked_at)
        self._mark_unasked(state)

    def handle_silence(self, coordinator: str, account: str, asked_at: float, now: float) -> None:
        """Record that a coordinator has not answered the order of `asked_at` in time."""
        self._silent_until[coordinator] = now + SILENCE_S
        state = self._accounts.get(account)
        if state is not None:
            state.end_pending(coordinator, asked_at)
            self._mark_unasked(state)

    def forget_idle_accounts(self, now: float) -> None:
        """Drop the state of accounts that have sent nothing recently."""
        for account, state in tuple(self._accounts.items()):
            if state.is_idle(now):
                del self._accounts[account]
            else:
                state.forget_expired(now)
        silent = self._silent_until.items()
        self._silent_until = {name: until for name, until in silent if until > now}

    def _mark_unasked(self, state: AccountPermits) -> None:
        if state.waiters and state.pending is None:
            self._unasked[state.account] = None

    def _choose_coordinator(self, state: AccountPermits, waiter: Waiter, now: float) -> str | None:
        """Return the coordinator to ask next for an operation; None if no one may grant a permit.

        A coordinator that did not answer lately is asked only if no other one has refused.
        """
        names = self._order_by_preference(state.account)
        open_to_ask = [n for n in names if n not in waiter.tried and state.may_ask(n, now)]
        responsive = [name for name in open_to_ask if not self._is_silent(name, now)]
        if responsive:
            return responsive[0]
        has_refusal = any(state.is_refused_by(name, waiter.arrived_at) for name in names)
        return open_to_ask[0] if open_to_ask and not has_refusal else None

    def _is_silent(self, coordinator: str, now: float) -> bool:
        return now < self._silent_until.get(coordinator, float("-inf"))

    def _order_by_preference(self, account: str) -> tuple[str, ...]:
        """Return the coordinators: this proxy itself first, then by a ranking that spreads load."""
        coordinators = self._coordinators.coordinators(account)
        if self._own_name in coordinators:
            others = (name for name in coordinators if name != self._own_name)
            return (self._own_name, *others)
        return rank_proxies(f"prefers {self._own_name}", coordinators)

    def _explain_refusal(
        self, state: AccountPermits, waiter: Waiter, now: float
    ) -> OverLimit | Unavailable:
        """Return why no permit is available: the limit, if a coordinator refused because of it."""
        names = self._coordinators.coordinators(state.account)
        refusals = [
            state.refusals[name] for name in names if state.is_refused_by(name, waiter.arrived_at)
        ]
        by_limit = [refusal.until for refusal in refusals if refusal.is_by_limit]
        if by_limit:
            return OverLimit(max(0.0, min(by_limit) - now))
        if refusals:
            until = min(refusal.until for refusal in refusals)
            return Unavailable(max(0.0, until - now), is_new=True)
        return Unavailable(UNAVAILABLE_RETRY_S)
