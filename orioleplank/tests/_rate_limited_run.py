"""Random faults on a simulated cluster whose callers send more than their account's limit."""

from __future__ import annotations

from orioleplank.decision.accounts import ClientAccount, RateLimit
from orioleplank.decision.mechanisms import ALL_ON, MechanismSwitches
from orioleplank.decision.quota.tests._replay import (
    WINDOW_S,
    allowed_in_window,
    max_in_window,
)
from orioleplank.tests._audited_run import Audit
from orioleplank.tests._random_faults import RandomFaultRun
from orioleplank.tests._simulated_instances import SimulatedInstance

# The callers of a run have an empty key.
KEY = ""


class RateLimitedRun(RandomFaultRun):
    """A run in which all callers belong to one account with a limit.

    The audit counts an operation, which is a statement outside a transaction or a transaction, when
    an instance first runs a statement of it.
    """

    def __init__(
        self,
        seed: int,
        limit: RateLimit,
        proxies: int = 6,
        callers: int = 30,
        mechanisms: MechanismSwitches = ALL_ON,
    ) -> None:
        super().__init__(seed, proxies, callers, mechanisms=mechanisms)
        self._limit = limit
        # When each operation first ran, by caller and the time at which it was sent.
        self._first_run_at: dict[tuple[int, float], float] = {}
        self.cluster.change_accounts({KEY: ClientAccount("hot", limit=limit)})

    @property
    def operations(self) -> int:
        """Number of operations that ran."""
        return len(self._first_run_at)

    def run(self) -> Audit:
        """Run, and check the number of operations in every window."""
        audit = super().run()
        allowed = allowed_in_window(self._limit)
        largest = max_in_window(self._first_run_at.values())
        if largest > allowed:
            audit.add_violation(f"{largest} operations ran within {WINDOW_S} s, over {allowed}")
        return audit

    def _check_run(self, member: SimulatedInstance, request: str, values: dict[str, str]) -> None:
        super()._check_run(member, request, values)
        sender = self.senders.get(request)
        if sender is not None:
            caller, _, began_at, _ = sender
            self._first_run_at.setdefault((caller.number, began_at), self.cluster.simulator.now)
