"""Admission of the operations of one caller: its route, its key and a coming shutdown."""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.instances import Route
from orioleplank.decision.session import FailureCode
from orioleplank.gateway._cluster_state import ClusterState
from orioleplank.gateway._outcome import Refused, refuse, refuse_by_operator

# Why a request is refused while the proxy shuts down.
SHUTDOWN_REASON = "this proxy is stopping; use another connection"
# Why a caller is refused whose key no account has.
UNKNOWN_KEY_REASON = "the key belongs to no account of the configuration"


class IdentifiedCaller(Struct, frozen=True):
    """The route and the account of an operation."""

    # Route of the session's database.
    route: Route
    # Account to which the caller's key belongs.
    account: ClientAccount


class OperationAdmission:
    """Decides whether a caller may begin a transaction or run a statement now.

    The rate limit of its account is checked afterwards.
    """

    def __init__(self, database: str, key: str, cluster_state: ClusterState) -> None:
        self._database = database
        # Identifies the caller; never logged or sent on.
        self._key = key
        self._cluster_state = cluster_state

    def check_transaction(self) -> IdentifiedCaller | Refused:
        """Return the caller of a transaction, or why it may not begin."""
        caller = self._identify("begin")
        if isinstance(caller, Refused):
            return caller
        if not self._cluster_state.accepts_transaction():
            return refuse(FailureCode.BUSY, "begin", SHUTDOWN_REASON)
        return caller

    def check_statement(self) -> IdentifiedCaller | Refused:
        """Return the caller of a statement outside transactions, or why it may not run."""
        caller = self._identify("admit")
        if isinstance(caller, Refused):
            return caller
        if not self._cluster_state.accepts_request(caller.route.timeout):
            return refuse(FailureCode.BUSY, "admit", SHUTDOWN_REASON)
        return caller

    def is_account_unchanged(self, route: Route, account: ClientAccount) -> bool:
        """Return whether the caller's key still belongs to the account that began a transaction."""
        current = self._cluster_state.identify(self._key, route)
        return current is not None and current.name == account.name

    def _identify(self, step: str) -> IdentifiedCaller | Refused:
        route = self._cluster_state.route(self._database)
        if route is None:
            return self._refuse_route()
        account = self._cluster_state.identify(self._key, route)
        if account is None:
            return refuse_by_operator(FailureCode.UNAUTHENTICATED, step, UNKNOWN_KEY_REASON)
        return IdentifiedCaller(route, account)

    def _refuse_route(self) -> Refused:
        if self._cluster_state.routes.version == 0:
            return refuse(FailureCode.BUSY, "find route", "no configuration is known yet")
        detail = f"no route is called {self._database[:60]}"
        return refuse(FailureCode.UNKNOWN_DATABASE, "find route", detail)
