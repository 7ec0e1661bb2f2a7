"""Which proxies grant the permits of an account, and since when this proxy is one of them.

Each account has two coordinators: the first two active proxies in a ranking by account. Every proxy
computes them by itself, and a change of the fleet moves only the accounts of the proxies concerned.

A new coordinator does not know what the previous one has granted. The previous one may also still
grant permits to proxies that do not know of the change. Therefore the time at which the bucket of
the new one starts to fill depends on how it became a coordinator.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from orioleplank.decision.group import LEASE_DURATION_S
from orioleplank.decision.membership import Fleet, rank_proxies

# Coordinators of each account; while one of them has failed, the other one grants permits.
COORDINATOR_COUNT = 2
# Time from a change of the fleet until a new coordinator's bucket starts to fill, in seconds: the
# other proxies learn of the change within it.
HANDOVER_DELAY_S = 1.0
# Number of the latest changes of the fleet that are kept, from which this proxy finds out when it
# became a coordinator. An older change counts as the oldest one that is kept, which delays a bucket
# but never grants too much.
MAX_KEPT_CHANGES = 32


def select_coordinators(account: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the names of the coordinators of an account among the active proxies."""
    return rank_proxies(_ranking_key(account), names)[:COORDINATOR_COUNT]


def _ranking_key(account: str) -> str:
    return f"permits {account}"


class FleetChange(Struct, frozen=True):
    """Proxies that became active or ceased to be active at one time."""

    # In seconds of the lease clock.
    at: float
    added: frozenset[str]
    removed: frozenset[str]


class CoordinatorTable:
    """The coordinators of accounts in the fleet that one proxy knows, and when they changed.

    The coordinators of an account are computed when they are first needed. Later changes of the
    fleet update them by comparing with the proxies that were added, so that a change costs little
    in a large fleet.
    """

    def __init__(self, own_name: str, own_incarnation: str) -> None:
        self._own_name = own_name
        self._own_incarnation = own_incarnation
        self._fleet: Fleet | None = None
        self._names: tuple[str, ...] = ()
        self._changes: list[FleetChange] = []
        # Retired proxies by name, and when each was first seen as retired.
        self._retired_at: dict[str, float] = {}
        # Coordinators by account, of the accounts that were asked for.
        self._coordinators: dict[str, tuple[str, ...]] = {}
        # When the bucket starts to fill, by account, of those that this proxy coordinates.
        self._fills_from: dict[str, float] = {}

    def apply_fleet(self, fleet: Fleet, retired_at: Mapping[str, float], now: float) -> None:
        """Apply the known fleet; `retired_at` has the times by incarnation."""
        if fleet is self._fleet:
            return
        self._fleet = fleet
        self._retired_at = {
            record.name: retired_at.get(record.incarnation, now)
            for record in fleet.proxies.values()
            if record.retired
        }
        # A record of an earlier process of this proxy does not make this process a coordinator.
        names = tuple(
            record.name
            for record in fleet.active()
            if record.name != self._own_name or record.incarnation == self._own_incarnation
        )
        self._apply_names(names, now)

    def _apply_names(self, names: tuple[str, ...], now: float) -> None:
        previous, current = frozenset(self._names), frozenset(names)
        self._names = names
        added, removed = current - previous, previous - current
        if not added and not removed:
            return
        self._changes.append(FleetChange(now, added, removed))
        del self._changes[:-MAX_KEPT_CHANGES]
        for account, coordinators in tuple(self._coordinators.items()):
            if removed.intersection(coordinators):
                del self._coordinators[account]
            else:
                candidates = (*coordinators, *added)
                self._coordinators[account] = select_coordinators(account, candidates)
        for account in tuple(self._fills_from):
            if self._own_name not in self.coordinators(account):
                del self._fills_from[account]

    def coordinators(self, account: str) -> tuple[str, ...]:
        """Return the names of the coordinators of an account; empty while no proxy is known."""
        coordinators = self._coordinators.get(account)
        if coordinators is None:
            coordinators = select_coordinators(account, self._names)
            self._coordinators[account] = coordinators
        return coordinators

    def keep_accounts(self, accounts: frozenset[str]) -> None:
        """Forget the coordinators of all accounts but these."""
        for account in self._coordinators.keys() - accounts:
            del self._coordinators[account]
            self._fills_from.pop(account, None)

    def fills_from(self, account: str) -> float | None:
        """Return when this proxy's bucket for an account starts to fill; None if it has none.

        The value is the same for as long as this proxy remains a coordinator of the account.
        """
        if self._own_name not in self.coordinators(account):
            return None
        if account not in self._fills_from:
            since = self._held_since(account)
            retirements = self._find_retired_predecessors(account, since)
            waits = [at + LEASE_DURATION_S for at in retirements]
            self._fills_from[account] = max([since + HANDOVER_DELAY_S, *waits])
        return self._fills_from[account]

    def _held_since(self, account: str) -> float:
        """Return when this proxy became a coordinator of an account.

        This is the latest change of the fleet that added this proxy, or before which
        `COORDINATOR_COUNT` proxies ranked ahead of it.
        """
        coordinators = self.coordinators(account)
        ahead = set(coordinators[: coordinators.index(self._own_name)])
        for change in reversed(self._changes):
            if self._own_name in change.added:
                return change.at
            ahead -= change.added
            ahead |= self._find_ahead(account, change.removed)
            if len(ahead) >= COORDINATOR_COUNT:
                return change.at
        return self._changes[0].at

    def _find_ahead(self, account: str, names: frozenset[str]) -> set[str]:
        """Return the proxies of `names` that rank before this one for an account."""
        ranked = rank_proxies(_ranking_key(account), (*names, self._own_name))
        return set(ranked[: ranked.index(self._own_name)])

    def _find_retired_predecessors(self, account: str, since: float) -> tuple[float, ...]:
        """Return when those proxies were retired that this one may have replaced.

        These are the retired proxies that would be a coordinator if they were active and this proxy
        was not there. One that was retired after `since` was a coordinator beside this proxy.
        """
        others = tuple(name for name in self._names if name != self._own_name)
        times = []
        for name, retired_at in self._retired_at.items():
            if retired_at <= since and name in select_coordinators(account, (*others, name)):
                times.append(retired_at)
        return tuple(times)
