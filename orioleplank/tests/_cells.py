"""The fault matrix: every fault at every step, with the checks of all promises."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from functools import partial
from zlib import crc32

from orioleplank.decision.quorum import Event, Safeguard, StopRequested, UpdateVerdict
from orioleplank.tests._nodes import InstanceNode
from orioleplank.tests._scenario import NODE_FAULTS, WORKLOAD_START_S, Fault, Scenario

ARMED_S = 2.5
HEAL_AFTER_S = 7.5
END_S = 12.0
SETTLE_LIMIT_S = 20.0

OPERATOR_S = 0.4
TELLING_LIMIT_S = 1.0
GRACE_S = 6.0
FEW_PROXIES, MANY_PROXIES = 3, 7


@unique
class InjectionPoint(Enum):
    """Where a fault strikes."""

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
    """One step with one fault."""

    # Where the fault strikes.
    injection_point: InjectionPoint
    # The fault.
    fault: Fault

    @property
    def name(self) -> str:
        """The name of the cell."""
        return f"{self.injection_point.value} x {self.fault.value}"

    @property
    def seed(self) -> int:
        """The seed of the cell's run."""
        return crc32(self.name.encode())

    @property
    def keeps_majority(self) -> bool:
        """False when no two instances that reach each other are left.

        At the steps of a promotion one instance is dead already.
        """
        return not (self.fault in _LOSES_MEMBER and self.injection_point in _PROMOTION)


_LOSES_MEMBER = frozenset(
    {
        Fault.KILL_INSTANCE,
        Fault.RESTART_INSTANCE,
        Fault.CUT_GROUP,
        Fault.CUT_GROUP_ONE_WAY,
        Fault.PARTITION_PAIR,
    }
)
_PROMOTION = frozenset(
    {
        InjectionPoint.PROMOTION_SUSPECTED,
        InjectionPoint.PROMOTION_SEALING,
        InjectionPoint.PROMOTION_SEALED,
        InjectionPoint.PROMOTION_PROMOTED,
    }
)
_CONFIGURATION = frozenset(
    {
        InjectionPoint.CONFIGURATION_SENT,
        InjectionPoint.CONFIGURATION_EFFECT,
        InjectionPoint.CONFIGURATION_TAKEN,
    }
)


@dataclass(frozen=True, slots=True)
class PromotionTimes:
    """Where the time of the first promotion went, in seconds."""

    # From the kill of the primary to the suspicion.
    noticing: float
    # From there to the order to promote: a majority is sealed.
    sealing: float
    # From there until the member leads.
    promoting: float
    # From there until the last proxy that will know it does.
    telling: float

    def __str__(self) -> str:
        return (
            f"noticing {self.noticing:.3f} sealing {self.sealing:.3f}"
            f" promoting {self.promoting:.3f} telling {self.telling:.3f}"
        )


@dataclass(frozen=True, slots=True)
class CellResult:
    """What came of a cell."""

    # The cell.
    cell: Cell
    # Broken promises, one sentence each.
    violations: list[str]
    # True when the fault struck.
    fault_injected: bool
    # Longest time without an acknowledged write after the fault, in seconds.
    write_gap: float
    # Where the time of a promotion went; None for other steps.
    promotion_times: PromotionTimes | None = None

    @property
    def passed(self) -> bool:
        """True when the fault struck and every promise held."""
        return self.fault_injected and not self.violations


