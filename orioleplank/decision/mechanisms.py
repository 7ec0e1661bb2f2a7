"""The mechanisms of a proxy that can be switched off, to measure what each one is worth.

All are on in every deployment. None of them is needed to keep a promise about data: without one a
proxy is slower or refuses more, but loses, repeats and misreports nothing. Without rate limits an
account may use more than its share.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, unique

from msgspec import Struct

from orioleplank._exceptions import SettingsError


@unique
class Mechanism(Enum):
    """A mechanism, by the name with which it is switched off."""

    # Requests that would get a connection too late are refused at once.
    EARLY_REFUSAL = "early-refusal"
    # Waiting requests of one priority are served in the order of their deadlines.
    DEADLINE_ORDER = "deadline-order"
    # In a large fleet a few proxies own the connections to an instance.
    CONNECTION_OWNERS = "connection-owners"
    # One proxy of a zone reads the store for the others.
    VIEW_SOURCES = "view-sources"
    # Proxies tell each other the log positions of primaries.
    POSITION_EXCHANGE = "position-exchange"
    # Reads that need a newer position avoid a replica that was behind.
    LAG_BACKOFF = "lag-backoff"
    # Reads wait for a replica that is expected to have their position in time.
    LAG_PREDICTION = "lag-prediction"
    # Positions known from a primary are used after its lease has ended.
    EARLIER_POSITIONS = "earlier-positions"
    # Other proxies ping one that is silent before it is retired.
    INDIRECT_PINGS = "indirect-pings"
    # A planned switchover is postponed while a proxy is silent.
    SWITCHOVER_POSTPONEMENT = "switchover-postponement"
    # Requests wait for the first listings of a proxy that has just started.
    STARTUP_WAIT = "startup-wait"
    # Reads prefer an instance in the proxy's own zone.
    ZONE_PREFERENCE = "zone-preference"
    # Reads prefer an instance that has replied fast and is idle.
    LATENCY_PREFERENCE = "latency-preference"
    # A proxy that cannot reach an instance connects through one that can.
    TUNNELS = "tunnels"
    # A failover that has requested no promotion is taken over early, and its leases count as
    # expiring from the first claim.
    EARLY_SUCCESSION = "early-succession"
    # A primary that responds and fails most of its work is replaced.
    WORK_FAILURES = "work-failures"
    # Statements of an account prefer the same connection owner of an instance.
    ACCOUNT_AFFINITY = "account-affinity"
    # The report of a failed primary is not awaited.
    UNAWAITED_REPORT = "unawaited-report"
    # The number of statements in progress at an instance has a limit that is learned.
    CONCURRENCY_LIMIT = "concurrency-limit"
    # Connection owners report their load, by which instances and owners are chosen.
    OWNER_LOAD = "owner-load"
    # Accounts are held to their rate limits.
    RATE_LIMITS = "rate-limits"
    # Waiting requests of one route priority are served by account: by priority, then the account
    # with the fewest connections in use.
    FAIR_QUEUEING = "fair-queueing"
    # Requests whose caller has left stop waiting, and nothing more is sent for them.
    CANCELLATION = "cancellation"
    # Transactions of one account hold at most half of a pool while other accounts use the instance.
    TRANSACTION_SHARE = "transaction-share"


class MechanismSwitches(Struct, frozen=True):
    """Which mechanisms are switched off."""

    disabled: frozenset[Mechanism] = frozenset()

    def is_on(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is used."""
        return mechanism not in self.disabled


ALL_ON = MechanismSwitches()


def parse_switches(disabled_names: Iterable[str]) -> MechanismSwitches:
    """Return the switches with the named mechanisms off; `SettingsError` for an unknown name."""
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    names = tuple(disabled_names)
    unknown = sorted(set(names) - known.keys())
    if unknown:
        detail = f"no mechanism is called {', '.join(unknown)}; known: {', '.join(known)}"
        raise SettingsError("switch off mechanisms", "", detail)
    return MechanismSwitches(frozenset(known[name] for name in names))
