"""Keys of client accounts in a run: a fixed one, or some that are withdrawn and moved."""

from __future__ import annotations

from random import Random
from typing import Protocol

from orioleplank.decision.accounts import AccountTable, ClientAccount

ACCOUNTS = tuple(ClientAccount(f"account-{number}", number % 2) for number in range(3))
KEYS = tuple(f"key-{number}" for number in range(6))
UNKNOWN_KEY = "key-unknown"
# A proxy that is cut off or suspended may serve by a configuration as old as this, in seconds: as
# long as the longest fault, and the time to learn the newest one after it.
MAX_CONFIGURATION_AGE_S = 25.0


class AccountCluster(Protocol):
    """A deployment whose accounts can be changed."""

    @property
    def now(self) -> float:
        """Return the deployment's time in seconds."""

    def change_accounts(self, accounts: AccountTable | None) -> None:
        """Publish a new version of the configuration with these accounts."""


class KeySource(Protocol):
    """Where the callers of a run get their keys from."""

    def choose_key(self, caller: int) -> str:
        """Return the key of a new session of a caller by number; it need not be valid."""

    def recent_accounts(self, key: str) -> set[str]:
        """Return the names of the accounts that have or lately had a key."""


class FixedKey:
    """The key of a single account to which all callers belong."""

    key = "key-only"

    def __init__(self, cluster: AccountCluster, account: ClientAccount) -> None:
        self._account = account
        cluster.change_accounts(AccountTable({self.key: account}))

    def choose_key(self, caller: int) -> str:
        """Return the key."""
        return self.key

    def recent_accounts(self, key: str) -> set[str]:
        """Return the name of the account."""
        return {self._account.name}


class ChangingKeys:
    """The keys by account, and to which accounts each key has belonged."""

    def __init__(self, cluster: AccountCluster, random: Random) -> None:
        self._cluster = cluster
        self._random = random
        # Each version of the accounts with the time at which it ended; the current one is last.
        self._versions: list[tuple[float, dict[str, ClientAccount]]] = []
        self._publish({key: ACCOUNTS[index % 3] for index, key in enumerate(KEYS)})

    def change(self) -> None:
        """Withdraw a random key, or give it to a random account."""
        current = dict(self._versions[-1][1])
        key = self._random.choice(KEYS)
        if current.pop(key, None) is None or self._random.random() < 0.5:
            current[key] = self._random.choice(ACCOUNTS)
        self._publish(current)

    def choose_key(self, caller: int) -> str:
        """Return a random key, which may be withdrawn, or seldom one that was never configured."""
        return self._random.choice((*KEYS, *KEYS, UNKNOWN_KEY))

    def recent_accounts(self, key: str) -> set[str]:
        """Return the names of the accounts that have or lately had a key."""
        oldest = self._cluster.now - MAX_CONFIGURATION_AGE_S
        return {
            accounts[key].name
            for ended_at, accounts in self._versions
            if key in accounts and ended_at >= oldest
        }

    def _publish(self, accounts: dict[str, ClientAccount]) -> None:
        if self._versions:
            self._versions[-1] = (self._cluster.now, self._versions[-1][1])
        self._versions.append((float("inf"), accounts))
        self._cluster.change_accounts(AccountTable(accounts))
