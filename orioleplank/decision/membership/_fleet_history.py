"""Which proxies the fleet has, when the store may come back from an older copy.

Load pattern: the store is restored, and the registrations of the copy take the place of the present
ones. A proxy that registered since is missing and may hold a lease. One that left since is back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct, field
from msgspec.structs import replace

from orioleplank.decision.group import CLOCK_DRIFT_MARGIN_S, LEASE_DURATION_S
from orioleplank.decision.membership._fleet import Fleet, ProxyRecord

# How long a proxy whose registration was lost counts as one that may hold a lease.
LOST_PROXY_TIMEOUT_S = LEASE_DURATION_S + 2 * CLOCK_DRIFT_MARGIN_S
# Number of latest incarnations that are known to have ended.
MAX_ENDED_INCARNATIONS = 2000


class LostProxy(Struct, frozen=True):
    """A proxy that was registered before a restore, and whose record the store has lost."""

    record: ProxyRecord
    # When the restore was noticed, in seconds of the lease clock.
    lost_at: float


class FleetHistory(Struct, frozen=True):
    """What one proxy remembers of the fleet beyond the records in the store."""

    # Era of the store from which the latest records are.
    era: int = 0
    # Incarnations whose records were removed or replaced; the values are not used.
    ended: Mapping[str, None] = field(default_factory=dict)
    # By proxy name.
    lost: Mapping[str, LostProxy] = field(default_factory=dict)

    def has_ended(self, record: ProxyRecord, era: int) -> bool:
        """Return whether a record that is read in `era` is of an incarnation that had ended.

        A record that was written in `era` is of a running proxy.
        """
        return record.era < era and record.incarnation in self.ended

    def apply(
        self, listed: Mapping[str, ProxyRecord], known: Fleet, era: int, now: float
    ) -> tuple[FleetHistory, Fleet]:
        """Return the history and the fleet after all records of `era` were listed.

        `known` is the fleet until then; `now` is in seconds of the lease clock.
        """
        is_restored = era > self.era
        present = {
            name: _merge_marks(record, known.proxies.get(name), era)
            for name, record in listed.items()
            if not self.has_ended(record, era)
        }
        lost = self._find_lost(present, known, now) if is_restored else dict(self.lost)
        for name, proxy in tuple(lost.items()):
            is_back = name in present and present[name].era == era
            is_expired = now - proxy.lost_at >= LOST_PROXY_TIMEOUT_S
            if is_back or is_expired:
                del lost[name]
            if is_expired and not is_back:
                present.pop(name, None)
        fleet = Fleet({**present, **{name: proxy.record for name, proxy in lost.items()}})
        ended = self.ended if is_restored else self._find_ended(known, fleet)
        return FleetHistory(era, ended, lost), fleet

    def _find_lost(
        self, present: Mapping[str, ProxyRecord], known: Fleet, now: float
    ) -> dict[str, LostProxy]:
        """Return the known proxies that the records of a new era lack."""
        lost = {}
        for name, record in known.proxies.items():
            found = present.get(name)
            if found is None or found.incarnation != record.incarnation:
                lost[name] = LostProxy(record, now)
        return lost

    def _find_ended(self, known: Fleet, fleet: Fleet) -> Mapping[str, None]:
        """Return the ended incarnations after the fleet has changed from `known`."""
        remaining = {record.incarnation for record in fleet.proxies.values()}
        gone = [r.incarnation for r in known.proxies.values() if r.incarnation not in remaining]
        if not gone and remaining.isdisjoint(self.ended):
            return self.ended
        ended = [name for name in (*self.ended, *gone) if name not in remaining]
        return dict.fromkeys(ended[-MAX_ENDED_INCARNATIONS:])

    def find_lease_holders(
        self, records: Iterable[ProxyRecord], era: int
    ) -> tuple[ProxyRecord, ...]:
        """Return the proxies that may hold a lease, by the `records` listed in `era`.

        A lost proxy that has registered again is listed; its release covers earlier leases.
        """
        holders = {record.name: record for record in records if not self.has_ended(record, era)}
        for name, proxy in self.lost.items():
            if name not in holders or holders[name].era < era:
                holders[name] = proxy.record
        return tuple(holders.values())


def _merge_marks(record: ProxyRecord, known: ProxyRecord | None, era: int) -> ProxyRecord:
    """Return a record with the marks that the same incarnation had before a restore."""
    if record.era == era or known is None or known.incarnation != record.incarnation:
        return record
    return replace(
        record,
        retired=record.retired or known.retired,
        stopping=record.stopping or known.stopping,
    )
