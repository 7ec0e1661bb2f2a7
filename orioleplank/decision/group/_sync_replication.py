"""Which instances may hold the acknowledged commits of a group with synchronous replication.

A primary with synchronous replication acknowledges a commit once a number of replicas have
received it. An instance may only be promoted if it holds every acknowledged commit. Who has
received a commit is not known from outside, so the group record keeps which replicas may have, and
the position up to which it no longer matters.
"""

from __future__ import annotations

from msgspec import Struct

from orioleplank.decision._position import ZERO_POSITION, Position


class SyncReplication(Struct, frozen=True, omit_defaults=True):
    """What has to be known to find all acknowledged commits of a group.

    Every commit that was acknowledged before this state was written is at or below `base`. Every
    later one has been received by `confirmations` of `replicas`, or of replicas that joined later.
    """

    # Number of replicas that receive a commit before it is acknowledged; 0 without synchronous
    # replication.
    confirmations: int = 0
    # Addresses of the replicas, HOST:PORT. An instance that takes over the log of another one
    # under a new id has the same address.
    replicas: tuple[str, ...] = ()
    base: Position = ZERO_POSITION
    # Version of the configuration that was known when this state was written, or when the
    # replacement of the primary began.
    version: int = 0

    def required_confirmations(self, configured: int, version: int) -> int:
        """Return on how many replicas each acknowledged commit can be relied on.

        `configured` is the setting in `version` of the configuration. If the setting was changed
        lately, commits may have been acknowledged under both, so the lower one counts, but not 0:
        commits acknowledged under the other one are still looked for. With a later configuration
        that requires no confirmation, the operator has decided not to look for them any longer.
        """
        if configured == 0 and version > self.version:
            return 0
        return min((n for n in (configured, self.confirmations) if n > 0), default=0)
