"""Which work a proxy still accepts while it is shutting down.

Load pattern: proxies of one availability zone are stopped one after the other. While most of them
are out of rotation, the load balancer uses all of them again, so a proxy that is shutting down
receives new sessions until its process ends.
"""

from __future__ import annotations

from msgspec import Struct

# Time for the load balancer to notice that the proxy is not ready: two of its readiness checks and
# a margin.
READINESS_NOTICE_S = 2.3
# Fraction of the grace period for which open transactions may continue.
TRANSACTION_GRACE_FRACTION = 0.5
# Fraction of the grace period after which no work runs any longer.
WORK_GRACE_FRACTION = 0.9


class ShutdownSchedule(Struct, frozen=True):
    """The phases of a shutdown, in seconds of the monotonic clock.

    Until `sessions_close_at` all work is accepted, because the load balancer may not have noticed
    the shutdown yet. After it, a request is accepted only if its whole timeout ends in time, so
    that none is started that would have to be cut off.
    """

    # From now on sessions are closed when they are idle, and no transaction begins.
    sessions_close_at: float
    # From now on open transactions are rolled back when they are idle.
    transactions_end_at: float
    # Until now every request is answered.
    work_ends_at: float

    @classmethod
    def begin(cls, now: float, grace: float) -> ShutdownSchedule:
        """Return the schedule of a shutdown that begins now, with a grace period in seconds."""
        transactions_end_at = now + grace * TRANSACTION_GRACE_FRACTION
        return cls(
            min(now + READINESS_NOTICE_S, transactions_end_at),
            transactions_end_at,
            now + grace * WORK_GRACE_FRACTION,
        )

    def accepts_request(self, now: float, timeout: float) -> bool:
        """Return whether a request may start that takes at most `timeout` seconds."""
        return now < self.sessions_close_at or now + timeout <= self.work_ends_at

    def accepts_transaction(self, now: float) -> bool:
        """Return whether a transaction may begin."""
        return now < self.sessions_close_at
