"""Random faults on a simulated cluster whose callers send more than their account's limit."""

from __future__ import annotations

from orioleplank.decision.accounts import ClientAccount, RateLimit
from orioleplank.decision.mechanisms import ALL_ON, MechanismSwitches
from orioleplank.tests._audited_run import Audit
from orioleplank.tests._changing_keys import FixedKey
from orioleplank.tests._operation_audit import OperationAudit
from orioleplank.tests._random_faults import RandomFaultRun
from orioleplank.tests._simulated_instances import SimulatedInstance


class RateLimitedRun(RandomFaultRun):
    """A run in which all callers belong to one account with a limit."""

    def __init__(
        self,
        seed: int,
        limit: RateLimit,
        proxies: int = 6,
        callers: int = 30,
        mechanisms: MechanismSwitches = ALL_ON,
    ) -> None:
        super().__init__(seed, proxies, callers, mechanisms=mechanisms)
        self.operations = OperationAudit(limit)
        self.keys = FixedKey(self.cluster, ClientAccount("hot", limit=limit))

    def run(self) -> Audit:
        """Run, and check the number of operations in every window."""
        audit = super().run()
        violation = self.operations.find_violation()
        if violation is not None:
            audit.add_violation(violation)
        return audit

    def _check_run(
        self, member: SimulatedInstance, request: str, values: dict[str, str], account: str
    ) -> None:
        super()._check_run(member, request, values, account)
        sender = self.senders.get(request)
        if sender is not None:
            caller, _, began_at, _ = sender
            self.operations.record(caller.number, began_at, self.cluster.simulator.now)
