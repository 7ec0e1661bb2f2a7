"""Proxies registered in the platform's store, and what they say to one another."""

from orioleplank.decision.membership._fleet import (
    Fleet,
    ProxyRecord,
    rank_proxies,
)
from orioleplank.decision.membership._peer import (
    PeerMessage,
    ReachAsked,
    ReachTold,
    ReleaseAsked,
    Released,
)

__all__ = [
    "Fleet",
    "PeerMessage",
    "ProxyRecord",
    "ReachAsked",
    "ReachTold",
    "ReleaseAsked",
    "Released",
    "rank_proxies",
]
