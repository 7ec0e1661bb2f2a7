"""Overlapping faults, at times and nodes that Hypothesis chooses."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from orioleplank.decision.quorum import StopRequested
from orioleplank.tests._scenario import WRITE_GAP_LIMIT_S, Fault, Scenario
from orioleplank.tests._scripts import (
    read_current,
    read_with_max_age,
    run_transactions,
    write_and_read,
)

SCRIPTS = (write_and_read, read_current, read_with_max_age, run_transactions)
STOP_GRACE_S = 3.0
FINISH_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.5
FIRST_FAULT_DELAY_S = 0.4

_LOG_LOSING_FAULTS = frozenset({Fault.KILL_INSTANCE, Fault.RESTART_INSTANCE})
_PROXY_LOSING_FAULTS = frozenset({Fault.KILL_PROXY})
NODE_INDEXES = st.integers(0, 2)


class OverlappingFaultsMachine(RuleBasedStateMachine):
    """Injects faults one after another, heals them, and checks all guarantees and progress."""

    def __init__(self) -> None:
        super().__init__()
        self.scenario: Scenario
        self._lost_log_count = 0
        self._lost_proxy_count = 0

    @initialize(seed=st.integers(0, 2**31))
    def begin(self, seed: int) -> None:
        """Start the callers and let them run until the first fault may be injected."""
        self.scenario = Scenario(seed, scripts=SCRIPTS)
        self.scenario.start()
        self._advance_time(FIRST_FAULT_DELAY_S)

    def _advance_time(self, seconds: float) -> None:
        simulator = self.scenario.cluster.simulator
        simulator.run_until(simulator.now + seconds)

    @rule(fault=st.sampled_from(Fault), proxy=NODE_INDEXES, instance=NODE_INDEXES)
    def strike(self, fault: Fault, proxy: int, instance: int) -> None:
        """Inject a fault; at most one log and one proxy are lost permanently."""
        if fault in _LOG_LOSING_FAULTS:
            self._lost_log_count += 1
            if self._lost_log_count > 1:
                return
        if fault in _PROXY_LOSING_FAULTS:
            self._lost_proxy_count += 1
            if self._lost_proxy_count > 1:
                return
        cluster = self.scenario.cluster
        node = cluster.proxies[proxy]
        if node.alive and not node.stopped:
            self.scenario.inject_fault(fault, node, cluster.instances[instance])

    @rule(seconds=st.sampled_from((0.005, 0.05, 0.3, 0.9, 2.0)))
    def wait(self, seconds: float) -> None:
        """Let simulated time pass."""
        self._advance_time(seconds)

    @rule()
    def heal(self) -> None:
        """End all faults that can be reverted."""
        self.scenario.heal()

    @rule(proxy=NODE_INDEXES, preset=st.sampled_from(("ordinary", "maintenance")))
    def change_preset(self, proxy: int, preset: str) -> None:
        """Let an operator change the preset."""
        cluster = self.scenario.cluster
        node = cluster.proxies[proxy]
        if node.alive and not node.paused and not node.stopped:
            change_id = f"change-{len(cluster.platform.verdicts)}-{cluster.simulator.now:.3f}"
            cluster.platform.change_preset(node, preset, "bo", change_id)

    @rule(proxy=NODE_INDEXES)
    def stop(self, proxy: int) -> None:
        """Stop a proxy gracefully, unless one was killed or stopped before."""
        node = self.scenario.cluster.proxies[proxy]
        self._lost_proxy_count += 1
        if self._lost_proxy_count == 1 and node.alive and not node.paused:
            self.scenario.cluster.handle_message(node, StopRequested(STOP_GRACE_S))

    def _await_progress(self, healed_at: float) -> None:
        """Wait until a write is acknowledged or the limit is exceeded, and check the gap."""
        simulator = self.scenario.cluster.simulator
        gap = 0.0
        while gap <= WRITE_GAP_LIMIT_S and not self.scenario.was_write_acknowledged_since(
            healed_at
        ):
            self._advance_time(POLL_INTERVAL_S)
            gap = simulator.now - healed_at
        self.scenario.check_write_gap(gap)

    def teardown(self) -> None:
        """Heal, then check that writes resume in time and that every guarantee held."""
        if not hasattr(self, "scenario"):
            return
        self.scenario.heal()
        self._await_progress(self.scenario.cluster.simulator.now)
        self.scenario.finish_and_check(FINISH_TIMEOUT_S)
        assert not self.scenario.violations, "; ".join(self.scenario.violations[:5])
