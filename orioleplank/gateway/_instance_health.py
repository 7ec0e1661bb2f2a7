"""What replies and failures show about an instance: its latency, failures and log position."""

from __future__ import annotations

import math
from collections.abc import Callable

from orioleplank.decision import Position
from orioleplank.decision.failover import WorkHistory, WorkStatus
from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.mechanisms import Mechanism, MechanismSwitches
from orioleplank.decision.routing import ReplicaReports

# How long reads that need a newer log position avoid a lagging replica, in seconds; doubled while
# it lags. Repeated reads from the whole fleet would overload it.
LAG_BACKOFF_MIN_S = 0.1
LAG_BACKOFF_MAX_S = 0.8
# Weight of the newest reply in the moving average of the latency.
LATENCY_WEIGHT = 0.2
# Latency assumed for an instance that has not replied yet, in seconds.
INITIAL_LATENCY_S = 0.03
# Without new samples the latency decays towards the initial one with this half-life, in seconds.
LATENCY_HALF_LIFE_S = 2.0
# Consecutive failures, and seconds since the first of them, from which on only probes are sent.
SUSPECT_MIN_FAILURES = 2
SUSPECT_MIN_DURATION_S = 0.2
# Latency sample that a failed statement counts as, in seconds.
FAILURE_LATENCY_S = 1.0


class InstanceHealth:
    """Records what the replies and failures show about one incarnation of an instance."""

    def __init__(
        self,
        entry: InstanceEntry,
        now: Callable[[], float],
        on_problem: Callable[[str], None],
        mechanisms: MechanismSwitches,
    ) -> None:
        self.entry = entry
        self._now = now
        self._on_problem = on_problem
        self.mechanisms = mechanisms
        # Failures since the last reply, and the time of the first of them, in seconds.
        self.consecutive_failures = 0
        self.failing_since = 0.0
        # When the instance last replied, in seconds; minus infinity before its first reply.
        self.last_reply_at = float("-inf")
        # Log position that the instance last reported; None before the first report.
        self._reported_position: Position | None = None
        # Positions that this incarnation of the instance reported, with their times.
        self.reports = ReplicaReports()
        # Until when reads that need a newer position avoid the instance, and the next backoff, in
        # seconds.
        self._lag_backoff_until = float("-inf")
        self._lag_backoff = LAG_BACKOFF_MIN_S
        # True once the instance has replied that it is not the primary although the group record
        # names it as such.
        self.denies_primary_role = False
        # Outcomes of the statements that the instance was sent.
        self.work_history = WorkHistory()
        self._latency = INITIAL_LATENCY_S
        self._latency_updated_at = now()

    def handle_suspicion(self) -> None:
        """Do nothing; called with each failure while the instance is suspected."""

    @property
    def latency(self) -> float:
        """Moving average of the statement latency, in seconds.

        It decays towards the initial latency while there are no replies.
        """
        age = self._now() - self._latency_updated_at
        decay = math.pow(0.5, age / LATENCY_HALF_LIFE_S)
        return INITIAL_LATENCY_S + (self._latency - INITIAL_LATENCY_S) * decay

    @property
    def failing_for(self) -> float:
        """Seconds since the first failure after the last reply; 0 without a failure."""
        return self._now() - self.failing_since if self.consecutive_failures else 0.0

    @property
    def is_suspect(self) -> bool:
        """True while the instance is unresponsive, so that only probes are sent to it."""
        return (
            self.consecutive_failures >= SUSPECT_MIN_FAILURES
            and self.failing_for >= SUSPECT_MIN_DURATION_S
        )

    def record_reply(self, elapsed: float | None = None) -> None:
        """Record a reply.

        `elapsed` is its latency in seconds, or None if the reply is no sample of the load.
        """
        self.consecutive_failures = 0
        self.last_reply_at = self._now()
        if elapsed is not None:
            self._update_latency(elapsed)

    def record_failure(self) -> None:
        """Record that the instance did not reply, or could not be reached."""
        if not self.consecutive_failures:
            self.failing_since = self._now()
        self.consecutive_failures += 1
        self._update_latency(FAILURE_LATENCY_S)
        if self.is_suspect:
            self.handle_suspicion()
        self._on_problem(self.entry.id)

    def record_work(self, succeeded: bool) -> None:
        """Record whether the instance ran a statement; a refusal without a run is neither."""
        self.work_history.record(self._now(), succeeded)

    @property
    def work_status(self) -> WorkStatus:
        """What the outcomes of the latest statements show."""
        return self.work_history.status(self._now())

    def record_primary_role_denied(self) -> None:
        """Record that the instance replied that it is not the primary."""
        self.denies_primary_role = True
        self._on_problem(self.entry.id)

    def is_likely_behind(self, position: Position) -> bool:
        """Return whether the instance's log probably has not reached a position yet.

        True during the lag backoff for positions beyond the last reported one. Reads that accept
        older data are still sent to the instance.
        """
        backs_off = self.mechanisms.is_on(Mechanism.LAG_BACKOFF)
        if not backs_off or self._now() >= self._lag_backoff_until:
            return False
        return self._reported_position is None or position > self._reported_position

    def record_position(self, position: Position | None) -> None:
        """Record the log position from a reply; None leaves it unchanged."""
        if position is not None:
            self._reported_position = position

    def record_lagging(self) -> None:
        """Record that the log had not reached a requested position; start the lag backoff.

        The backoff doubles each time until the instance has caught up.
        """
        if self._now() < self._lag_backoff_until:
            return
        self._lag_backoff_until = self._now() + self._lag_backoff
        self._lag_backoff = min(LAG_BACKOFF_MAX_S, 2 * self._lag_backoff)

    def record_caught_up(self) -> None:
        """Record that the log had reached a requested position; reset the lag backoff."""
        self._lag_backoff = LAG_BACKOFF_MIN_S

    def _update_latency(self, elapsed: float) -> None:
        current = self.latency
        self._latency = current + (elapsed - current) * LATENCY_WEIGHT
        self._latency_updated_at = self._now()
