"""Where a statement goes."""

from orioleplank.decision.routing._placement import (
    Candidate,
    Nowhere,
    Placement,
    ReadNeed,
    ToInstance,
    place_read,
)

__all__ = ["Candidate", "Nowhere", "Placement", "ReadNeed", "ToInstance", "place_read"]
