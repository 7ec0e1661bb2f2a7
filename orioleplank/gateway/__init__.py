"""A database proxy that relies on leases to know the primaries of replicated databases.

The interfaces to its environment are implemented by `orioleplank.platform`.
"""

from orioleplank.gateway._channels import Channel, ChannelLostError, FrameHandler, TcpChannelDialer
from orioleplank.gateway._clock import seconds_since_boot
from orioleplank.gateway._event_log import EventLog, EventType
from orioleplank.gateway._gateway import Gateway, GatewayDependencies, build_kernel
from orioleplank.gateway._intake import (
    Holder,
    Intake,
    LimitReason,
    LimitSide,
    PortGuard,
    count_unsent_bytes,
)
from orioleplank.gateway._interfaces import (
    CallerLink,
    CallerSession,
    Changes,
    Dialer,
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
    Listing,
    ObjectCollection,
    PromotionService,
    RecordCollection,
    RemovedObject,
    RequestOptions,
    SessionFactory,
    Store,
    StoreConflictError,
    StoredRecord,
    StoreUnavailableError,
    TunnelRoute,
    WatchHistoryExpiredError,
)
from orioleplank.gateway._metrics import Metrics
from orioleplank.gateway._settings import GatewaySettings
from orioleplank.gateway._store_view import (
    FetchedView,
    StoreView,
    ViewFetcher,
    ViewUnavailableError,
)
from orioleplank.gateway._transfer import Transfer
from orioleplank.gateway._view_fetcher import HttpViewFetcher

__all__ = [
    "CallerLink",
    "CallerSession",
    "Changes",
    "Channel",
    "ChannelLostError",
    "Dialer",
    "EventLog",
    "EventType",
    "FrameHandler",
    "Gateway",
    "FetchedView",
    "GatewayDependencies",
    "GatewaySettings",
    "Holder",
    "HttpViewFetcher",
    "InstanceLink",
    "InstanceRefusedError",
    "InstanceUnreachableError",
    "Intake",
    "LimitReason",
    "LimitSide",
    "Listing",
    "Metrics",
    "ObjectCollection",
    "PortGuard",
    "PromotionService",
    "RecordCollection",
    "RemovedObject",
    "RequestOptions",
    "SessionFactory",
    "Store",
    "StoreConflictError",
    "StoreUnavailableError",
    "StoreView",
    "StoredRecord",
    "TcpChannelDialer",
    "Transfer",
    "TunnelRoute",
    "ViewFetcher",
    "ViewUnavailableError",
    "WatchHistoryExpiredError",
    "build_kernel",
    "count_unsent_bytes",
    "seconds_since_boot",
]
