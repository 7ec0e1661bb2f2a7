"""The fault matrix: every fault at every step, with the checks of all promises."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique
from zlib import crc32

from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.decision import Kind, ObjectKey, StopRequested, Switch, UpdateVerdict
from orioleplank.standin import Entry
from orioleplank.tests._clients import (
    Client,
    History,
    create_tables,
    push_receipts,
    read_aged,
    read_current,
    run_transactions,
    write_and_read,
)
from orioleplank.tests._world import PLATFORM, InstanceNode, ProxyNode, World

READY_S = 1.5
WORK_S = 2.0
ARMED_S = 2.5
HEAL_AFTER_S = 4.0
END_S = 11.0
SETTLED_S = 18.0
GAP_LIMIT_S = 7.0
IN_FORCE_LIMIT_S = 4.0
LEAVING_LIMIT_S = 3.0
HOLD_S = 4.8
GRACE_S = 6.0
SAMPLE_S = 0.1
FAR_LAG_S = 0.4


@unique
class Fault(Enum):
    """What may go wrong at a step."""

    KILL_PROXY = "kill proxy"
    RESTART_PROXY = "restart proxy"
    FREEZE_PROXY = "freeze proxy"
    KILL_INSTANCE = "kill instance"
    RESTART_INSTANCE = "restart instance empty"
    FREEZE_INSTANCE = "freeze instance"
    CUT_TO_INSTANCE = "cut proxy>instance"
    CUT_FROM_INSTANCE = "cut instance>proxy"
    CUT_BOTH = "cut proxy<>instance"
    HOLD = "hold proxy>instance"
    CUT_GROUP = "cut instance<>group"
    CUT_GROUP_ONE_WAY = "cut instance>group"
    SPLIT = "split proxy+instance off"
    CUT_PEERS = "cut proxy<>peers"
    DELAY = "delay"
    REORDER = "reorder"
    DOUBLE = "double"
    LOSE_ANSWER = "lose answer"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_LOSES_ANSWERS = "store loses answers"
    STALE_VM_LIST = "stale VM list"
    CLOCK_STEP = "clock step"


@unique
class Step(Enum):
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
    """One step with one fault, or with a second one a while later."""

    # Where the first fault strikes.
    step: Step
    # The fault.
    fault: Fault
    # A second fault; None for none.
    second: Fault | None = None
    # Seconds from the first to the second.
    apart: float = 0.0
    # Added to the seed.
    variant: int = 0

    @property
    def name(self) -> str:
        """The name of the cell."""
        second = f" + {self.second.value} after {self.apart:.2f} s" if self.second else ""
        return f"{self.step.value} x {self.fault.value}{second}"

    @property
    def seed(self) -> int:
        """The seed of the cell's run."""
        return crc32(self.name.encode()) + self.variant

    @property
    def keeps_majority(self) -> bool:
        """False when too few instances are left for any write to be acknowledged."""
        faults = {self.fault, self.second}
        kills = bool(faults & {Fault.KILL_INSTANCE, Fault.RESTART_INSTANCE})
        return not (kills and (self.step in _PROMOTION or len(faults - {None}) > 1))


_PROMOTION = frozenset(
    {
        Step.PROMOTION_SUSPECTED,
        Step.PROMOTION_SEALING,
        Step.PROMOTION_SEALED,
        Step.PROMOTION_PROMOTED,
    }
)
_CONFIGURATION = frozenset(
    {Step.CONFIGURATION_SENT, Step.CONFIGURATION_EFFECT, Step.CONFIGURATION_TAKEN}
)


@dataclass(slots=True)
class Verdict:
    """What came of a cell."""

    # The cell.
    cell: Cell
    # Broken promises, one sentence each.
    broken: list[str] = field(default_factory=list)
    # True when the fault struck.
    struck: bool = False
    # Longest time without an acknowledged write after the fault, in seconds.
    gap: float = 0.0

    @property
    def passed(self) -> bool:
        """True when the fault struck and every promise held."""
        return self.struck and not self.broken


