"""Random faults that also make instances slow for seconds while they stay reachable."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from orioleplank.tests._random_faults import RandomFaultRun

# Weight of the fault; each other one is there once.
SLOW_WEIGHT = 6
# Factor of the time that a slow instance takes, and how long it is slow, in seconds.
SLOWNESS = 20.0
SLOW_S = 6.0


class SlowInstanceRun(RandomFaultRun):
    """A run in which instances turn slow and recover."""

    def list_extra_faults(self) -> tuple[Callable[[], None], ...]:
        """Return the slow instance, with its weight."""
        return (self._slow_down_instance,) * SLOW_WEIGHT

    def _slow_down_instance(self) -> None:
        member = self.random.choice(list(self.cluster.group.members.values()))
        member.slowness = 2.0 + SLOWNESS * self.random.random()
        self._schedule(SLOW_S, partial(setattr, member, "slowness", 1.0))
