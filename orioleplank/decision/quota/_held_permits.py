"""Reads what a permit holder knows of an account, without a request for a permit.

Load pattern: queries of operators while operations of the account arrive. A query must not count as
demand, take a permit or cause a message.
"""

from __future__ import annotations

from copy import copy

from msgspec import Struct

from orioleplank.decision.accounts import RateLimit
from orioleplank.decision.quota._account_permits import (
    AccountPermits,
    OverLimit,
    Unavailable,
    Waiter,
)
from orioleplank.decision.quota._permit_holder import PermitHolder


class HeldPermits(Struct, frozen=True):
    """The unused permits of an account at one proxy, and whether more may be asked for."""

    count: int
    # What an operation would be told now without a question to a coordinator; None if it would get
    # a permit or a coordinator would be asked.
    refusal: OverLimit | Unavailable | None = None


def find_held_permits(
    holder: PermitHolder, account: str, limit: RateLimit, now: float
) -> HeldPermits:
    """Return the permits of an account at `now`, in seconds of the lease clock."""
    known = holder._accounts.get(account)
    count = sum(1 for expires_at in known._expiries if expires_at > now) if known else 0
    if count > 0:
        return HeldPermits(count)
    # What coordinators refused under another limit does not count, as for an operation.
    is_current = known is not None and known._limit == limit
    state = known if known is not None and is_current else AccountPermits(account, limit)
    waiter, copied = Waiter(lambda _: None, now), _copy_for_look_ups(holder)
    if copied._choose_coordinator(state, waiter, now) is not None:
        return HeldPermits(0)
    return HeldPermits(0, copied._explain_refusal(state, waiter, now))


def _copy_for_look_ups(holder: PermitHolder) -> PermitHolder:
    """Return a holder whose table of coordinators keeps its look-ups to itself."""
    copied = copy(holder)
    copied._coordinators = copy(holder._coordinators)
    copied._coordinators._coordinators = dict(holder._coordinators._coordinators)
    return copied