class Run:
    """One run of one cell."""

    def __init__(self, cell: Cell, off: frozenset[Switch] = frozenset()) -> None:
        self.cell = cell
        self.world = World(cell.seed, off=off)
        self.world.instances[0].lag = FAR_LAG_S
        self.history = History()
        self.verdict = Verdict(cell)
        self.struck_at = 0.0
        self._clients: list[Client] = []
        self._versions: dict[str, int] = {}
        self._accepted: list[tuple[float, int]] = []

    def play(self) -> Verdict:
        """Play the run and check all promises."""
        world = self.world
        world.fabric.run(READY_S)
        self._add_client(create_tables)
        world.fabric.run(WORK_S)
        for script in (
            write_and_read,
            write_and_read,
            write_and_read,
            read_current,
            read_aged,
            run_transactions,
            push_receipts,
        ):
            self._add_client(script)
        world.fabric.every(SAMPLE_S, self._sample)
        world.on_step = self._watch_step
        world.fabric.after(ARMED_S - WORK_S, self._provoke)
        world.fabric.run(END_S)
        for client in self._clients:
            client.over = True
        world.fabric.run(SETTLED_S)
        self._check()
        return self.verdict

    def _add_client(self, script: Callable[[Client], object]) -> None:
        client = Client(self.world, self.history, len(self._clients) + 1)
        self._clients.append(client)
        client.start(script(client))  # type: ignore[arg-type]

    # Faults.

    def _provoke(self) -> None:
        """Bring the run to the step at which the fault strikes."""
        step, world = self.cell.step, self.world
        primary = world.primary()
        assert primary is not None
        if step in _PROMOTION:
            world.kill_instance(primary)
        elif step in _CONFIGURATION:
            world.change_preset(world.proxies[0], "maintenance", "bo", "change-1")
            world.change_preset(world.proxies[1], "ordinary", "cy", "change-2")
        elif step is Step.DRAIN:
            node = world.proxies[1]
            world.tell(node, StopRequested(GRACE_S))
            self._watch_step(step.value, node.name, primary.name)
        elif step is Step.LEAVING:
            self._mark_leaving(primary)
        elif step is Step.START:
            node = world.proxies[2]
            world.restart_proxy(node)
            self._watch_step(step.value, node.name, primary.name)

    def _mark_leaving(self, node: InstanceNode) -> None:
        """Let the platform list an instance as leaving, and the instance say so a second later."""
        node.leaving_at = self.world.fabric.now

        def say_so() -> None:
            node.instance.leaving = True

        self.world.fabric.after(1.0, say_so)
        acting = self.world.proxies[0]
        self._watch_step(Step.LEAVING.value, acting.name, node.name)

    def _watch_step(self, step: str, proxy: str, instance: str) -> None:
        if self.verdict.struck or step != self.cell.step.value:
            return
        if self.world.fabric.now < ARMED_S:
            return
        self.verdict.struck = True
        self.struck_at = self.world.fabric.now
        node = self.world.fabric.nodes[proxy]
        assert isinstance(node, ProxyNode)
        target = self.world.instance(instance) if instance else self._other_instance()
        self.world.fabric.after(0.0, lambda: self._strike(self.cell.fault, node, target))
        if self.cell.second is not None:
            second = self.cell.second
            self.world.fabric.after(
                self.cell.apart, lambda: self._strike(second, self._next_proxy(node), target)
            )
        self.world.fabric.after(HEAL_AFTER_S, self._heal)

    def _other_instance(self) -> InstanceNode:
        alive = [node for node in self.world.instances if node.alive]
        return self.world.primary() or alive[0]

    def _next_proxy(self, node: ProxyNode) -> ProxyNode:
        proxies = self.world.proxies
        return proxies[(proxies.index(node) + 1) % len(proxies)]

    def _heal(self) -> None:
        self.world.fabric.heal()
        self.world.platform_mode = "normal"
        self.world.vms_frozen = False

    def _strike(self, fault: Fault, node: ProxyNode, target: InstanceNode) -> None:
        world, fabric = self.world, self.world.fabric
        others = [other.name for other in world.instances if other is not target]
        match fault:
            case Fault.KILL_PROXY:
                world.kill_proxy(node)
            case Fault.RESTART_PROXY:
                world.restart_proxy(node)
            case Fault.FREEZE_PROXY:
                fabric.freeze(node.name, 2.5)
            case Fault.KILL_INSTANCE:
                world.kill_instance(target)
            case Fault.RESTART_INSTANCE:
                world.restart_instance(target)
            case Fault.FREEZE_INSTANCE:
                fabric.freeze(target.name, 3.0)
            case Fault.CUT_TO_INSTANCE:
                fabric.cut(node.name, target.name)
            case Fault.CUT_FROM_INSTANCE:
                fabric.cut(target.name, node.name)
            case Fault.CUT_BOTH:
                fabric.cut(node.name, target.name)
                fabric.cut(target.name, node.name)
            case Fault.HOLD:
                fabric.holds[node.name, target.name] = fabric.now + HOLD_S
            case Fault.CUT_GROUP:
                for other in others:
                    fabric.cut(target.name, other)
                    fabric.cut(other, target.name)
            case Fault.CUT_GROUP_ONE_WAY:
                for other in others:
                    fabric.cut(target.name, other)
            case Fault.SPLIT:
                self._split({node.name, target.name})
            case Fault.CUT_PEERS:
                for peer in [*world.proxies, fabric.nodes[PLATFORM]]:
                    fabric.cut(node.name, peer.name)
                    fabric.cut(peer.name, node.name)
            case Fault.DELAY:
                fabric.delay = 0.15
            case Fault.REORDER:
                fabric.reorder = True
            case Fault.DOUBLE:
                fabric.double = True
            case Fault.LOSE_ANSWER:
                fabric.cut(target.name, node.name)
                fabric.after(0.02, lambda: fabric.cuts.discard((target.name, node.name)))
            case Fault.STORE_DOWN:
                world.platform_mode = "down"
            case Fault.STORE_SLOW:
                world.platform_mode = "slow"
            case Fault.STORE_LOSES_ANSWERS:
                world.platform_mode = "lose-answers"
            case Fault.STALE_VM_LIST:
                world.vms_frozen = True
            case Fault.CLOCK_STEP:
                node.wall -= 3600.0

    def _split(self, side: set[str]) -> None:
        """Cut a proxy and an instance, which still reach each other, off from all other nodes."""
        world = self.world
        rest = [n.name for n in (*world.proxies, *world.instances) if n.name not in side]
        for near in side:
            for far in (*rest, PLATFORM):
                world.fabric.cut(near, far)
                world.fabric.cut(far, near)

    # Checks.

    def _sample(self) -> None:
        """Note which preset version each proxy has in force, and that it never goes back."""
        key = ObjectKey(Kind.IN_FORCE, "preset")
        for node in self.world.proxies:
            if not node.alive or node.ended:
                continue
            accepted = node.proxy.status().configuration.objects.get(key)
            version = accepted.stored.version if accepted else 0
            run = f"{node.name}/{node.run}"
            if version < self._versions.get(run, 0):
                self.verdict.broken.append(f"{node.name} went back to preset version {version}")
            self._versions[run] = version
            self._check_in_force(node, version)
        self._note_accepted()

    def _note_accepted(self) -> None:
        held = self.world.platform.objects[Kind.IN_FORCE.value, "preset"]
        known = {version for _, version in self._accepted}
        told = any(
            verdict is UpdateVerdict.ACCEPTED
            for change, verdict in self.world.verdicts.items()
            if change.startswith("change-")
        )
        if told and held.version not in known:
            self._accepted.append((self.world.fabric.now, held.version))

    def _check_in_force(self, node: ProxyNode, version: int) -> None:
        """Check that what was accepted four seconds ago is in force, unless nobody tells it."""
        if node.frozen or self._is_alone(node):
            return
        for at, accepted in self._accepted:
            late = self.world.fabric.now - at
            if late > IN_FORCE_LIMIT_S and version < accepted:
                self.verdict.broken.append(
                    f"{node.name} has preset version {version}, {accepted} was accepted"
                    f" {late:.1f} s ago"
                )

    def _is_alone(self, node: ProxyNode) -> bool:
        """Tell whether a proxy is cut from the store and from all peers, or was until just now."""
        cuts = self.world.fabric.cuts
        alone = (PLATFORM, node.name) in cuts
        healed = self.struck_at + HEAL_AFTER_S
        return alone or (
            bool({Fault.CUT_PEERS, Fault.SPLIT} & {self.cell.fault, self.cell.second})
            and healed <= self.world.fabric.now < healed + IN_FORCE_LIMIT_S
        )

    def _check(self) -> None:
        verdict = self.verdict
        verdict.broken.extend(self.history.broken)
        if self.history.cut_by_stop:
            verdict.broken.append(f"a planned stop cut {self.history.cut_by_stop} requests")
        written = self._count_written()
        for write in self.history.writes:
            count = written[write.id]
            if write.acknowledged_at is not None and count == 0:
                verdict.broken.append(f"write {write.id} was acknowledged and is lost")
            if count > 1:
                verdict.broken.append(f"write {write.id} is there {count} times")
            if write.denied and count:
                verdict.broken.append(f"write {write.id} ran, its caller was told it did not")
        self._check_progress()
        self._check_leaving()
        self._check_presets()

    def _count_written(self) -> Counter[str]:
        written: Counter[str] = Counter()
        for entry in self._final_log():
            ids = set()
            for payload in entry.payloads:
                for query in common.Queries.FromString(payload).queries:
                    if query.args:
                        ids.add(query.args[0].text.split("/")[0])
                    ids |= {entry.ledger_id} if entry.ledger_id else set()
            repeated = {i for i in ids if written[i] and not entry.ledger_id}
            written.update(ids - repeated)
        return written

    def _final_log(self) -> list[Entry]:
        """Return the primary's log, or without a majority the most advanced log that was kept."""
        primary = self.world.primary()
        if primary is None or not self.cell.keeps_majority:
            primary = max(self.world.instances, key=lambda node: node.instance.last)
        return primary.instance.log

    def _check_progress(self) -> None:
        """Check that writes were acknowledged again in time."""
        times = sorted(
            write.acknowledged_at
            for write in self.history.writes
            if write.acknowledged_at is not None and write.acknowledged_at >= self.struck_at
        )
        marks = [self.struck_at, *times]
        gaps = [after - before for before, after in zip(marks, marks[1:], strict=False)]
        self.verdict.gap = max(gaps, default=END_S)
        if self.cell.keeps_majority and self.verdict.gap > GAP_LIMIT_S:
            self.verdict.broken.append(f"no write was acknowledged for {self.verdict.gap:.1f} s")

    def _check_leaving(self) -> None:
        for node in self.world.instances:
            late = [at for at in node.late_work if at - node.leaving_at > LEAVING_LIMIT_S]
            if late:
                self.verdict.broken.append(f"{node.name} got {len(late)} statements after leaving")

    def _check_presets(self) -> None:
        """Check that the racing operators were told the truth, and that all nodes agree."""
        held = self.world.platform.objects[Kind.IN_FORCE.value, "preset"]
        for node in self.world.proxies:
            if node.alive and not node.ended:
                version = self._versions.get(f"{node.name}/{node.run}", 0)
                if version != held.version:
                    self.verdict.broken.append(f"{node.name} ended on preset version {version}")
        if self.cell.step in _CONFIGURATION:
            told = [self.world.verdicts.get(f"change-{number}") for number in (1, 2)]
            if told.count(UpdateVerdict.ACCEPTED) > 1 and held.version < 6:
                self.verdict.broken.append(f"both operators were told they won: {told}")


def play_cell(cell: Cell, off: frozenset[Switch] = frozenset()) -> Verdict:
    """Play one cell."""
    return Run(cell, off).play()


def cannot_arise(step: Step, fault: Fault) -> str:
    """Return why a cell cannot arise, an empty text when it can."""
    if step is Step.START and fault is Fault.RESTART_PROXY:
        return "the step is the restart of that proxy itself"
    if step is Step.DRAIN and fault in (Fault.KILL_PROXY, Fault.RESTART_PROXY):
        return "a proxy that is killed makes no planned stop"
    if step is Step.LEAVING and fault is Fault.KILL_INSTANCE:
        return "an instance that is killed gets no work at all"
    return ""


def list_cells() -> list[Cell]:
    """Return all cells that can arise."""
    return [Cell(step, fault) for step in Step for fault in Fault if not cannot_arise(step, fault)]
