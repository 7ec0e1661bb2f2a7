"""Client accounts: who a caller is, and what its account may use."""

from orioleplank.decision.accounts._account import (
    ANONYMOUS,
    AccountTable,
    ClientAccount,
    RateLimit,
    identify_caller,
)

__all__ = ["ANONYMOUS", "AccountTable", "ClientAccount", "RateLimit", "identify_caller"]
