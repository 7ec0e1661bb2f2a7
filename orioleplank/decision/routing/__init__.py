"""Chooses the instance for a statement and the connection path to it."""

from orioleplank.decision.routing._connection_owners import (
    SPARE_CONNECTIONS,
    ConnectionPath,
    DirectPath,
    ForwardingPath,
    choose_connection_path,
    choose_owner,
    direct_path,
    non_owner_connection_limit,
    order_by_account,
    owner_connection_limit,
    select_owners,
)
from orioleplank.decision.routing._owner_load import (
    LoadReport,
    OwnerEstimate,
    OwnerLoad,
    update_load_report,
)
from orioleplank.decision.routing._placement import (
    NoInstanceAvailable,
    Placement,
    ReadCandidate,
    ReadRequirement,
    ReplicaExpected,
    SelectedInstance,
    expected_time,
    explain_candidate,
    place_read,
)
from orioleplank.decision.routing._replica_lag import PositionReport, ReplicaReports

__all__ = [
    "SPARE_CONNECTIONS",
    "ConnectionPath",
    "DirectPath",
    "ForwardingPath",
    "NoInstanceAvailable",
    "OwnerEstimate",
    "OwnerLoad",
    "LoadReport",
    "Placement",
    "PositionReport",
    "ReadCandidate",
    "ReadRequirement",
    "ReplicaExpected",
    "ReplicaReports",
    "SelectedInstance",
    "non_owner_connection_limit",
    "choose_connection_path",
    "choose_owner",
    "direct_path",
    "expected_time",
    "explain_candidate",
    "order_by_account",
    "owner_connection_limit",
    "place_read",
    "select_owners",
    "update_load_report",
]
