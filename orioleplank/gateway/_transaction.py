"""The transaction of a session."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct, field

from orioleplank.decision.accounts import ClientAccount
from orioleplank.decision.group import Lease
from orioleplank.decision.quota import Permit
from orioleplank.gateway._connection import PooledConnection
from orioleplank.gateway._pool import InstancePool


class Transaction(Struct, eq=False):
    """The transaction of a session; it begins at an instance with its first statement."""

    # True when the caller declared it read-only.
    read_only: bool
    # When the first byte of its begin request was read, in seconds of the lease clock.
    began_at: float
    # Account of the caller when it began.
    account: ClientAccount
    # Pool of its connection; None while it has no connection.
    pool: InstancePool | None = None
    # None before its first statement and after its end.
    connection: PooledConnection | None = None
    # Lease under which it runs at the primary; None for a read-only transaction.
    lease: Lease | None = None
    # Session values of the connection when it began; a rollback may undo later changes.
    values_at_begin: Mapping[str, str] = field(default_factory=dict)
    # True once a write has been sent.
    has_written: bool = False
    # Service at whose primary it runs under a lease; empty without a lease.
    primary_service: str = ""
    # Permit of its account that was not used yet; None after its first statement and if it needs
    # none.
    permit: Permit | None = None
