"""Faults two and more at a time, at times and places that Hypothesis chooses."""

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
GRACE_S = 3.0
SETTLE_LIMIT_S = 20.0
POLL_S = 0.5
FIRST_FAULT_S = 0.4

_LOSES_LOG = frozenset({Fault.KILL_INSTANCE, Fault.RESTART_INSTANCE})
_LOSES_PROXY = frozenset({Fault.KILL_PROXY})
PLACES = st.integers(0, 2)


class OverlappingFaultsMachine(RuleBasedStateMachine):
    """Lets faults strike one after another, heals, and checks all promises and progress."""

    def __init__(self) -> None:
        super().__init__()
        self.scene: Scenario
        self._lost_logs = 0
        self._lost_proxies = 0

    @initialize(seed=st.integers(0, 2**31))
    def begin(self, seed: int) -> None:
        """Let the callers work for a while."""
        self.scene = Scenario(seed, scripts=SCRIPTS)
        self.scene.start()
        self._pass(FIRST_FAULT_S)

    def _pass(self, seconds: float) -> None:
        fabric = self.scene.cluster.simulator
        fabric.run_until(fabric.now + seconds)

    @rule(fault=st.sampled_from(Fault), proxy=PLACES, instance=PLACES)
    def strike(self, fault: Fault, proxy: int, instance: int) -> None:
        """Let a fault strike; one log and one proxy at the most are lost for good."""
        if fault in _LOSES_LOG:
            self._lost_logs += 1
            if self._lost_logs > 1:
                return
        if fault in _LOSES_PROXY:
            self._lost_proxies += 1
            if self._lost_proxies > 1:
                return
        world = self.scene.cluster
        node = world.proxies[proxy]
        if node.alive and not node.stopped:
            self.scene.inject_fault(fault, node, world.instances[instance])

    @rule(seconds=st.sampled_from((0.005, 0.05, 0.3, 0.9, 2.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self._pass(seconds)

    @rule()
    def heal(self) -> None:
        """Undo what can be undone."""
        self.scene.heal()

    @rule(proxy=PLACES, preset=st.sampled_from(("ordinary", "maintenance")))
    def change_preset(self, proxy: int, preset: str) -> None:
        """Let an operator change the preset."""
        world = self.scene.cluster
        node = world.proxies[proxy]
        if node.alive and not node.paused and not node.stopped:
            change_id = f"change-{len(world.platform.verdicts)}-{world.simulator.now:.3f}"
            world.platform.change_preset(node, preset, "bo", change_id)

    @rule(proxy=PLACES)
    def stop(self, proxy: int) -> None:
        """Stop a proxy gracefully, unless one is gone already."""
        node = self.scene.cluster.proxies[proxy]
        self._lost_proxies += 1
        if self._lost_proxies == 1 and node.alive and not node.paused:
            self.scene.cluster.handle_message(node, StopRequested(GRACE_S))

    def _await_progress(self, healed_at: float) -> None:
        """Wait until a write is acknowledged, for as long as the limit allows."""
        fabric = self.scene.cluster.simulator
        gap = 0.0
        while gap <= WRITE_GAP_LIMIT_S and not self.scene.was_write_acknowledged_since(healed_at):
            self._pass(POLL_S)
            gap = fabric.now - healed_at
        self.scene.check_write_gap(gap)

    def teardown(self) -> None:
        """Heal, and check that writes go on in time and that every promise held."""
        if not hasattr(self, "scene"):
            return
        self.scene.heal()
        self._await_progress(self.scene.cluster.simulator.now)
        self.scene.finish_and_check(SETTLE_LIMIT_S)
        assert not self.scene.violations, "; ".join(self.scene.violations[:5])
