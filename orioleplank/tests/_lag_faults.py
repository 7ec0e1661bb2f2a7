"""Random faults, with replicas that lag by seconds while the primary refuses reads."""

from __future__ import annotations

from functools import partial

from orioleplank.decision.instances import DbRole
from orioleplank.tests._random_faults import FAULTS_S, RandomFaultRun
from orioleplank.tests._simulated_instances import SimulatedInstance

# Longest lag of a replica, in seconds: more than any route accepts plus its timeout.
MAX_LONG_LAG_S = 4.0
# Longest pause between two such faults, in seconds.
MAX_LAG_GAP_S = 4.0
# What the primary tells readers to wait before they retry, in seconds.
RETRY_AFTER_S = 0.1


class LongLagRun(RandomFaultRun):
    """Random faults, during which replicas also apply the log seconds late.

    Most of the time the primary refuses reads meanwhile, so that they wait for the replicas.
    """

    def _plan_faults(self) -> None:
        super()._plan_faults()
        fault_at = 1.0
        while fault_at < FAULTS_S - 8.0:
            self._schedule(fault_at, self._lag_replicas_by_seconds)
            fault_at += 1.0 + MAX_LAG_GAP_S * self.random.random()

    def _end_faults(self) -> None:
        for member in self.cluster.group.members.values():
            member.refuses_reads_for = 0.0
        super()._end_faults()

    def _lag_replicas_by_seconds(self) -> None:
        seconds = 3.0 + 4.0 * self.random.random()
        for member in self.cluster.group.members.values():
            if member.alive and member.role is DbRole.REPLICA:
                member.lag = MAX_LONG_LAG_S * self.random.random()
                self._schedule(seconds, partial(self._end_lag, member))
        primary = self.cluster.group.primary()
        if self.random.random() < 0.8:
            primary.refuses_reads_for = RETRY_AFTER_S
            self._schedule(seconds, partial(setattr, primary, "refuses_reads_for", 0.0))

    def _end_lag(self, member: SimulatedInstance) -> None:
        member.lag = 0.003
        self._resume_replication(member)
