"""The coordinator's side of rate limits: answers the requests of proxies for permits."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from orioleplank.decision.accounts import AccountTable, RateLimit
from orioleplank.decision.group import LEASE_DURATION_S
from orioleplank.decision.membership import (
    PeerMessage,
    PermitAsk,
    PermitGrant,
    PermitsAsked,
    PermitsTold,
)
from orioleplank.decision.quota import CoordinatorTable, PermitCoordinator, find_limits
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._peer_socket import PeerSocket


class PermitServer:
    """Grants permits for the accounts of which this proxy is a coordinator."""

    def __init__(
        self,
        cluster_state: ClusterState,
        own_name: str,
        coordinators: CoordinatorTable,
        metrics: Metrics,
    ) -> None:
        self._cluster_state = cluster_state
        self._own_name = own_name
        self._coordinator = PermitCoordinator(coordinators)
        self._metrics = metrics
        # The limits by account, and the table from which they are.
        self._limits: Mapping[str, RateLimit | None] = {}
        self._limits_table: AccountTable | None = None
        self.socket: PeerSocket | None = None

    @property
    def accounts(self) -> frozenset[str]:
        """Names of the accounts for which it holds state."""
        return self._coordinator.accounts

    def handle_message(self, message: PeerMessage) -> None:
        """Answer a request for permits; one of a proxy that is not known is dropped."""
        match message:
            case PermitsAsked(sender, number, asks):
                peer = self._cluster_state.fleet.proxies.get(sender)
                if peer is not None and self.socket is not None:
                    answer = PermitsTold(self._own_name, number, self.grant(asks, sender))
                    self.socket.send(peer.address, answer)

    def grant(self, asks: Iterable[PermitAsk], sender: str) -> tuple[PermitGrant, ...]:
        """Grant or refuse each of the requests of a proxy."""
        now = self._cluster_state.lease_clock()
        has_valid_view = now - self._cluster_state.leases.leases_start_at < LEASE_DURATION_S
        limits = self._find_limits()
        grants = tuple(
            self._coordinator.grant(ask, sender, limits, has_valid_view, now) for ask in asks
        )
        for grant in grants:
            if grant.count:
                self._metrics.permits_granted.add(grant.count, grant.account)
        return grants

    def forget_idle_accounts(self) -> None:
        """Drop the state of accounts for which no permits were requested recently."""
        self._coordinator.forget_idle_accounts(self._cluster_state.lease_clock())

    def _find_limits(self) -> Mapping[str, RateLimit | None]:
        table = self._cluster_state.routes.accounts
        if table is not self._limits_table:
            self._limits_table, self._limits = table, find_limits(table)
        return self._limits
