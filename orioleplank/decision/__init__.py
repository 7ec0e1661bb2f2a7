"""Decision logic of a proxy, without any I/O.

`quorum` covers upstreams that acknowledge a write once a majority has stored it. The other
packages, one per subject, cover upstreams whose primary the proxies rely on under leases.
"""

from orioleplank.decision._position import ZERO_POSITION, Position
from orioleplank.decision._revision import MAX_ERA, build_revision, era_of, number_of

__all__ = ["MAX_ERA", "Position", "ZERO_POSITION", "build_revision", "era_of", "number_of"]
