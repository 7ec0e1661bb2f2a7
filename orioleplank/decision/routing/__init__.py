"""Where a statement goes."""

from orioleplank.decision.routing._owners import (
    SPARE_CONNECTIONS,
    Direct,
    ThroughOwner,
    Way,
    choose_owner,
    find_owners,
    find_way,
    share_of_owner,
    share_of_stand_in,
)
from orioleplank.decision.routing._placement import (
    Candidate,
    Nowhere,
    Placement,
    ReadNeed,
    ToInstance,
    place_read,
)

__all__ = [
    "SPARE_CONNECTIONS",
    "Candidate",
    "Direct",
    "Nowhere",
    "Placement",
    "ReadNeed",
    "ThroughOwner",
    "ToInstance",
    "Way",
    "choose_owner",
    "find_owners",
    "find_way",
    "place_read",
    "share_of_owner",
    "share_of_stand_in",
]
