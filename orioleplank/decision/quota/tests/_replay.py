"""Replays the load of accounts on the decisions of a fleet of proxies, without a network.

Messages, the fleet's records and the lease clock are simulated. The configuration is known to all
proxies at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from orioleplank.decision.accounts import RateLimit
from orioleplank.decision.group import LEASE_DURATION_S
from orioleplank.decision.membership import Fleet, PermitAsk, PermitGrant, ProxyRecord
from orioleplank.decision.quota import (
    CoordinatorTable,
    OverLimit,
    Permit,
    PermitCoordinator,
    PermitDecision,
    PermitHolder,
    PermitOrder,
    select_coordinators,
)

ANSWER_TIMEOUT_S = 0.08
HOUSEKEEPING_INTERVAL_S = 0.5
# Time until a change of the fleet's records is known to a proxy that is not cut off.
VIEW_DELAY_S = 0.2
# One-way latency between proxies, in seconds.
LATENCY_S = 0.0034
REGION_LATENCY_S = 0.012
REGIONS = 3
WINDOW_S = 5.0
# Share and number of operations beyond the limit that the bound allows.
OVERSHOOT = 0.1
SLACK = 20.0


@dataclass(slots=True)
class ReplayedProxy:
    """One proxy; its decisions are those of its current process."""

    name: str
    region: int
    incarnation: int = 0
    is_alive: bool = True
    # Until when it is frozen: messages and operations for it are handled then.
    frozen_until: float = 0.0
    # When it last had a complete view of the store.
    view_at: float = 0.0
    is_cut_from_store: bool = False
    retired_at: dict[str, float] = field(default_factory=dict)
    coordinators: CoordinatorTable = field(init=False)
    holder: PermitHolder = field(init=False)
    server: PermitCoordinator = field(init=False)

    @property
    def incarnation_name(self) -> str:
        """Incarnation of its current process."""
        return f"{self.name}-{self.incarnation}"

    def start(self) -> None:
        """Start a process, which knows nothing."""
        self.incarnation += 1
        self.is_alive = True
        self.retired_at = {}
        self.coordinators = CoordinatorTable(self.name, self.incarnation_name)
        self.holder = PermitHolder(self.name, self.coordinators)
        self.server = PermitCoordinator(self.coordinators)


class Replay:
    """A fleet of proxies on virtual time, and what their accounts were granted."""

    def __init__(self, proxies: int, limits: dict[str, RateLimit | None], seed: int = 1) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.limits = limits
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self.cut_pairs: set[frozenset[str]] = set()
        # When operations were admitted, by account, and how many were refused, with the reason.
        self.admitted: dict[str, list[float]] = {name: [] for name in limits}
        self.refusals: Counter[tuple[str, str]] = Counter()
        self.refusals_at: dict[str, list[float]] = {name: [] for name in limits}
        # Longest time for which an operation waited for its permit.
        self.longest_wait = 0.0
        self.asks: Counter[str] = Counter()
        self.records: dict[str, ProxyRecord] = {}
        self.proxies = {
            f"p-{number}": ReplayedProxy(f"p-{number}", number % REGIONS)
            for number in range(proxies)
        }
        for proxy in self.proxies.values():
            proxy.start()
            self._register(proxy)
        self.publish()
        self.call_later(HOUSEKEEPING_INTERVAL_S, self._keep_house)

    # Time.

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Make a call after a delay."""
        heappush(self._calls, (self.now + seconds, next(self._numbers), call))

    def run_until(self, end: float) -> None:
        """Make all calls up to a time."""
        while self._calls and self._calls[0][0] <= end:
            self.now, _, call = heappop(self._calls)
            call()
        self.now = end

    def call_on(self, proxy: ReplayedProxy, call: Callable[[], None]) -> None:
        """Make a call at a proxy: later while it is frozen, never after its process has ended."""
        incarnation = proxy.incarnation

        def run_call() -> None:
            if not proxy.is_alive or proxy.incarnation != incarnation:
                return
            if self.now < proxy.frozen_until:
                self.call_later(proxy.frozen_until - self.now, run_call)
            else:
                call()

        run_call()

    # Load.

    def send_steadily(
        self, account: str, rate: float, names: Iterable[str], start: float, end: float
    ) -> None:
        """Send operations of an account at random times through random ones of the proxies."""
        proxies, at = [self.proxies[name] for name in names], start
        while (at := at + self.random.expovariate(rate)) < end:
            self.send_at(at, account, self.random.choice(proxies))

    def send_burst(self, account: str, operations: int, name: str, at: float) -> None:
        """Send operations of an account at once through one proxy."""
        for _ in range(operations):
            self.send_at(at, account, self.proxies[name])

    def send_at(self, at: float, account: str, proxy: ReplayedProxy) -> None:
        """Send one operation through a proxy; none while the proxy is not running."""
        self.call_later(at - self.now, partial(self.call_late, proxy, account))

    def call_late(self, proxy: ReplayedProxy, account: str) -> None:
        """Hand an operation to a proxy."""
        if proxy.is_alive:
            self.call_on(proxy, partial(self._request, proxy, account))

    def _request(self, proxy: ReplayedProxy, account: str) -> None:
        limit = self.limits[account]
        assert limit is not None
        decide = partial(self._record, account, self.now)
        proxy.holder.request(account, limit, decide, self.now)
        # All operations of one instant share a request.
        self.call_later(0.0, partial(self.call_on, proxy, partial(self._flush, proxy)))

    def _record(self, account: str, arrived_at: float, decision: PermitDecision) -> None:
        self.longest_wait = max(self.longest_wait, self.now - arrived_at)
        match decision:
            case Permit(_, expires_at):
                assert self.now < expires_at
                self.admitted[account].append(self.now)
            case OverLimit():
                self.refusals[account, "limit"] += 1
                self.refusals_at[account].append(self.now)
            case _:
                self.refusals[account, "unavailable"] += 1
                self.refusals_at[account].append(self.now)

    # Messages.

    def _flush(self, proxy: ReplayedProxy) -> None:
        while proxy.holder.has_unasked:
            for order in proxy.holder.collect_orders(self.now):
                self._ask(proxy, order)

    def _ask(self, proxy: ReplayedProxy, order: PermitOrder) -> None:
        asked_at, coordinator = self.now, self.proxies[order.coordinator]
        if coordinator is proxy:
            grant = self._grant(proxy, order, proxy.name)
            proxy.holder.handle_grant(proxy.name, asked_at, grant, self.now)
            return
        self.asks[order.account] += 1
        answered: list[bool] = []

        def handle_answer(grant: PermitGrant) -> None:
            answered.append(True)
            proxy.holder.handle_grant(coordinator.name, asked_at, grant, self.now)
            self._flush(proxy)

        def answer() -> None:
            grant = self._grant(coordinator, order, proxy.name)
            self._deliver(coordinator, proxy, partial(handle_answer, grant))

        def expire() -> None:
            if not answered:
                proxy.holder.handle_silence(coordinator.name, order.account, asked_at, self.now)
                self._flush(proxy)

        self._deliver(proxy, coordinator, answer)
        self.call_later(ANSWER_TIMEOUT_S, partial(self.call_on, proxy, expire))

    def _grant(self, proxy: ReplayedProxy, order: PermitOrder, sender: str) -> PermitGrant:
        if not proxy.is_cut_from_store and self.now >= proxy.frozen_until:
            proxy.view_at = max(proxy.view_at, self.now - VIEW_DELAY_S)
        has_valid_view = self.now - proxy.view_at < LEASE_DURATION_S
        ask = PermitAsk(order.account, order.count)
        return proxy.server.grant(ask, sender, self.limits, has_valid_view, self.now)

    def _deliver(
        self, source: ReplayedProxy, target: ReplayedProxy, call: Callable[[], None]
    ) -> None:
        if frozenset((source.name, target.name)) in self.cut_pairs:
            return
        latency = LATENCY_S if source.region == target.region else REGION_LATENCY_S
        delay = latency * (1.0 + 0.2 * self.random.random())
        self.call_later(delay, partial(self.call_on, target, call))

    # Faults.

    def coordinators(self, account: str) -> tuple[str, ...]:
        """Return the coordinators of an account by the store's records."""
        return select_coordinators(account, tuple(r.name for r in self._fleet().active()))

    def kill(self, name: str) -> None:
        """End a process; its record stays as it is."""
        self.proxies[name].is_alive = False

    def restart(self, name: str) -> None:
        """Start a process that registers at once."""
        proxy = self.proxies[name]
        proxy.start()
        self._register(proxy)
        self.publish()

    def add(self, name: str) -> None:
        """Add a proxy to the fleet."""
        proxy = self.proxies[name] = ReplayedProxy(name, len(self.proxies) % REGIONS)
        proxy.start()
        self._register(proxy)
        self.publish()

    def retire(self, name: str) -> None:
        """Mark a proxy as unresponsive in the store."""
        record = self.records[name]
        self.records[name] = ProxyRecord(
            name, record.incarnation, record.address, record.zone, retired=True
        )
        self.publish()

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a proxy for a time."""
        self.proxies[name].frozen_until = self.now + seconds

    def isolate(self, name: str, others: Iterable[str]) -> None:
        """Cut a proxy off from the store and from others."""
        proxy = self.proxies[name]
        proxy.view_at, proxy.is_cut_from_store = self.now, True
        self.cut_pairs.update(frozenset((name, other)) for other in others if other != name)

    def publish(self) -> None:
        """Make the records known to the proxies that are not cut off from the store."""
        fleet = self._fleet()
        for proxy in self.proxies.values():
            apply = partial(self._apply_fleet, proxy, fleet)
            if proxy.is_alive and not proxy.is_cut_from_store:
                delay = VIEW_DELAY_S * self.random.random()
                self.call_later(delay, partial(self.call_on, proxy, apply))

    def _fleet(self) -> Fleet:
        return Fleet(dict(self.records))

    def _register(self, proxy: ReplayedProxy) -> None:
        self.records[proxy.name] = ProxyRecord(
            proxy.name, proxy.incarnation_name, "10.0.0.1:1", "zone-a"
        )

    def _apply_fleet(self, proxy: ReplayedProxy, fleet: Fleet) -> None:
        retired = {r.incarnation for r in fleet.proxies.values() if r.retired}
        proxy.retired_at = {name: proxy.retired_at.get(name, self.now) for name in retired}
        proxy.coordinators.apply_fleet(fleet, proxy.retired_at, self.now)

    def _keep_house(self) -> None:
        for proxy in self.proxies.values():
            if proxy.is_alive and self.now >= proxy.frozen_until:
                proxy.holder.forget_idle_accounts(self.now)
                proxy.server.forget_idle_accounts(self.now)
                proxy.coordinators.keep_accounts(proxy.holder.accounts | proxy.server.accounts)
        self.call_later(HOUSEKEEPING_INTERVAL_S, self._keep_house)

    # Results.

    def find_excess(self, account: str, limit: RateLimit | None = None) -> float:
        """Return by how much the fullest window exceeds the bound; negative if it holds."""
        limit = limit or self.limits[account]
        assert limit is not None
        return max_in_window(self.admitted[account]) - allowed_in_window(limit)


def allowed_in_window(limit: RateLimit) -> float:
    """Return how many operations may run in any window."""
    return (limit.rate * WINDOW_S + limit.burst) * (1 + OVERSHOOT) + SLACK


def max_in_window(times: Iterable[float]) -> int:
    """Return the largest number of times in any sliding window."""
    ordered, first, largest = sorted(times), 0, 0
    for index, at in enumerate(ordered):
        while at - ordered[first] > WINDOW_S:
            first += 1
        largest = max(largest, index - first + 1)
    return largest
