"""The fleet of proxies registered in the platform's store, and the messages between them."""

from orioleplank.decision.membership._fleet import (
    Fleet,
    ProxyRecord,
    choose_ping_targets,
    rank_proxies,
)
from orioleplank.decision.membership._fleet_history import (
    LOST_PROXY_TIMEOUT_S,
    FleetHistory,
    LostProxy,
)
from orioleplank.decision.membership._peer_messages import (
    PeerMessage,
    PermitAsk,
    PermitGrant,
    PermitsAsked,
    PermitsTold,
    Ping,
    PingAsked,
    Pong,
    PositionsAsked,
    PositionsTold,
    PrimaryPosition,
    ReachAsked,
    ReachTold,
    ReleaseAsked,
    Released,
    ViewAsked,
    ViewTold,
)
from orioleplank.decision.membership._view_source import (
    TREE_FAN_OUT,
    ViewVersions,
    choose_tree_children,
    choose_view_source,
)

__all__ = [
    "Fleet",
    "FleetHistory",
    "LOST_PROXY_TIMEOUT_S",
    "LostProxy",
    "PeerMessage",
    "PermitAsk",
    "PermitGrant",
    "PermitsAsked",
    "PermitsTold",
    "Ping",
    "PingAsked",
    "Pong",
    "PositionsAsked",
    "PositionsTold",
    "PrimaryPosition",
    "ProxyRecord",
    "ReachAsked",
    "ReachTold",
    "ReleaseAsked",
    "Released",
    "TREE_FAN_OUT",
    "ViewAsked",
    "ViewTold",
    "ViewVersions",
    "choose_ping_targets",
    "choose_tree_children",
    "choose_view_source",
    "rank_proxies",
]
