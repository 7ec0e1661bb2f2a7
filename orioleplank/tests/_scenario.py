"""A scene: a world with callers at work, faults that strike, and the checks of all promises."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum, unique
from itertools import pairwise

from orioleplank._protos import orioleplank_common_pb2 as common
from orioleplank.decision.quorum import ObjectKey, ObjectKind, Safeguard, UpdateVerdict
from orioleplank.standin import Entry
from orioleplank.tests._clients import Client, History, Script
from orioleplank.tests._nodes import InstanceNode, ProxyNode
from orioleplank.tests._quorum_cluster import CONNECTIONS, SLOTS, QuorumCluster
from orioleplank.tests._scripts import (
    create_tables,
    read_current,
    read_with_max_age,
    run_repeatable_writes,
    run_slow_transactions,
    run_transactions,
    write_and_read,
)
from orioleplank.tests._simulated_platform import PLATFORM_NODE, PlatformMode

READY_S = 1.5
WORKLOAD_START_S = 2.0
WRITE_GAP_LIMIT_S = 7.0
IN_FORCE_LIMIT_S = 4.0
LEAVING_LIMIT_S = 3.0
HOLD_S = 4.8
STALL_S = 1.9
SAMPLE_S = 0.1
FAR_LAG_S = 0.4
SETTLE_S = 1.0
POLL_S = 0.25
FREEZE_PROXY_S = 2.5
FREEZE_INSTANCE_S = 3.0

ScriptMaker = Callable[[Client], Script]
ALL_SCRIPTS: tuple[ScriptMaker, ...] = (
    write_and_read,
    write_and_read,
    write_and_read,
    read_current,
    read_with_max_age,
    run_transactions,
    run_slow_transactions,
    run_repeatable_writes,
)


@unique
class Fault(Enum):
    """What may go wrong at a step."""

    KILL_PROXY = "kill proxy"
    RESTART_PROXY = "restart proxy"
    PAUSE_PROXY = "freeze proxy"
    KILL_INSTANCE = "kill instance"
    RESTART_INSTANCE = "restart instance empty"
    PAUSE_INSTANCE = "freeze instance"
    CUT_TO_INSTANCE = "cut proxy>instance"
    CUT_FROM_INSTANCE = "cut instance>proxy"
    CUT_BOTH = "cut proxy<>instance"
    HOLD_LINK_LONG = "hold proxy>instance"
    HOLD_LINK_SHORT = "stall proxy>instance"
    CUT_GROUP = "cut instance<>group"
    CUT_GROUP_ONE_WAY = "cut instance>group"
    PARTITION_PAIR = "split proxy+instance off"
    CUT_PEERS = "cut proxy<>peers"
    DELAY = "delay"
    REORDER = "reorder"
    DUPLICATE = "double"
    LOSE_ANSWER = "lose answer"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_READS_LATE = "store reads late"
    STORE_LOSES_ANSWERS = "store loses answers"
    STALE_VM_LIST = "stale VM list"
    CLOCK_STEP = "clock step"


# Faults of a node, which strike once it has done what it is doing; others strike links at once.
NODE_FAULTS = frozenset(
    {
        Fault.KILL_PROXY,
        Fault.RESTART_PROXY,
        Fault.PAUSE_PROXY,
        Fault.KILL_INSTANCE,
        Fault.RESTART_INSTANCE,
        Fault.PAUSE_INSTANCE,
    }
)


class Scenario:
    """A world with callers at work."""

    def __init__(
        self,
        seed: int,
        off: frozenset[Safeguard] = frozenset(),
        scripts: tuple[ScriptMaker, ...] = ALL_SCRIPTS,
        lagging: bool = True,
        proxies: int = 3,
    ) -> None:
        self.cluster = QuorumCluster(seed, proxies, off)
        if lagging:
            self.cluster.instances[0].lag = FAR_LAG_S
        self.history = History()
        self.violations: list[str] = []
        # False once too few logs are left for any write to be acknowledged.
        self.keeps_majority = True
        self._scripts = scripts
        self._clients: list[Client] = []
        self._versions: dict[str, int] = {}
        self._accepted: list[tuple[float, int]] = []
        self._alone: set[str] = set()
        self._healed_at = 0.0

    def start(self) -> None:
        """Wait for a primary, create the tables and let the callers work."""
        self.cluster.simulator.run_until(READY_S)
        self._add_client(create_tables)
        self.cluster.simulator.run_until(WORKLOAD_START_S)
        for script in self._scripts:
            self._add_client(script)
        self.cluster.simulator.call_every(SAMPLE_S, self._sample)

    def _add_client(self, script: ScriptMaker) -> None:
        client = Client(self.cluster, self.history, len(self._clients) + 1)
        self._clients.append(client)
        client.start(script(client))

    def finish_and_check(self, limit: float, settle: float = SETTLE_S) -> None:
        """Let the callers finish within `limit` seconds, then check all promises but progress."""
        fabric = self.cluster.simulator
        for client in self._clients:
            client.stop_requested = True
        until = fabric.now + limit
        while fabric.now < until and not all(client.finished for client in self._clients):
            fabric.run_until(fabric.now + POLL_S)
        fabric.run_until(fabric.now + settle)
        self._check()

    # Faults.

    def heal(self) -> None:
        """Undo what can be undone."""
        self.cluster.simulator.heal()
        self.cluster.platform.mode = PlatformMode.NORMAL
        self.cluster.platform.serves_stale_vms = False
        self._healed_at = self.cluster.simulator.now

    def mark_leaving(self, node: InstanceNode) -> None:
        """Let the platform list an instance as leaving, and the instance say so a second later."""
        node.leaving_at = self.cluster.simulator.now

        def say_so() -> None:
            node.instance.leaving = True

        self.cluster.simulator.call_later(1.0, say_so)

    def inject_fault(self, fault: Fault, node: ProxyNode, target: InstanceNode) -> None:
        """Let a fault strike a proxy or an instance."""
        world, fabric = self.cluster, self.cluster.simulator
        others = [other.name for other in world.instances if other is not target]
        match fault:
            case Fault.KILL_PROXY:
                world.kill_proxy(node)
            case Fault.RESTART_PROXY:
                world.restart_proxy(node)
            case Fault.PAUSE_PROXY:
                fabric.pause(node.name, FREEZE_PROXY_S)
            case Fault.KILL_INSTANCE:
                world.kill_instance(target)
            case Fault.RESTART_INSTANCE:
                world.restart_instance(target)
            case Fault.PAUSE_INSTANCE:
                fabric.pause(target.name, FREEZE_INSTANCE_S)
            case Fault.CUT_TO_INSTANCE:
                fabric.cut_link(node.name, target.name)
            case Fault.CUT_FROM_INSTANCE:
                fabric.cut_link(target.name, node.name)
            case Fault.CUT_BOTH:
                fabric.cut_link(node.name, target.name)
                fabric.cut_link(target.name, node.name)
            case Fault.HOLD_LINK_LONG:
                fabric.held_until[node.name, target.name] = fabric.now + HOLD_S
            case Fault.HOLD_LINK_SHORT:
                fabric.held_until[node.name, target.name] = fabric.now + STALL_S
            case Fault.CUT_GROUP:
                for other in others:
                    fabric.cut_link(target.name, other)
                    fabric.cut_link(other, target.name)
            case Fault.CUT_GROUP_ONE_WAY:
                for other in others:
                    fabric.cut_link(target.name, other)
            case Fault.PARTITION_PAIR:
                self._alone.add(node.name)
                self._split({node.name, target.name})
            case Fault.CUT_PEERS:
                self._alone.add(node.name)
                for peer in [*world.proxies, fabric.nodes[PLATFORM_NODE]]:
                    fabric.cut_link(node.name, peer.name)
                    fabric.cut_link(peer.name, node.name)
            case Fault.DELAY:
                fabric.delay = 0.15
            case Fault.REORDER:
                fabric.reorders_replies = True
            case Fault.DUPLICATE:
                fabric.duplicates_replies = True
            case Fault.LOSE_ANSWER:
                fabric.cut_link(target.name, node.name)
                fabric.call_later(0.02, lambda: fabric.cut_links.discard((target.name, node.name)))
            case Fault.STORE_DOWN:
                world.platform.mode = PlatformMode.DOWN
            case Fault.STORE_SLOW:
                world.platform.mode = PlatformMode.SLOW
            case Fault.STORE_READS_LATE:
                world.platform.mode = PlatformMode.READS_LATE
            case Fault.STORE_LOSES_ANSWERS:
                world.platform.mode = PlatformMode.LOSE_ANSWERS
            case Fault.STALE_VM_LIST:
                world.platform.serves_stale_vms = True
            case Fault.CLOCK_STEP:
                node.wall_clock_offset -= 3600.0

    def _split(self, side: set[str]) -> None:
        """Cut a proxy and an instance, which still reach each other, off from all other nodes."""
        world = self.cluster
        rest = [n.name for n in (*world.proxies, *world.instances) if n.name not in side]
        for near in side:
            for far in (*rest, PLATFORM_NODE):
                world.simulator.cut_link(near, far)
                world.simulator.cut_link(far, near)

    # Checks.

    def _sample(self) -> None:
        """Note which preset version each proxy has in force, and that it never goes back."""
        key = ObjectKey(ObjectKind.IN_FORCE, "preset")
        for node in self.cluster.proxies:
            if not node.alive or node.stopped:
                continue
            accepted = node.proxy.status().configuration.objects.get(key)
            version = accepted.stored.version if accepted else 0
            run = f"{node.name}/{node.generation}"
            if version < self._versions.get(run, 0):
                self.violations.append(f"{node.name} went back to preset version {version}")
            self._versions[run] = version
            self._check_in_force(node, version)
        self._note_accepted()

    def _note_accepted(self) -> None:
        held = self.cluster.platform.state.objects[ObjectKind.IN_FORCE.value, "preset"]
        known = {version for _, version in self._accepted}
        told = any(
            verdict is UpdateVerdict.ACCEPTED
            for change, verdict in self.cluster.platform.verdicts.items()
            if change.startswith("change-")
        )
        if told and held.version not in known:
            self._accepted.append((self.cluster.simulator.now, held.version))

    def _check_in_force(self, node: ProxyNode, version: int) -> None:
        """Check that what was accepted four seconds ago is in force, unless nobody tells it."""
        if node.paused or self._is_alone(node):
            return
        for at, accepted in self._accepted:
            late = self.cluster.simulator.now - at
            if late > IN_FORCE_LIMIT_S and version < accepted:
                self.violations.append(
                    f"{node.name} has preset version {version}, {accepted} was accepted"
                    f" {late:.1f} s ago"
                )

    def _is_alone(self, node: ProxyNode) -> bool:
        """Tell whether a proxy is cut from the store and from all peers, or was until just now."""
        cuts = self.cluster.simulator.cut_links
        if (PLATFORM_NODE, node.name) in cuts:
            return True
        recovers = self.cluster.simulator.now < self._healed_at + IN_FORCE_LIMIT_S
        return node.name in self._alone and recovers

    def _check(self) -> None:
        self.violations.extend(self.history.violations)
        if self.history.unanswered_at_stop:
            self.violations.append(f"a planned stop cut {self.history.unanswered_at_stop} requests")
        written = self._count_written()
        for write in self.history.writes:
            count = written[write.id]
            if write.acknowledged_at is not None and count == 0:
                self.violations.append(f"write {write.id} was acknowledged and is lost")
            if count > 1:
                self.violations.append(f"write {write.id} is there {count} times")
            if write.reported_not_run and count:
                self.violations.append(f"write {write.id} ran, its caller was told it did not")
        self._check_leaving()
        self._check_limits()
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
        primary = self.cluster.primary()
        if primary is None or not self.keeps_majority:
            primary = max(self.cluster.instances, key=lambda node: node.instance.last_position)
        return primary.instance.log

    def was_write_acknowledged_since(self, at: float) -> bool:
        """Tell whether a write was acknowledged after `at`."""
        return any((write.acknowledged_at or 0.0) > at for write in self.history.writes)

    def find_write_gap(self, since: float, until: float) -> float:
        """Return the longest time without an acknowledged write between two times."""
        times = sorted(
            write.acknowledged_at
            for write in self.history.writes
            if write.acknowledged_at is not None and since <= write.acknowledged_at <= until
        )
        marks = [since, *times, until]
        return max(after - before for before, after in pairwise(marks))

    def check_write_gap(self, gap: float) -> None:
        """Check that writes were acknowledged again in time."""
        if self.keeps_majority and gap > WRITE_GAP_LIMIT_S:
            self.violations.append(f"no write was acknowledged for {gap:.1f} s")

    def _check_leaving(self) -> None:
        for node in self.cluster.instances:
            late = [
                at for at in node.late_statement_times if at - node.leaving_at > LEAVING_LIMIT_S
            ]
            if late:
                self.violations.append(f"{node.name} got {len(late)} statements after leaving")

    def _check_limits(self) -> None:
        """Check that no instance was given more than its slots and connections."""
        for node in self.cluster.instances:
            if node.most_busy > SLOTS:
                self.violations.append(
                    f"{node.name} ran {node.most_busy} statements in {SLOTS} slots"
                )
            if node.most_connections > CONNECTIONS:
                self.violations.append(f"{node.name} had {node.most_connections} connections")

    def _check_presets(self) -> None:
        """Check that the racing operators were told the truth, and that all nodes agree."""
        held = self.cluster.platform.state.objects[ObjectKind.IN_FORCE.value, "preset"]
        for node in self.cluster.proxies:
            if node.alive and not node.stopped:
                version = self._versions.get(f"{node.name}/{node.generation}", 0)
                if version != held.version:
                    self.violations.append(f"{node.name} ended on preset version {version}")
