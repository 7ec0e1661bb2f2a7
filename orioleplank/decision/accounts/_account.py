"""Client accounts and the keys with which callers identify themselves."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field


class RateLimit(Struct, frozen=True):
    """How many operations of an account may start, over all proxies."""

    # Operations per second.
    rate: float
    # Operations that may start at once after a pause.
    burst: float


class ClientAccount(Struct, frozen=True):
    """An account whose callers share a priority and a rate limit; it does not contain its keys."""

    # The name under which connections to instances are opened; empty for callers without an
    # account.
    name: str
    # 0 is the highest priority. It decides among requests of routes of the same priority.
    priority: int = 0
    # None for an account without a limit.
    limit: RateLimit | None = None


# The account of callers that are not identified.
ANONYMOUS = ClientAccount("")


class AccountTable(Struct, frozen=True):
    """The accounts of one version of the configuration."""

    # Accounts by key. A key that several accounts claim belongs to none of them.
    by_key: Mapping[str, ClientAccount] = field(default_factory=dict)


def identify_caller(
    table: AccountTable | None, key: str, is_public: bool = False
) -> ClientAccount | None:
    """Return the account to which a key belongs; None if its caller may not run anything.

    `table` is None where the configuration has no accounts: then all callers are anonymous. A
    public route also serves callers with an unknown key, as anonymous ones.
    """
    if table is None:
        return ANONYMOUS
    account = table.by_key.get(key)
    if account is None and is_public:
        return ANONYMOUS
    return account
