"""The platform as proxies reach it: watches, the list of VMs, updates, with its faults."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, unique

from orioleplank.decision.quorum import (
    Change,
    InForceSpec,
    Kind,
    Message,
    ObjectKey,
    ObjectsReceived,
    Spec,
    StoredObject,
    UpdateEnded,
    UpdateObject,
    UpdateVerdict,
    Vm,
    VmsListed,
    dump_body,
    judge_update,
)
from orioleplank.standin import PlatformState
from orioleplank.tests._fabric import Fabric
from orioleplank.tests._nodes import InstanceNode, ProxyNode

PLATFORM = "platform"
SLOW_S = 2.0
SETTLE_S = 0.25
SETTLE_TRIES = 60
WALL_S = 1_800_000_000.0

Tell = Callable[[ProxyNode, Message], None]
StepListener = Callable[[str, str, str], None]


@unique
class Mode(Enum):
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


class Store:
    """The platform's state and how it behaves now."""

    def __init__(self, fabric: Fabric, tell: Tell, on_step: StepListener) -> None:
        self.fabric = fabric
        self.platform = PlatformState()
        self.mode = Mode.NORMAL
        self.vms_frozen = False
        # What became of each change.
        self.verdicts: dict[str, UpdateVerdict | None] = {}
        self._tell = tell
        self._on_step = on_step
        self._seen_vms: tuple[Vm, ...] = ()

    def put(self, kind: Kind, name: str, spec: Spec) -> None:
        """Put an object into the platform as its operator."""
        held = self.platform.objects.get((kind.value, name))
        change = Change(f"setup-{kind.value}-{name}", "ana", WALL_S)
        version = held.version if held else 0
        self.platform.put(kind.value, name, version, dump_body(change, spec))

    def watch(self, node: ProxyNode) -> None:
        """Tell a proxy the objects that it has not read."""
        if node.frozen or self._is_platform_cut(node) or node.revision >= self.platform.revision:
            return
        objects = tuple(
            StoredObject(ObjectKey(Kind(held.kind), held.name), held.version, held.body)
            for held in self.platform.since(node.revision)
        )
        revision = node.revision = self.platform.revision

        def arrive() -> None:
            self._tell(node, ObjectsReceived(revision, objects))

        late = self.mode in (Mode.SLOW, Mode.READS_LATE)
        delay = SLOW_S * self.fabric.random.random() if late else 0.002
        run = node.run
        self.fabric.after(
            delay, lambda: self.fabric.enter(node, arrive) if node.run == run else None
        )

    def _is_platform_cut(self, node: ProxyNode) -> bool:
        if self.mode == Mode.DOWN:
            return True
        cuts = self.fabric.cuts
        return (node.name, PLATFORM) in cuts or (PLATFORM, node.name) in cuts

    def list_vms(
        self, node: ProxyNode, proxies: list[ProxyNode], instances: list[InstanceNode]
    ) -> None:
        """Tell a proxy the list of VMs."""
        if node.frozen or self._is_platform_cut(node):
            return
        if not self.vms_frozen:
            entries = [Vm(p.name, p.name, "zone", p.ended) for p in proxies if p.alive]
            upstreams = [Vm(i.name, i.name, "zone", bool(i.leaving_at), False) for i in instances]
            self._seen_vms = (*entries, *upstreams)
        self._tell(node, VmsListed(self._seen_vms))

    def update(self, node: ProxyNode, effect: UpdateObject) -> None:
        """Carry out a proxy's update."""
        self._on_step("configuration.sent", node.name, "")
        delay = SLOW_S if self.mode == Mode.SLOW else 0.003
        self.fabric.after(delay, lambda: self._take_update(node, effect))

    def _take_update(self, node: ProxyNode, effect: UpdateObject) -> None:
        if self._is_platform_cut(node):
            self._settle(node, effect, 0)
            return
        key = effect.key
        body = dump_body(effect.change, effect.spec)
        held = self.platform.put(key.kind.value, key.name, effect.version, body)
        self._on_step("configuration.effect", node.name, "")
        if self.mode == Mode.LOSE_ANSWERS:
            self._settle(node, effect, 0)
            return
        verdict = UpdateVerdict.ACCEPTED if held else UpdateVerdict.SUPERSEDED
        self._end_update(node, effect, verdict)
        if held is not None and node.alive:
            stored = StoredObject(key, held.version, held.body)
            taken = ObjectsReceived(0, (stored,))
            self.fabric.enter(node, lambda: self._tell(node, taken))

    def _settle(self, node: ProxyNode, effect: UpdateObject, tries: int) -> None:
        def read() -> None:
            if self._is_platform_cut(node):
                if tries < SETTLE_TRIES:
                    self._settle(node, effect, tries + 1)
                else:
                    self._end_update(node, effect, None)
                return
            held = self.platform.objects.get((effect.key.kind.value, effect.key.name))
            found = StoredObject(effect.key, held.version, held.body) if held else None
            verdict = judge_update(effect.change.id, effect.version, found)
            self._end_update(node, effect, verdict)

        self.fabric.after(SETTLE_S, read)

    def _end_update(
        self, node: ProxyNode, effect: UpdateObject, verdict: UpdateVerdict | None
    ) -> None:
        self.verdicts[effect.change.id] = verdict
        if node.alive:
            ended = UpdateEnded(effect.change.id, verdict)
            self.fabric.enter(node, lambda: self._tell(node, ended))

    def change_preset(self, node: ProxyNode, preset: str, author: str, change_id: str) -> None:
        """Let an operator put a preset in force through a proxy."""
        key = ObjectKey(Kind.IN_FORCE, "preset")
        accepted = node.proxy.status().configuration.objects.get(key)
        change = Change(change_id, author, WALL_S + self.fabric.now)
        version = accepted.stored.version if accepted else 0
        self.update(node, UpdateObject(key, version, change, InForceSpec(preset)))
