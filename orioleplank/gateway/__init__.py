"""A proxy before databases whose primaries are held under leases; the platform is behind ports."""

from orioleplank.gateway._channels import Channel, ChannelLostError, Listener, TcpChannels
from orioleplank.gateway._clock import boot_seconds
from orioleplank.gateway._gateway import Gateway, Outside, build_kernel
from orioleplank.gateway._journal import Journal, Topic
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._ports import (
    CallerLink,
    CallerSession,
    Changes,
    Detour,
    Dialer,
    Gone,
    HistoryLostError,
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
    Listing,
    Promotions,
    Records,
    Sessions,
    Store,
    StoreConflictError,
    StoredRecord,
    StoreUnavailableError,
    Watched,
)
from orioleplank.gateway._settings import GatewaySettings
from orioleplank.gateway._views import HttpViews, StoreView, ViewUnavailableError

__all__ = [
    "CallerLink",
    "CallerSession",
    "Channel",
    "ChannelLostError",
    "Changes",
    "Detour",
    "Dialer",
    "Gateway",
    "GatewaySettings",
    "Gone",
    "HistoryLostError",
    "HttpViews",
    "InstanceLink",
    "InstanceRefusedError",
    "InstanceUnreachableError",
    "Journal",
    "Listener",
    "Listing",
    "Metrics",
    "Outside",
    "Promotions",
    "Records",
    "Sessions",
    "Store",
    "StoreConflictError",
    "StoreUnavailableError",
    "StoreView",
    "StoredRecord",
    "TcpChannels",
    "Topic",
    "ViewUnavailableError",
    "Watched",
    "boot_seconds",
    "build_kernel",
]
