"""The platform as proxies reach it: watches, the list of VMs, updates, with its faults."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, unique

from orioleplank.decision.quorum import (
    ChangeMetadata,
    InForceSpec,
    Message,
    ObjectKey,
    ObjectKind,
    ObjectsReceived,
    Spec,
    StoredObject,
    UpdateEnded,
    UpdateObject,
    UpdateVerdict,
    Vm,
    VmsListed,
    dump_body,
    resolve_update,
)
from orioleplank.standin import PlatformState
from orioleplank.tests._nodes import InstanceNode, ProxyNode
from orioleplank.tests._simulator import Simulator

PLATFORM_NODE = "platform"
SLOW_S = 2.0
SETTLE_S = 0.25
SETTLE_TRIES = 60
WALL_CLOCK_START_S = 1_800_000_000.0

MessageHandler = Callable[[ProxyNode, Message], None]
StepListener = Callable[[str, str, str], None]


@unique
class PlatformMode(Enum):
    """How the platform behaves."""

    NORMAL = "normal"
    # It neither answers nor takes effect.
    DOWN = "down"
    # Updates take two seconds, and reads up to two.
    SLOW = "slow"
    # What a watch reads comes late and out of order.
    READS_LATE = "reads-late"
    # Updates take effect, and their answers are lost.
    LOSE_ANSWERS = "lose-answers"


class SimulatedPlatform:
    """The platform's state and how it behaves now."""

    def __init__(self, fabric: Simulator, tell: MessageHandler, on_step: StepListener) -> None:
        self.simulator = fabric
        self.state = PlatformState()
        self.mode = PlatformMode.NORMAL
        self.serves_stale_vms = False
        # What became of each change.
        self.verdicts: dict[str, UpdateVerdict | None] = {}
        self._tell = tell
        self._on_step = on_step
        self._seen_vms: tuple[Vm, ...] = ()

    def put(self, kind: ObjectKind, name: str, spec: Spec) -> None:
        """Put an object into the platform as its operator."""
        held = self.state.objects.get((kind.value, name))
        change = ChangeMetadata(f"setup-{kind.value}-{name}", "ana", WALL_CLOCK_START_S)
        version = held.version if held else 0
        self.state.compare_and_set(kind.value, name, version, dump_body(change, spec))

    def deliver_changes(self, node: ProxyNode) -> None:
        """Tell a proxy the objects that it has not read."""
        if node.paused or self._is_platform_cut(node) or node.revision >= self.state.revision:
            return
        objects = tuple(
            StoredObject(ObjectKey(ObjectKind(held.kind), held.name), held.version, held.body)
            for held in self.state.objects_since(node.revision)
        )
        revision = node.revision = self.state.revision

        def arrive() -> None:
            self._tell(node, ObjectsReceived(revision, objects))

        late = self.mode in (PlatformMode.SLOW, PlatformMode.READS_LATE)
        delay = SLOW_S * self.simulator.random.random() if late else 0.002
        run = node.generation
        self.simulator.call_later(
            delay,
            lambda: self.simulator.call_on_node(node, arrive) if node.generation == run else None,
        )

    def _is_platform_cut(self, node: ProxyNode) -> bool:
        if self.mode == PlatformMode.DOWN:
            return True
        cuts = self.simulator.cut_links
        return (node.name, PLATFORM_NODE) in cuts or (PLATFORM_NODE, node.name) in cuts

    def deliver_vm_list(
        self, node: ProxyNode, proxies: list[ProxyNode], instances: list[InstanceNode]
    ) -> None:
        """Tell a proxy the list of VMs."""
        if node.paused or self._is_platform_cut(node):
            return
        if not self.serves_stale_vms:
            entries = [Vm(p.name, p.name, "zone", p.stopped) for p in proxies if p.alive]
            upstreams = [Vm(i.name, i.name, "zone", bool(i.leaving_at), False) for i in instances]
            self._seen_vms = (*entries, *upstreams)
        self._tell(node, VmsListed(self._seen_vms))

    def submit_update(self, node: ProxyNode, effect: UpdateObject) -> None:
        """Carry out a proxy's update."""
        self._on_step("configuration.sent", node.name, "")
        delay = SLOW_S if self.mode == PlatformMode.SLOW else 0.003
        self.simulator.call_later(delay, lambda: self._take_update(node, effect))

    def _take_update(self, node: ProxyNode, effect: UpdateObject) -> None:
        if self._is_platform_cut(node):
            self._settle(node, effect, 0)
            return
        key = effect.key
        body = dump_body(effect.change, effect.spec)
        held = self.state.compare_and_set(key.kind.value, key.name, effect.version, body)
        self._on_step("configuration.effect", node.name, "")
        if self.mode == PlatformMode.LOSE_ANSWERS:
            self._settle(node, effect, 0)
            return
        verdict = UpdateVerdict.ACCEPTED if held else UpdateVerdict.SUPERSEDED
        self._end_update(node, effect, verdict)
        if held is not None and node.alive:
            stored = StoredObject(key, held.version, held.body)
            taken = ObjectsReceived(0, (stored,))
            self.simulator.call_on_node(node, lambda: self._tell(node, taken))

    def _settle(self, node: ProxyNode, effect: UpdateObject, tries: int) -> None:
        def read() -> None:
            if self._is_platform_cut(node):
                if tries < SETTLE_TRIES:
                    self._settle(node, effect, tries + 1)
                else:
                    self._end_update(node, effect, None)
                return
            held = self.state.objects.get((effect.key.kind.value, effect.key.name))
            found = StoredObject(effect.key, held.version, held.body) if held else None
            verdict = resolve_update(effect.change.id, effect.version, found)
            self._end_update(node, effect, verdict)

        self.simulator.call_later(SETTLE_S, read)

    def _end_update(
        self, node: ProxyNode, effect: UpdateObject, verdict: UpdateVerdict | None
    ) -> None:
        self.verdicts[effect.change.id] = verdict
        if node.alive:
            ended = UpdateEnded(effect.change.id, verdict)
            self.simulator.call_on_node(node, lambda: self._tell(node, ended))

    def change_preset(self, node: ProxyNode, preset: str, author: str, change_id: str) -> None:
        """Let an operator put a preset in force through a proxy."""
        key = ObjectKey(ObjectKind.IN_FORCE, "preset")
        accepted = node.proxy.status().configuration.objects.get(key)
        change = ChangeMetadata(change_id, author, WALL_CLOCK_START_S + self.simulator.now)
        version = accepted.stored.version if accepted else 0
        self.submit_update(node, UpdateObject(key, version, change, InForceSpec(preset)))
