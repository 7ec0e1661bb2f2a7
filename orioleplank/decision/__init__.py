"""The decisions of a proxy, free of I/O.

`quorum` decides for upstreams that acknowledge a write once a majority holds it; the other
packages decide, by subject, for upstreams whose primary is held under leases.
"""

from orioleplank.decision._position import ZERO_POSITION, Position

__all__ = ["Position", "ZERO_POSITION"]
