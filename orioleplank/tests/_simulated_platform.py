"""A simulated platform that serves watches, the list of VMs and updates, with fault modes."""

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
SLOW_DELAY_S = 2.0
RESOLVE_INTERVAL_S = 0.25
MAX_RESOLVE_RETRIES = 60
WALL_CLOCK_START_S = 1_800_000_000.0

MessageHandler = Callable[[ProxyNode, Message], None]
# Takes the step, the name of the proxy, and the name of the instance or an empty string.
StepListener = Callable[[str, str, str], None]


@unique
class PlatformMode(Enum):
    """How the platform behaves."""

    NORMAL = "normal"
    # Reads and updates fail and have no effect.
    DOWN = "down"
    # Updates take SLOW_DELAY_S seconds, and watch reads up to SLOW_DELAY_S.
    SLOW = "slow"
    # Watch reads arrive late and out of order.
    READS_LATE = "reads-late"
    # Updates take effect, but their responses are lost.
    LOSE_ANSWERS = "lose-answers"


class SimulatedPlatform:
    """The platform's state and its current mode."""

    def __init__(
        self, simulator: Simulator, handle_message: MessageHandler, on_step: StepListener
    ) -> None:
        self.simulator = simulator
        self.state = PlatformState()
        self.mode = PlatformMode.NORMAL
        self.serves_stale_vms = False
        # Result of each change by its id; None if it could not be determined.
        self.verdicts: dict[str, UpdateVerdict | None] = {}
        self._handle_message = handle_message
        self._on_step = on_step
        self._listed_vms: tuple[Vm, ...] = ()

    def put(self, kind: ObjectKind, name: str, spec: Spec) -> None:
        """Store an object directly, as an operator of the platform would."""
        current = self.state.objects.get((kind.value, name))
        change = ChangeMetadata(f"setup-{kind.value}-{name}", "ana", WALL_CLOCK_START_S)
        version = current.version if current else 0
        self.state.compare_and_set(kind.value, name, version, dump_body(change, spec))

    def deliver_changes(self, node: ProxyNode) -> None:
        """Send a proxy the objects that changed since the revision it last received."""
        if node.paused or self._is_platform_cut(node) or node.revision >= self.state.revision:
            return
        objects = tuple(
            StoredObject(
                ObjectKey(ObjectKind(changed.kind), changed.name), changed.version, changed.body
            )
            for changed in self.state.objects_since(node.revision)
        )
        revision = node.revision = self.state.revision

        def arrive() -> None:
            self._handle_message(node, ObjectsReceived(revision, objects))

        is_slow = self.mode in (PlatformMode.SLOW, PlatformMode.READS_LATE)
        delay = SLOW_DELAY_S * self.simulator.random.random() if is_slow else 0.002
        generation = node.generation
        self.simulator.call_later(
            delay,
            lambda: (
                self.simulator.call_on_node(node, arrive) if node.generation == generation else None
            ),
        )

    def _is_platform_cut(self, node: ProxyNode) -> bool:
        if self.mode == PlatformMode.DOWN:
            return True
        cuts = self.simulator.cut_links
        return (node.name, PLATFORM_NODE) in cuts or (PLATFORM_NODE, node.name) in cuts

    def deliver_vm_list(
        self, node: ProxyNode, proxies: list[ProxyNode], instances: list[InstanceNode]
    ) -> None:
        """Send a proxy the list of VMs; an outdated one while `serves_stale_vms` is set."""
        if node.paused or self._is_platform_cut(node):
            return
        if not self.serves_stale_vms:
            entries = [Vm(p.name, p.name, "zone", p.stopped) for p in proxies if p.alive]
            upstreams = [Vm(i.name, i.name, "zone", bool(i.leaving_at), False) for i in instances]
            self._listed_vms = (*entries, *upstreams)
        self._handle_message(node, VmsListed(self._listed_vms))

    def submit_update(self, node: ProxyNode, effect: UpdateObject) -> None:
        """Apply an update from a proxy after the delay of the current mode."""
        self._on_step("configuration.sent", node.name, "")
        delay = SLOW_DELAY_S if self.mode == PlatformMode.SLOW else 0.003
        self.simulator.call_later(delay, lambda: self._apply_update(node, effect))

    def _apply_update(self, node: ProxyNode, effect: UpdateObject) -> None:
        if self._is_platform_cut(node):
            self._resolve_update_later(node, effect, 0)
            return
        key = effect.key
        body = dump_body(effect.change, effect.spec)
        updated = self.state.compare_and_set(key.kind.value, key.name, effect.version, body)
        self._on_step("configuration.effect", node.name, "")
        if self.mode == PlatformMode.LOSE_ANSWERS:
            self._resolve_update_later(node, effect, 0)
            return
        verdict = UpdateVerdict.ACCEPTED if updated else UpdateVerdict.SUPERSEDED
        self._end_update(node, effect, verdict)
        if updated is not None and node.alive:
            stored = StoredObject(key, updated.version, updated.body)
            received = ObjectsReceived(0, (stored,))
            self.simulator.call_on_node(node, lambda: self._handle_message(node, received))

    def _resolve_update_later(self, node: ProxyNode, effect: UpdateObject, retries: int) -> None:
        def read() -> None:
            if self._is_platform_cut(node):
                if retries < MAX_RESOLVE_RETRIES:
                    self._resolve_update_later(node, effect, retries + 1)
                else:
                    self._end_update(node, effect, None)
                return
            current = self.state.objects.get((effect.key.kind.value, effect.key.name))
            stored = StoredObject(effect.key, current.version, current.body) if current else None
            verdict = resolve_update(effect.change.id, effect.version, stored)
            self._end_update(node, effect, verdict)

        self.simulator.call_later(RESOLVE_INTERVAL_S, read)

    def _end_update(
        self, node: ProxyNode, effect: UpdateObject, verdict: UpdateVerdict | None
    ) -> None:
        self.verdicts[effect.change.id] = verdict
        if node.alive:
            ended = UpdateEnded(effect.change.id, verdict)
            self.simulator.call_on_node(node, lambda: self._handle_message(node, ended))

    def change_preset(self, node: ProxyNode, preset: str, author: str, change_id: str) -> None:
        """Put a preset in force through a proxy, as an operator."""
        key = ObjectKey(ObjectKind.IN_FORCE, "preset")
        accepted = node.proxy.status().configuration.objects.get(key)
        change = ChangeMetadata(change_id, author, WALL_CLOCK_START_S + self.simulator.now)
        version = accepted.stored.version if accepted else 0
        self.submit_update(node, UpdateObject(key, version, change, InForceSpec(preset)))
