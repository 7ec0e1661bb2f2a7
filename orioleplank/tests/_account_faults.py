"""Random faults while accounts compete and callers leave, with an audit of every reply."""

from __future__ import annotations

from orioleplank.decision.accounts import AccountTable, ClientAccount
from orioleplank.decision.mechanisms import ALL_ON, MechanismSwitches
from orioleplank.tests._changing_keys import AccountCluster
from orioleplank.tests._random_faults import FAULTS_S, START_S, RandomFaultRun

# Accounts of the callers. The first one is the hot account: all
# callers have it but each `HOT_ACCOUNT_INTERVAL`th.
ACCOUNTS = (
    ClientAccount("hot", 1),
    ClientAccount("calm-1", 1),
    ClientAccount("calm-2", 0),
    ClientAccount("calm-3", 2),
)
HOT_ACCOUNT_INTERVAL = 3
# Longest pause between two callers that leave, in seconds.
MAX_LEAVE_GAP_S = 0.3


class CompetingAccounts:
    """The accounts of the callers by number; a key has the text of its account's name."""

    def __init__(self, cluster: AccountCluster) -> None:
        cluster.change_accounts(AccountTable({account.name: account for account in ACCOUNTS}))

    def choose_key(self, caller: int) -> str:
        """Return the key of a caller's account."""
        if caller % HOT_ACCOUNT_INTERVAL != 0:
            return ACCOUNTS[0].name
        return ACCOUNTS[1 + caller % (len(ACCOUNTS) - 1)].name

    def recent_accounts(self, key: str) -> set[str]:
        """Return the name of the account."""
        return {key}


class AccountFaultRun(RandomFaultRun):
    """A run in which most callers have the same account, and callers leave at any time."""

    def __init__(
        self,
        seed: int,
        proxies: int,
        callers: int,
        connection_limit: int,
        mechanisms: MechanismSwitches = ALL_ON,
    ) -> None:
        super().__init__(seed, proxies, callers, connection_limit, mechanisms)
        self.keys = CompetingAccounts(self.cluster)

    @property
    def dropped(self) -> int:
        """Requests that the proxies dropped because their callers had left."""
        metrics = [node.gateway.metrics for node in self.cluster.proxies]
        return sum(sum(m.dropped.counts.values()) for m in metrics)

    def _plan_faults(self) -> None:
        super()._plan_faults()
        self._let_caller_leave()

    def check_invariants(self) -> None:
        """Check also that callers that have left occupy nothing."""
        self._check_nothing_is_left()
        super().check_invariants()

    def _let_caller_leave(self) -> None:
        """Let a caller leave now, mostly within a request, and others at intervals."""
        caller = self.random.choice(self.callers)
        is_served = any(
            caller.session in node.callers
            for node in self.cluster.proxies
            if node.alive and not node.paused
        )
        if is_served and not caller.session.is_closed:
            caller.session.close()
        if self.cluster.simulator.now < START_S + FAULTS_S:
            gap_s = MAX_LEAVE_GAP_S * self.random.random()
            self.cluster.simulator.call_later(gap_s, self._let_caller_leave)

    def _check_nothing_is_left(self) -> None:
        """Check that no connection is in use and no request waits after all callers have left."""
        self.is_running = False
        for caller in self.callers:
            if caller.session is not None:
                caller.session.close()
        self.cluster.run_for(3.0)
        for node in self.cluster.proxies:
            for name in self.cluster.group.members:
                pool = node.gateway.cluster_state.own_connection_pool(name)
                if pool is not None and pool.in_flight:
                    self.audit.add_violation(f"{node.name} still uses connections to {name}")
