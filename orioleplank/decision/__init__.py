"""Decision logic of a proxy, without any I/O.

`quorum` covers upstreams that acknowledge a write once a majority has stored it. The other
packages, one per subject, cover upstreams whose primary the proxies rely on under leases.
"""

from orioleplank.decision._position import ZERO_POSITION, Position

__all__ = ["Position", "ZERO_POSITION"]
