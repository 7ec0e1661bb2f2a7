"""What differs between two versions of the configuration.

A version has one content, whoever has read it. So the changes from one version to another can be
applied by everybody who has the first one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from orioleplank._exceptions import OrioleplankError
from orioleplank.decision._change_history import ChangeHistory
from orioleplank.decision._map_changes import MapChanges, find_changed_keys, select_changes
from orioleplank.decision.accounts import AccountTable, ClientAccount
from orioleplank.decision.instances._routes import Route, RouteTable, ServiceLimits


class ChangesMismatchError(OrioleplankError):
    """Changes of the configuration do not apply to the version that is in force."""

    def __init__(self, detail: str) -> None:
        super().__init__("apply changes", "", detail)


class RouteChanges(Struct, frozen=True):
    """The changes from one version of the configuration to a newer one."""

    # The version to which they apply; 0 for the empty table, to which the whole content is added.
    base: int
    version: int
    transaction_idle: float
    routes: MapChanges[Route]
    services: MapChanges[ServiceLimits]
    # Changed accounts by key; None if the newer version has no list of accounts.
    accounts: MapChanges[ClientAccount] | None
    # Number of routes of the newer version.
    route_count: int

    def apply_to(self, table: RouteTable) -> RouteTable:
        """Return the newer version; raise `ChangesMismatchError` if it does not follow `table`."""
        base = table if self.base else RouteTable()
        if self.base != base.version:
            raise ChangesMismatchError(f"they follow {self.base}, not {table.version}")
        result = RouteTable(
            self.version,
            self.routes.apply_to(base.routes),
            self.services.apply_to(base.services),
            self.transaction_idle,
            self._apply_accounts(base.accounts or AccountTable()),
        )
        if len(result.routes) != self.route_count:
            raise ChangesMismatchError(f"{len(result.routes)} routes, not {self.route_count}")
        return result

    def _apply_accounts(self, base: AccountTable) -> AccountTable | None:
        if self.accounts is None:
            return None
        return AccountTable(self.accounts.apply_to(base.by_key))


class RouteHistory(Struct, frozen=True):
    """What changed in the latest versions that one proxy had in force; immutable."""

    databases: ChangeHistory = ChangeHistory()
    services: ChangeHistory = ChangeHistory()
    # Keys of accounts.
    account_keys: ChangeHistory = ChangeHistory()

    def record(self, before: RouteTable, after: RouteTable) -> RouteHistory:
        """Return the history after one more version is in force."""
        if before.version == 0:
            return RouteHistory()
        versions = (before.version, after.version)
        accounts = (_accounts_by_key(before), _accounts_by_key(after))
        return RouteHistory(
            self.databases.record(*versions, find_changed_keys(before.routes, after.routes)),
            self.services.record(*versions, find_changed_keys(before.services, after.services)),
            self.account_keys.record(*versions, find_changed_keys(*accounts)),
        )

    def changes_since(self, version: int, table: RouteTable) -> RouteChanges:
        """Return the changes from `version` to `table`, the version that is in force.

        These are the whole table if the proxy did not have `version` in force, or forgot it.
        """
        databases = self.databases.keys_since(version)
        services = self.services.keys_since(version)
        account_keys = self.account_keys.keys_since(version)
        accounts = _accounts_by_key(table)
        if databases is None or services is None or account_keys is None:
            return self._select(0, table, table.routes, table.services, accounts)
        return self._select(version, table, databases, services, account_keys)

    def _select(
        self,
        base: int,
        table: RouteTable,
        databases: Iterable[str],
        services: Iterable[str],
        account_keys: Iterable[str],
    ) -> RouteChanges:
        accounts = _accounts_by_key(table)
        return RouteChanges(
            base,
            table.version,
            table.transaction_idle,
            select_changes(table.routes, databases),
            select_changes(table.services, services),
            None if table.accounts is None else select_changes(accounts, account_keys),
            len(table.routes),
        )


def _accounts_by_key(table: RouteTable) -> Mapping[str, ClientAccount]:
    return table.accounts.by_key if table.accounts is not None else {}
