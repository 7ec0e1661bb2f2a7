"""One account at one proxy: its unused permits, waiting operations, and refused requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from msgspec import Struct, field

from orioleplank.decision.accounts import RateLimit
from orioleplank.decision.quota._demand import Demand

# How long a permit may be used after it was requested, in seconds. A longer time needs fewer
# messages, but lets more operations start in one window of the rate limit.
PERMIT_LIFETIME_S = 0.25
# How long the state of an account without operations is kept, in seconds.
IDLE_TIME_S = 3.0


class Permit(Struct, frozen=True):
    """Permission to start one operation."""

    # Name of the account.
    account: str
    expires_at: float


class OverLimit(Struct, frozen=True):
    """The account is over its limit: a refusal by the operator's configuration."""

    # Seconds until the next permit.
    retry_after: float


class Unavailable(Struct, frozen=True):
    """No coordinator can grant permits now: a refusal by the program."""

    # Seconds after which a retry may succeed.
    retry_after: float
    # True if the coordinators are new and do not grant yet; otherwise none of them answered.
    is_new: bool = False


PermitDecision = Permit | OverLimit | Unavailable
Decide = Callable[[PermitDecision], None]


class Refusal(Struct, frozen=True):
    """A coordinator grants nothing more until a time."""

    until: float
    # True if the limit is the reason; False if the coordinator is new and does not grant yet.
    is_by_limit: bool


class Waiter(Struct, eq=False):
    """An operation that waits for a permit."""

    # Called once, with the decision.
    decide: Decide
    arrived_at: float
    # Names of the coordinators that were asked since it arrived and left it without a permit.
    tried: set[str] = field(default_factory=set)


class AccountPermits:
    """Unused permits of one account, and the operations that wait for one, in order of arrival."""

    def __init__(self, account: str, limit: RateLimit) -> None:
        self.account = account
        self.waiters: deque[Waiter] = deque()
        # The coordinator that is being asked, and since when; None if none is.
        self.pending: tuple[str, float] | None = None
        # The latest refusal of each coordinator, by its name.
        self.refusals: dict[str, Refusal] = {}
        # By name of a proxy that denied being a coordinator: until when it is not asked again.
        self.denied_until: dict[str, float] = {}
        self._limit = limit
        self._demand = Demand()
        # When the unused permits expire, in ascending order.
        self._expiries: deque[float] = deque()

    def record_operation(self, limit: RateLimit, now: float) -> None:
        """Record that an operation arrives; a changed limit makes earlier refusals void."""
        self._demand = self._demand.record_operation(now)
        if limit != self._limit:
            self._limit = limit
            self.refusals.clear()

    # Permits.

    def take(self, now: float) -> Permit | None:
        """Take an unused permit, the one that expires first."""
        self._drop_expired(now)
        return Permit(self.account, self._expiries.popleft()) if self._expiries else None

    def add(self, count: int, expires_at: float, now: float) -> None:
        """Add permits that expire at a time, and give them to waiting operations."""
        if now < expires_at:
            merged = sorted((*self._expiries, *(expires_at for _ in range(count))))
            self._expiries = deque(merged)
        while self.waiters and (permit := self.take(now)) is not None:
            self.waiters.popleft().decide(permit)

    def needed_count(self, now: float) -> int:
        """Return how many permits to ask for: for the waiting operations and those to come."""
        return len(self.waiters) + self._demand.expected_count(PERMIT_LIFETIME_S, now)

    # Coordinators.

    def end_pending(self, coordinator: str, asked_at: float) -> None:
        """End the pending order if it is the one of `asked_at`.

        Operations that arrived by that time and still wait go on to the other coordinator.
        """
        if self.pending != (coordinator, asked_at):
            return
        self.pending = None
        for waiter in self.waiters:
            if waiter.arrived_at <= asked_at:
                waiter.tried.add(coordinator)

    def record_refusal(self, coordinator: str, until: float, is_by_limit: bool) -> None:
        """Record that a coordinator grants nothing more until a time."""
        self.refusals[coordinator] = Refusal(until, is_by_limit)

    def is_refused_by(self, coordinator: str, time: float) -> bool:
        """Return whether a coordinator has refused more permits until later than a time."""
        refusal = self.refusals.get(coordinator)
        return refusal is not None and time < refusal.until

    def may_ask(self, coordinator: str, now: float) -> bool:
        """Return whether a coordinator may grant permits if it is asked now."""
        is_denied = now < self.denied_until.get(coordinator, float("-inf"))
        return not is_denied and not self.is_refused_by(coordinator, now)

    # Expiry.

    def is_idle(self, now: float) -> bool:
        """Return whether nothing waits and no operation arrived recently."""
        is_waiting = bool(self.waiters) or self.pending is not None
        return not is_waiting and now - self._demand.updated_at >= IDLE_TIME_S

    def forget_expired(self, now: float) -> None:
        """Drop permits, refusals and denials that no longer count."""
        self._drop_expired(now)
        # A refusal that has just expired still explains why waiting operations get no permit.
        is_recent = {n: now < r.until + IDLE_TIME_S for n, r in self.refusals.items()}
        self.refusals = {n: r for n, r in self.refusals.items() if is_recent[n]}
        self.denied_until = {n: until for n, until in self.denied_until.items() if now < until}

    def _drop_expired(self, now: float) -> None:
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
