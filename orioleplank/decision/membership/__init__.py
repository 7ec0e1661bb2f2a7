"""Proxies registered in the platform's store, and what they say to one another."""

from orioleplank.decision.membership._fleet import (
    Fleet,
    ProxyRecord,
    find_watched,
    rank_proxies,
)
from orioleplank.decision.membership._peer import (
    PeerMessage,
    Ping,
    PingAsked,
    Pong,
    PositionNote,
    PositionsAsked,
    PositionsTold,
    ReachAsked,
    ReachTold,
    ReleaseAsked,
    Released,
    ViewAsked,
    ViewTold,
)
from orioleplank.decision.membership._source import ViewVersions, choose_source

__all__ = [
    "Fleet",
    "PeerMessage",
    "Ping",
    "PingAsked",
    "Pong",
    "PositionNote",
    "PositionsAsked",
    "PositionsTold",
    "ProxyRecord",
    "ReachAsked",
    "ReachTold",
    "ReleaseAsked",
    "Released",
    "ViewAsked",
    "ViewTold",
    "ViewVersions",
    "choose_source",
    "find_watched",
    "rank_proxies",
]
