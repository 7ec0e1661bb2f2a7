"""The order in which the proxies act for a service."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.membership import Fleet, rank_proxies
from orioleplank.gateway._cluster_state import ClusterState


class _CachedRanking(Struct, frozen=True):
    """The order for one service, with the inputs of its computation."""

    fleet: Fleet
    # Connection owners of the primary.
    owners: tuple[str, ...]
    # Names of the proxies; the first one acts first.
    names: tuple[str, ...]


class ActionRanking:
    """Ranks all active proxies for each service; every proxy computes the same order."""

    def __init__(self, cluster_state: ClusterState, own_name: str) -> None:
        self._cluster_state = cluster_state
        self._own_name = own_name
        self._rankings: dict[str, _CachedRanking] = {}

    def own_rank(self, service: str) -> int:
        """Return this proxy's rank for a service; rank 0 acts first."""
        return self.names(service).index(self._own_name)

    def names(self, service: str) -> tuple[str, ...]:
        """Return all active proxies by rank; connection owners of the primary come first."""
        versioned_record, fleet = (
            self._cluster_state.leases.group_records.get(service),
            self._cluster_state.fleet,
        )
        owners = (
            self._cluster_state.connection_owners(versioned_record.record.primary)
            if versioned_record
            else ()
        )
        cached = self._rankings.get(service)
        if cached is not None and cached.fleet is fleet and cached.owners == owners:
            return cached.names
        names = {record.name for record in fleet.active()} | {self._own_name}
        ranked = owners + tuple(name for name in rank_proxies(service, names) if name not in owners)
        self._rankings[service] = _CachedRanking(fleet, owners, ranked)
        return ranked
