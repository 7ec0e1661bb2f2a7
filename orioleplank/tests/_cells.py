"""The fault matrix: every fault at every injection point, with the checks of all guarantees."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from functools import partial
from zlib import crc32

from orioleplank.decision.quorum import Event, Safeguard, StopRequested, UpdateVerdict
from orioleplank.tests._nodes import InstanceNode
from orioleplank.tests._scenario import NODE_FAULTS, WORKLOAD_START_S, Fault, Scenario

FAULT_ARMED_AT_S = 2.5
HEAL_DELAY_S = 7.5
WORKLOAD_END_S = 12.0
FINISH_TIMEOUT_S = 20.0

OPERATOR_INTERVAL_S = 0.4
PROPAGATION_LIMIT_S = 1.0
STOP_GRACE_S = 6.0
SMALL_FLEET, LARGE_FLEET = 3, 7


@unique
class InjectionPoint(Enum):
    """The step of a request or an operation at which a fault is injected."""

    READ_SENT = "read.sent"
    READ_EXECUTED = "read.executed"
    WRITE_SENT = "write.sent"
    WRITE_EXECUTED = "write.executed"
    BEGIN_EXECUTED = "begin.executed"
    STEP_EXECUTED = "step.executed"
    COMMIT_SENT = "commit.sent"
    COMMIT_EXECUTED = "commit.executed"
    PROMOTION_SUSPECTED = "promotion.suspected"
    PROMOTION_SEALING = "promotion.sealing"
    PROMOTION_SEALED = "promotion.sealed"
    PROMOTION_PROMOTED = "promotion.promoted"
    CONFIGURATION_SENT = "configuration.sent"
    CONFIGURATION_EFFECT = "configuration.effect"
    CONFIGURATION_TAKEN = "configuration.taken"
    DRAIN = "drain.requested"
    LEAVING = "leaving.marked"
    START = "start.begun"


@dataclass(frozen=True, slots=True)
class Cell:
    """One injection point combined with one fault."""

    injection_point: InjectionPoint
    fault: Fault

    @property
    def name(self) -> str:
        """Name in the printed matrix and in the list of known failures."""
        return f"{self.injection_point.value} x {self.fault.value}"

    @property
    def seed(self) -> int:
        """Seed of the cell's run, derived from its name."""
        return crc32(self.name.encode())

    @property
    def keeps_majority(self) -> bool:
        """False if the fault leaves no two instances that can reach each other.

        At the injection points of a promotion one instance has already been killed.
        """
        return not (
            self.fault in _MEMBER_REMOVING_FAULTS and self.injection_point in _PROMOTION_POINTS
        )


_MEMBER_REMOVING_FAULTS = frozenset(
    {
        Fault.KILL_INSTANCE,
        Fault.RESTART_INSTANCE,
        Fault.CUT_GROUP,
        Fault.CUT_GROUP_ONE_WAY,
        Fault.PARTITION_PAIR,
    }
)
_PROMOTION_POINTS = frozenset(
    {
        InjectionPoint.PROMOTION_SUSPECTED,
        InjectionPoint.PROMOTION_SEALING,
        InjectionPoint.PROMOTION_SEALED,
        InjectionPoint.PROMOTION_PROMOTED,
    }
)
_CONFIGURATION_POINTS = frozenset(
    {
        InjectionPoint.CONFIGURATION_SENT,
        InjectionPoint.CONFIGURATION_EFFECT,
        InjectionPoint.CONFIGURATION_TAKEN,
    }
)


@dataclass(frozen=True, slots=True)
class PromotionTimes:
    """Durations of the phases of the first promotion, in seconds."""

    # From the kill of the primary until it is suspected.
    noticing: float
    # From then until the promotion is sent, after a majority was sealed.
    sealing: float
    # From then until the new primary is promoted.
    promoting: float
    # From then until the last proxy logs the change, within PROPAGATION_LIMIT_S.
    telling: float

    def __str__(self) -> str:
        return (
            f"noticing {self.noticing:.3f} sealing {self.sealing:.3f}"
            f" promoting {self.promoting:.3f} telling {self.telling:.3f}"
        )


@dataclass(frozen=True, slots=True)
class CellResult:
    """Result of the run of a cell."""

    cell: Cell
    # Violated guarantees, one sentence each.
    violations: list[str]
    fault_injected: bool
    # Longest time without an acknowledged write between the injection and the end of the workload,
    # in seconds.
    write_gap: float
    # None at injection points outside a promotion, and if no promotion completed.
    promotion_times: PromotionTimes | None = None

    @property
    def passed(self) -> bool:
        """True if the fault was injected and every guarantee held."""
        return self.fault_injected and not self.violations


