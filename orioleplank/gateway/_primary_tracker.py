"""Since when each service has had its primary, or the present stage of its failover."""

from __future__ import annotations

from collections.abc import Callable

from orioleplank.decision.group import GroupPhase, GroupRecord

# Time within which all responsive proxies release their leases, in seconds: two round trips between
# regions, plus the completion of running work at the old primary in a switchover.
LEASE_RELEASE_TIMEOUT_S = 1.0
# How long statements wait for the new primary, in seconds, once the group record says that the
# leases have been released, which is written just before the promotion is requested.
PROMOTION_WAIT_S = 2.0


class PrimaryTracker:
    """Times of the group records in force; all are in seconds of the monotonic clock."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        # Stage of each failover in progress, by service: whether the leases have been released, and
        # when the stage began.
        self._failover_stage_since: dict[str, tuple[bool, float]] = {}
        # The primary of each service, and since when this proxy has known it as such; minus
        # infinity for the first one.
        self._leading_since: dict[str, tuple[str, float]] = {}

    def apply(self, record: GroupRecord) -> None:
        """Record a change of a group record that is in force."""
        service = record.service
        match record.phase:
            case GroupPhase.MOVING:
                stage = self._failover_stage_since.get(service)
                if stage is None or stage[0] is not record.released:
                    self._failover_stage_since[service] = (record.released, self._now())
            case GroupPhase.STABLE:
                self._failover_stage_since.pop(service, None)
                self._apply_leader(record)

    def _apply_leader(self, record: GroupRecord) -> None:
        known, _ = self._leading_since.get(record.service, ("", 0.0))
        if known != record.primary:
            since = self._now() if known else float("-inf")
            self._leading_since[record.service] = (record.primary, since)

    def leading_for(self, service: str) -> float:
        """Return for how many seconds this proxy has known the latest primary of a service."""
        _, since = self._leading_since.get(service, ("", float("-inf")))
        return self._now() - since

    def expects_promotion(self, record: GroupRecord) -> bool:
        """Return whether a failover in progress is likely to end soon.

        This is so at its beginning, while responsive proxies release their leases, and once a
        promotion has been requested; not while the leases of unresponsive proxies have to expire.
        """
        _, stage_since = self._failover_stage_since.get(record.service, (False, 0.0))
        timeout_s = PROMOTION_WAIT_S if record.released else LEASE_RELEASE_TIMEOUT_S
        return self._now() - stage_since < timeout_s