class Run:
    """One run of one cell."""

    def __init__(self, cell: Cell, off: frozenset[Safeguard] = frozenset()) -> None:
        self.cell = cell
        lagging = cell.seed % 2 == 1 or cell.injection_point in _PROMOTION
        proxies = MANY_PROXIES if cell.seed % 6 == 0 else FEW_PROXIES
        self.scene = Scenario(cell.seed, off, lagging=lagging, proxies=proxies)
        self.scene.keeps_majority = cell.keeps_majority
        self.struck_at = 0.0

    def play(self) -> CellResult:
        """Play the run and check all promises."""
        world = self.scene.cluster
        self.scene.start()
        world.on_step = self._watch_step
        world.simulator.call_later(ARMED_S - WORKLOAD_START_S, self._provoke)
        world.simulator.run_until(END_S)
        self.scene.finish_and_check(SETTLE_LIMIT_S)
        gap = self.scene.find_write_gap(self.struck_at, END_S)
        self.scene.check_write_gap(gap)
        self._check_operators()
        split = self._split_promotion() if self.cell.injection_point in _PROMOTION else None
        return CellResult(self.cell, self.scene.violations, self.struck_at > 0, gap, split)

    def _split_promotion(self) -> PromotionTimes | None:
        """Read the first promotion's steps from the events; None when it did not come to an end."""
        notes = [(at, note) for at, _, note in self.scene.cluster.notes if at >= ARMED_S]
        promoted = [at for at, note in notes if note.event is Event.PRIMARY_PROMOTED]
        if not promoted:
            return None
        end = promoted[0]
        before = [(at, note.event) for at, note in notes if at <= end]
        sent = max(at for at, event in before if event is Event.PROMOTION_SENT)
        suspected = max(at for at, event in before if event is Event.PRIMARY_SUSPECTED)
        told = [
            at
            for at, note in notes
            if note.event is Event.PRIMARY_CHANGED and end <= at <= end + TELLING_LIMIT_S
        ]
        return PromotionTimes(
            suspected - ARMED_S, sent - suspected, end - sent, max(told, default=end) - end
        )

    def _provoke(self) -> None:
        """Bring the run to the step at which the fault strikes."""
        step, world = self.cell.injection_point, self.scene.cluster
        primary = world.primary()
        assert primary is not None
        if step in _PROMOTION:
            world.kill_instance(primary)
        elif step in _CONFIGURATION:
            world.platform.change_preset(world.proxies[0], "maintenance", "bo", "change-1")
            world.platform.change_preset(world.proxies[1], "ordinary", "cy", "change-2")
            for place, preset in enumerate(("ordinary", "maintenance", "ordinary"), 1):
                world.simulator.call_later(place * OPERATOR_S, partial(self._change_again, preset))
        elif step is InjectionPoint.DRAIN:
            node = world.proxies[1]
            world.handle_message(node, StopRequested(GRACE_S))
            self._watch_step(step.value, node.name, primary.name)
        elif step is InjectionPoint.LEAVING:
            self.scene.mark_leaving(primary)
            self._watch_step(step.value, world.proxies[0].name, primary.name)
        elif step is InjectionPoint.START:
            node = world.proxies[2]
            world.restart_proxy(node)
            self._watch_step(step.value, node.name, primary.name)

    def _change_again(self, preset: str) -> None:
        """Let an operator change the preset through the next proxy that lives."""
        world = self.scene.cluster
        healthy = [node for node in world.proxies if node.alive and not node.paused]
        change_id = f"change-at-{world.simulator.now:.3f}"
        world.platform.change_preset(healthy[-1], preset, "di", change_id)

    def _watch_step(self, step: str, proxy: str, instance: str) -> None:
        world = self.scene.cluster
        if (
            self.struck_at
            or step != self.cell.injection_point.value
            or world.simulator.now < ARMED_S
        ):
            return
        self.struck_at = world.simulator.now
        node = world.proxy(proxy)
        target = world.instance(instance) if instance else self._any_instance()
        if self.cell.fault in NODE_FAULTS:
            world.simulator.call_later(
                0.0, lambda: self.scene.inject_fault(self.cell.fault, node, target)
            )
        else:
            self.scene.inject_fault(self.cell.fault, node, target)
        world.simulator.call_later(HEAL_AFTER_S, self.scene.heal)

    def _any_instance(self) -> InstanceNode:
        alive = [node for node in self.scene.cluster.instances if node.alive]
        return self.scene.cluster.primary() or alive[0]

    def _check_operators(self) -> None:
        """Check that of two operators who race for a version at most one is told that it won."""
        world = self.scene.cluster
        told = [world.platform.verdicts.get(f"change-{number}") for number in (1, 2)]
        if self.cell.injection_point in _CONFIGURATION and told.count(UpdateVerdict.ACCEPTED) > 1:
            self.scene.violations.append("both operators were told that they won the same version")


def run_cell(cell: Cell, off: frozenset[Safeguard] = frozenset()) -> CellResult:
    """Play one cell."""
    return Run(cell, off).play()


def exclusion_reason(step: InjectionPoint, fault: Fault) -> str:
    """Return why a cell cannot arise, an empty text when it can."""
    if step is InjectionPoint.START and fault is Fault.RESTART_PROXY:
        return "the step is the restart of that proxy itself"
    if step is InjectionPoint.DRAIN and fault in (Fault.KILL_PROXY, Fault.RESTART_PROXY):
        return "a proxy that is killed makes no planned stop"
    if step is InjectionPoint.LEAVING and fault is Fault.KILL_INSTANCE:
        return "an instance that is killed gets no work at all"
    return ""


def list_cells() -> list[Cell]:
    """Return all cells that can arise."""
    return [
        Cell(step, fault)
        for step in InjectionPoint
        for fault in Fault
        if not exclusion_reason(step, fault)
    ]
