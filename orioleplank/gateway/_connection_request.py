"""What a request requires of a connection to an instance."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field

from orioleplank.decision.accounts import ANONYMOUS, ClientAccount

# Session id of requests that the proxy makes for itself.
NO_SESSION_ID = 0
# Priority of requests that the proxy makes for itself: the highest.
INTERNAL_PRIORITY = 0


class ConnectionRequest(Struct, frozen=True):
    """A request that needs a connection to an instance."""

    # Time until its deadline, in seconds.
    remaining_time: float
    # Account under which the connection has to be opened.
    account: ClientAccount = ANONYMOUS
    # Priority of its route; 0 is the highest.
    priority: int = INTERNAL_PRIORITY
    # Values that its session has set.
    values: Mapping[str, str] = field(default_factory=dict)
    session_id: int = NO_SESSION_ID
    # True for a probe: a connection of any account serves, also one to a suspected instance, and a
    # long queue is no reason to refuse it, since its timeout shows that the instance has failed.
    is_probe: bool = False
    # True if the connection is for a transaction, which keeps it until its end.
    is_transaction: bool = False

    def may_use(self, account: str | None) -> bool:
        """Return whether a connection of an account serves; None stands for one of all accounts."""
        return self.is_probe or account is None or account == self.account.name