class CellRun:
    """One run of one cell."""

    def __init__(self, cell: Cell, disabled: frozenset[Safeguard] = frozenset()) -> None:
        self.cell = cell
        lagging = cell.seed % 2 == 1 or cell.injection_point in _PROMOTION_POINTS
        proxies = LARGE_FLEET if cell.seed % 6 == 0 else SMALL_FLEET
        self.scenario = Scenario(cell.seed, disabled, lagging=lagging, proxies=proxies)
        self.scenario.keeps_majority = cell.keeps_majority
        self.fault_injected_at = 0.0

    def run(self) -> CellResult:
        """Execute the run and check all guarantees."""
        cluster = self.scenario.cluster
        self.scenario.start()
        cluster.on_step = self._handle_step
        cluster.simulator.call_later(FAULT_ARMED_AT_S - WORKLOAD_START_S, self._start_operation)
        cluster.simulator.run_until(WORKLOAD_END_S)
        self.scenario.finish_and_check(FINISH_TIMEOUT_S)
        gap = self.scenario.find_write_gap(self.fault_injected_at, WORKLOAD_END_S)
        self.scenario.check_write_gap(gap)
        self._check_racing_operators()
        promotion_times = (
            self._measure_promotion() if self.cell.injection_point in _PROMOTION_POINTS else None
        )
        return CellResult(
            self.cell, self.scenario.violations, self.fault_injected_at > 0, gap, promotion_times
        )

    def _measure_promotion(self) -> PromotionTimes | None:
        """Compute the phases of the first promotion from the events; None if none completed."""
        logged = [
            (time, entry)
            for time, _, entry in self.scenario.cluster.logged_events
            if time >= FAULT_ARMED_AT_S
        ]
        promoted = [time for time, entry in logged if entry.event is Event.PRIMARY_PROMOTED]
        if not promoted:
            return None
        end = promoted[0]
        before = [(time, entry.event) for time, entry in logged if time <= end]
        sent = max(time for time, event in before if event is Event.PROMOTION_SENT)
        suspected = max(time for time, event in before if event is Event.PRIMARY_SUSPECTED)
        changed = [
            time
            for time, entry in logged
            if entry.event is Event.PRIMARY_CHANGED and end <= time <= end + PROPAGATION_LIMIT_S
        ]
        return PromotionTimes(
            suspected - FAULT_ARMED_AT_S,
            sent - suspected,
            end - sent,
            max(changed, default=end) - end,
        )

    def _start_operation(self) -> None:
        """Start the operation that contains the injection point."""
        injection_point, cluster = self.cell.injection_point, self.scenario.cluster
        primary = cluster.primary()
        assert primary is not None
        if injection_point in _PROMOTION_POINTS:
            cluster.kill_instance(primary)
        elif injection_point in _CONFIGURATION_POINTS:
            cluster.platform.change_preset(cluster.proxies[0], "maintenance", "bo", "change-1")
            cluster.platform.change_preset(cluster.proxies[1], "ordinary", "cy", "change-2")
            for number, preset in enumerate(("ordinary", "maintenance", "ordinary"), 1):
                cluster.simulator.call_later(
                    number * OPERATOR_INTERVAL_S, partial(self._change_preset, preset)
                )
        elif injection_point is InjectionPoint.DRAIN:
            node = cluster.proxies[1]
            cluster.handle_message(node, StopRequested(STOP_GRACE_S))
            self._handle_step(injection_point.value, node.name, primary.name)
        elif injection_point is InjectionPoint.LEAVING:
            self.scenario.mark_leaving(primary)
            self._handle_step(injection_point.value, cluster.proxies[0].name, primary.name)
        elif injection_point is InjectionPoint.START:
            node = cluster.proxies[2]
            cluster.restart_proxy(node)
            self._handle_step(injection_point.value, node.name, primary.name)

    def _change_preset(self, preset: str) -> None:
        """Let an operator change the preset through the running proxy that is last in the list."""
        cluster = self.scenario.cluster
        healthy = [node for node in cluster.proxies if node.alive and not node.paused]
        change_id = f"change-at-{cluster.simulator.now:.3f}"
        cluster.platform.change_preset(healthy[-1], preset, "di", change_id)

    def _handle_step(self, step: str, proxy: str, instance: str) -> None:
        cluster = self.scenario.cluster
        if (
            self.fault_injected_at
            or step != self.cell.injection_point.value
            or cluster.simulator.now < FAULT_ARMED_AT_S
        ):
            return
        self.fault_injected_at = cluster.simulator.now
        node = cluster.proxy(proxy)
        target = cluster.instance(instance) if instance else self._default_target()
        if self.cell.fault in NODE_FAULTS:
            cluster.simulator.call_later(
                0.0, lambda: self.scenario.inject_fault(self.cell.fault, node, target)
            )
        else:
            self.scenario.inject_fault(self.cell.fault, node, target)
        cluster.simulator.call_later(HEAL_DELAY_S, self.scenario.heal)

    def _default_target(self) -> InstanceNode:
        alive = [node for node in self.scenario.cluster.instances if node.alive]
        return self.scenario.cluster.primary() or alive[0]

    def _check_racing_operators(self) -> None:
        """Check that at most one of two operators who update the same version gets ACCEPTED."""
        cluster = self.scenario.cluster
        verdicts = [cluster.platform.verdicts.get(f"change-{number}") for number in (1, 2)]
        if (
            self.cell.injection_point in _CONFIGURATION_POINTS
            and verdicts.count(UpdateVerdict.ACCEPTED) > 1
        ):
            self.scenario.violations.append(
                "updates of both operators to the same version were accepted"
            )


def run_cell(cell: Cell, disabled: frozenset[Safeguard] = frozenset()) -> CellResult:
    """Run one cell with the given safeguards disabled and return its result."""
    return CellRun(cell, disabled).run()


def exclusion_reason(injection_point: InjectionPoint, fault: Fault) -> str:
    """Return why a combination is excluded from the matrix, or an empty string if it is not."""
    if injection_point is InjectionPoint.START and fault is Fault.RESTART_PROXY:
        return "the step is the restart of that proxy itself"
    if injection_point is InjectionPoint.DRAIN and fault in (Fault.KILL_PROXY, Fault.RESTART_PROXY):
        return "a proxy that is killed makes no planned stop"
    if injection_point is InjectionPoint.LEAVING and fault is Fault.KILL_INSTANCE:
        return "an instance that is killed gets no work at all"
    return ""


def list_cells() -> list[Cell]:
    """Return all cells that are not excluded."""
    return [
        Cell(injection_point, fault)
        for injection_point in InjectionPoint
        for fault in Fault
        if not exclusion_reason(injection_point, fault)
    ]
